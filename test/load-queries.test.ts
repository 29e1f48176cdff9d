/** How gateways learn each other's calls: reports to the counter beside each engine, and questions to it, over datagrams on loopback. */
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {z} from 'zod';
import {Directory} from '../src/directory/directory.ts';
import type {Instance} from '../src/directory/directory-types.ts';
import type {InFlightCounts} from '../src/placement/engine-forecast.ts';
import {InFlightCalls} from '../src/placement/in-flight-calls.ts';
import {createServiceId} from '../src/ids/service-id.ts';
import {DatagramPort} from '../src/links/datagram-port.ts';
import {
	askDatagramSchema, countDatagramSchema, type EngineObservation, loadDatagramSchema,
} from '../src/messages/load-datagram.ts';
import {CallCounter, reportTtlMs} from '../src/peers/call-counter.ts';
import {serveCallCounter} from '../src/peers/call-counter-listener.ts';
import {LoadQueries} from '../src/peers/load-queries.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {monotonicClock} from '../src/runtime/pause-detector.ts';
import {testConfiguration, testInstance} from './support/direct-fixtures.ts';
import {sharedPort} from './support/loopback-ports.ts';

const port = sharedPort;
const log = createSilentLogger();

function engineAt(index: number): Instance {
	return testInstance({id: `i-${index}`, service: createServiceId('models'), address: `127.0.1.${index}:80`});
}

/** Starts counters beside engines 1 to `counters`, and two gateways that list `engines` engines. */
async function startFleet(engines: number, counters: number) {
	const instances = Array.from({length: engines}, (item, index) => engineAt(index + 1));
	const counterPorts = instances.slice(0, counters).map(() => new DatagramPort(log));
	for (const [index, datagrams] of counterPorts.entries()) {
		serveCallCounter(datagrams, monotonicClock);
		await datagrams.start({host: `127.0.1.${index + 1}`, port});
	}

	const gateways = ['127.0.0.11', '127.0.0.12'].map(host => {
		const directory = new Directory(log);
		directory.apply({revision: 1, changes: [{revision: 1, change: {kind: 'configuration', configuration: testConfiguration(1)}}]});
		directory.replaceInstances({revision: 2, changes: instances.map(instance => ({revision: 2, change: {kind: 'instance', instance}}))});
		const inFlight = new InFlightCalls();
		const datagrams = new DatagramPort(log);
		const observations = {said: undefined as EngineObservation | undefined, taken: [] as EngineObservation[]};
		const queries = new LoadQueries({
			vm: host, inFlight, directory, datagrams, port, log, clock: monotonicClock, observations: {
				own: () => observations.said, take(_, observation) {
					observations.taken.push(observation);
				},
			},
		});
		return {
			host, inFlight, datagrams, queries, observations,
		};
	});
	for (const {host, datagrams, queries} of gateways) {
		await datagrams.start({host, port});
		queries.start();
	}

	return {
		instances, first: gateways[0]!, second: gateways[1]!, stop() {
			for (const {datagrams, queries} of gateways) {
				queries.stop();
				datagrams.close();
			}

			for (const datagrams of counterPorts) {
				datagrams.close();
			}
		},
	};
}

async function sleep(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
	for (let round = 0; round < 200; round++) {
		if (await condition()) {
			return;
		}

		await sleep(10);
	}

	expect.fail('the condition was not met in 2 s');
}

it('guards against two gateways that both find an engine idle: a new call, its progress and its end reach the other gateway before the next refresh', async () => {
	const fleet = await startFleet(1, 1);
	const {instances, first, second} = fleet;
	const countsSeenBy = async ({queries}: typeof second) => {
		const answers = await queries.ask(instances);
		return answers.get('i-1');
	};

	const waitForCount = async (isExpected: (counts: InFlightCounts | undefined) => boolean) => waitUntil(async () => isExpected(await countsSeenBy(second)));
	try {
		const startMs = performance.now();
		const call = first.inFlight.add('i-1', 1000);
		await waitForCount(counts => counts?.calls === 1);
		expect(performance.now() - startMs).to.be.lessThan(400);
		expect(await countsSeenBy(second)).to.deep.equal({calls: 1, unreadTokens: 1000});
		expect(await countsSeenBy(first), 'own calls are not counted twice').to.deep.equal({calls: 0, unreadTokens: 0});
		first.inFlight.markStarted(call);
		await waitForCount(counts => counts?.unreadTokens === 0);
		first.inFlight.remove(call);
		await waitForCount(counts => counts?.calls === 0);
	} finally {
		fleet.stop();
	}
});

it('guards against counts that expire or are lost while nothing changes: calls at 130 engines are all known, and still after their time to live', async () => {
	const fleet = await startFleet(130, 130);
	const {instances, first, second} = fleet;
	const knowsAll = async () => {
		const answers = await second.queries.ask(instances);
		return instances.every(({id}) => answers.get(id)?.calls === 1);
	};

	try {
		for (const {id} of instances) {
			first.inFlight.add(id, 5);
		}

		await waitUntil(knowsAll);
		await sleep(reportTtlMs + 300);
		await waitUntil(knowsAll);
	} finally {
		fleet.stop();
	}
});

it('guards against calls that wait for a stager that is gone: its engine is left out after a timeout, and soon not waited for', async () => {
	const fleet = await startFleet(2, 1);
	const {instances, first} = fleet;
	try {
		const goneMs = performance.now();
		while (performance.now() - goneMs < 450) {
			const answers = await first.queries.ask(instances);
			expect([...answers.keys()]).to.deep.equal(['i-1']);
		}

		const startMs = performance.now();
		for (let round = 0; round < 20; round++) {
			const answers = await first.queries.ask(instances);
			expect([...answers.keys()]).to.deep.equal(['i-1']);
		}

		// 20 questions that each waited for the missing answer would take 20 timeouts of 20 ms.
		expect(performance.now() - startMs).to.be.lessThan(300);
	} finally {
		fleet.stop();
	}
});

it('guards against calls of a killed gateway that block an engine, and against reports that arrive out of order', () => {
	const clock = install();
	try {
		const counter = new CallCounter();
		counter.report('g-1', 5, {calls: 3, unreadTokens: 100});
		counter.report('g-1', 4, {calls: 9, unreadTokens: 900});
		counter.report('g-2', 1, {calls: 2, unreadTokens: 0});
		expect(counter.othersThan('g-2')).to.deep.equal({calls: 3, unreadTokens: 100});
		clock.tick(reportTtlMs / 2);
		counter.report('g-2', 2, {calls: 4, unreadTokens: 7});
		clock.tick(reportTtlMs / 2);
		expect(counter.othersThan('g-3'), 'g-1 has not reported for as long as a report is valid').to.deep.equal({calls: 4, unreadTokens: 7});
		counter.report('g-1', 1, {calls: 1, unreadTokens: 0});
		expect(counter.othersThan('g-3'), 'a gateway that started anew after its clock was set back').to.deep.equal({calls: 5, unreadTokens: 7});
	} finally {
		clock.uninstall();
	}
});

it('guards against answers that are thrown away because they come late: they help the next call, and a stager that answers late is still waited for', async () => {
	const engine = engineAt(1);
	const counterPort = new DatagramPort(log);
	counterPort.on('ask', askDatagramSchema, (message, from) => {
		const instance = message[2];
		setTimeout(() => {
			counterPort.send(['load', instance, [3, 70]], from);
		}, 60);
	});
	await counterPort.start({host: '127.0.1.1', port});
	const fleet = await startFleet(1, 0);
	try {
		const early = await fleet.first.queries.ask([engine]);
		expect(early.size).to.equal(0);
		await sleep(100);
		for (let round = 0; round < 30; round++) {
			const answers = await fleet.first.queries.ask([engine]);
			expect(answers.get('i-1')).to.deep.equal({calls: 3, unreadTokens: 70});
		}
	} finally {
		fleet.stop();
		counterPort.close();
	}
});

it('guards against a gateway that does not learn what an engine said to another one, and against messages of other versions that are refused', async () => {
	const fleet = await startFleet(1, 1);
	const {instances, first, second} = fleet;
	try {
		first.observations.said = {pace: [2, 5], coldMs: 800};
		first.inFlight.add('i-1', 10);
		await waitUntil(async () => {
			await second.queries.ask(instances, {urgency: 1, isNewCall: true, refused: []});
			return second.observations.taken.length > 0;
		});
		const {pace, coldMs} = second.observations.taken[0]!;
		expect(pace?.[0]).to.equal(2);
		expect(pace?.[1]).to.be.within(5, 300);
		expect(coldMs).to.be.within(500, 800);
		expect(countDatagramSchema.parse(['count', 'g', 1, [1, 2]])).to.have.length.at.least(4);
		expect(loadDatagramSchema.parse(['load', 'i', [1, 2], {later: 1}, 'further'])[3]).to.deep.equal({});
		expect(countDatagramSchema.safeParse(['count', 'g', 1, [1, 2], {pace: [0, 1]}]).success).to.equal(false);
	} finally {
		fleet.stop();
	}
});

it('guards against gateways of an earlier version that get no counts: they refuse an answer with what the engine said', async () => {
	const fleet = await startFleet(1, 1);
	const {first} = fleet;
	const old = new DatagramPort(log);
	const answers: unknown[] = [];
	old.on('load', z.array(z.unknown()), message => {
		answers.push(message);
	});
	await old.start({host: '127.0.0.13', port});
	try {
		first.observations.said = {pace: [2, 5], coldMs: 5000};
		first.inFlight.add('i-1', 10);
		await waitUntil(async () => {
			await fleet.second.queries.ask(fleet.instances, {urgency: 1, isNewCall: true, refused: []});
			return fleet.second.observations.taken.length > 0;
		});
		await waitUntil(async () => {
			old.send(['ask', '127.0.0.13', 'i-1'], {host: '127.0.1.1', port});
			await sleep(20);
			return answers.length > 0;
		});
		expect(answers[0]).to.deep.equal(['load', 'i-1', [1, 10]]);
	} finally {
		fleet.stop();
		old.close();
	}
});

it('guards against gateways that shed only by their own refusals: what one gateway refuses makes less urgent calls of another one give way', async () => {
	const fleet = await startFleet(1, 1);
	const {instances, first, second} = fleet;
	const yieldsSeenBy = async ({queries}: typeof first, urgency: number) => {
		const answers = await queries.ask(instances, {urgency, isNewCall: true, refused: []});
		return answers.get('i-1')?.yields;
	};

	try {
		expect(await yieldsSeenBy(second, 5)).to.equal(undefined);
		await first.queries.ask(instances, {urgency: 0, isNewCall: true, refused: [[0, 4]]});
		const yields = await yieldsSeenBy(second, 5);
		expect(yields).to.have.lengthOf(1);
		expect(yields![0]![0]).to.equal(5);
		expect(yields![0]![1]).to.be.within(0.3, 0.4);
	} finally {
		fleet.stop();
	}
});

it('guards against stagers of an earlier version that are given up: they drop questions that carry an urgency and reports with what the engine said, and get neither', async () => {
	const counterPort = new DatagramPort(log);
	counterPort.on('ask', z.tuple([z.literal('ask'), z.string(), z.string()]), (message, from) => {
		counterPort.send(['load', message[2], [3, 70]], from);
	});
	const reports: unknown[] = [];
	counterPort.on('count', z.tuple([z.literal('count'), z.string(), z.number(), z.tuple([z.number(), z.number()])]), message => {
		reports.push(message[3]);
	});
	await counterPort.start({host: '127.0.1.1', port});
	const fleet = await startFleet(1, 0);
	const countsSeen = async () => {
		const answers = await fleet.first.queries.ask(fleet.instances, {urgency: 1, isNewCall: true, refused: []});
		return answers.get('i-1');
	};

	try {
		await waitUntil(async () => {
			const counts = await countsSeen();
			return counts?.calls === 3;
		});
		for (let round = 0; round < 30; round++) {
			expect(await countsSeen()).to.deep.equal({calls: 3, unreadTokens: 70});
			await sleep(30);
		}

		fleet.first.observations.said = {pace: [2, 5]};
		fleet.first.inFlight.add('i-1', 10);
		await waitUntil(async () => reports.length > 0);
		expect(reports[0], 'reports carry nothing that the stager refuses').to.deep.equal([1, 10]);
	} finally {
		fleet.stop();
		counterPort.close();
	}
});
