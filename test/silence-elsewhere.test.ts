/** What a process believes of others after it was paused itself: nobody is gone before there was time to hear from them. */
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {z} from 'zod';
import {AgentCallHandler} from '../src/calls/agent-call-handler.ts';
import {type AttemptEnd, AttemptClient} from '../src/calls/attempt-client.ts';
import {CallLedger} from '../src/calls/call-ledger.ts';
import type {RunOptions, UpstreamEvent} from '../src/calls/upstream.ts';
import type {ConfigurationReplica} from '../src/configuration/configuration-replica.ts';
import {PeerExchange} from '../src/configuration/peer-exchange.ts';
import {Directory} from '../src/directory/directory.ts';
import type {InFlightCounts} from '../src/placement/engine-forecast.ts';
import {InFlightCalls} from '../src/placement/in-flight-calls.ts';
import {createPromptPartId} from '../src/ids/prompt-part-id.ts';
import {createRevision} from '../src/ids/revision.ts';
import {DatagramPort} from '../src/links/datagram-port.ts';
import {PeerClient} from '../src/links/peer-client.ts';
import {RpcDispatcher} from '../src/links/rpc-dispatcher.ts';
import {VmListClient} from '../src/membership/vm-list-client.ts';
import type {CallRequest} from '../src/messages/call-request.ts';
import type {ConfigOffer} from '../src/messages/config-sync.ts';
import {CallCounter, reportTtlMs} from '../src/peers/call-counter.ts';
import {LoadQueries} from '../src/peers/load-queries.ts';
import {PromptQuarantine} from '../src/quarantine/prompt-quarantine.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {PauseDetector} from '../src/runtime/pause-detector.ts';
import {RandomSource} from '../src/runtime/random-source.ts';
import {blockAfter} from './support/block-after.ts';
import {bookingCall, generateCall} from './support/call-samples.ts';
import {testInstance} from './support/direct-fixtures.ts';
import {Processes} from './support/processes.ts';
import {sharedPort} from './support/loopback-ports.ts';

/** The port on which the worker and the components under test receive datagrams, and the worker's host. */
const datagramPort = sharedPort;
const workerHost = '127.0.1.51';

const processes = new Processes();
let worker = '';
let clock: PauseDetector;
let links: PeerClient;
let datagrams: DatagramPort;

before(async () => {
	worker = await processes.startLateWorker(workerHost, datagramPort);
});

after(() => {
	processes.stop();
});

beforeEach(async () => {
	clock = new PauseDetector();
	links = new PeerClient(clock);
	datagrams = new DatagramPort(createSilentLogger());
	await datagrams.start({host: '127.0.1.52', port: datagramPort});
});

afterEach(async () => {
	clock.stop();
	datagrams.close();
	await links.close();
});

async function request(afterMs: number, timeoutMs: number): Promise<unknown> {
	return links.rpc(worker, {method: 'test', params: {afterMs}}, z.unknown(), {timeoutMs});
}

it('guards against a pause that passes for a peer that is gone: a response that has arrived meanwhile is read', async () => {
	await request(0, 900);
	blockAfter(100, 2500);
	expect(await request(300, 900)).to.equal(true);
});

it('guards against a pause that takes the time to hear from a peer: the rest of the time is left after it', async () => {
	await request(0, 900);
	blockAfter(100, 2000);
	expect(await request(2500, 900)).to.equal(true);
});

it('guards against messages that are older than their receiver assumes: a request that is not sent within its time is not sent after a pause', async () => {
	await request(0, 900);
	const count = await links.json(`http://${worker}/requests`, {method: 'GET'}, {timeoutMs: 900}) as number;
	links.replaceConnections(worker);
	const late = request(0, 500);
	setImmediate(() => {
		Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 1200);
	});
	let err: unknown;
	try {
		await late;
	} catch (err_) {
		err = err_;
	}

	expect(err).to.have.property('sent', false);
	expect(await links.json(`http://${worker}/requests`, {method: 'GET'}, {timeoutMs: 900})).to.equal(count);
});

it('guards against a pause that passes for a platform that is out: the list of VMs that has arrived meanwhile is read', async () => {
	const client = new VmListClient(`http://${worker}`);
	blockAfter(100, 2300);
	expect(await client.read()).to.deep.equal([]);
});

it('guards against state that looks younger than it is: the ages in an offer count from the question, also after a pause', async () => {
	const offer = {
		revision: createRevision(1), digest: 'd', vm: 'b', address: worker, serviceAgeMs: 10, list: {digest: 'd', ageMs: 20},
	} as unknown as ConfigOffer;
	const offers: ConfigOffer[] = [];
	const exchange = new PeerExchange({
		replica: {handlePeerVersion: () => undefined} as unknown as ConfigurationReplica,
		links: {
			async rpc() {
				await request(600, 900);
				return offer;
			},
		} as unknown as PeerClient,
		rpc: new RpcDispatcher(),
		random: new RandomSource(1),
		log: createSilentLogger(),
		zone: 'z',
		peers: () => [],
		currentOffer: () => offer,
		onOffer(taken) {
			offers.push(taken);
		},
	});
	blockAfter(100, 1500);
	await exchange.exchange({vm: 'b', address: worker, zone: 'z'});
	expect(offers[0]?.serviceAgeMs).to.be.at.least(1500);
	expect(offers[0]?.list?.ageMs).to.be.at.least(1500);
});

async function runAttempt(address: string, call: CallRequest): Promise<AttemptEnd> {
	return new AttemptClient(links, clock).run(address, call, {onFrame: () => undefined, callerGone: new AbortController().signal});
}

function lateCall(forMs: number, remainingMs: number): CallRequest {
	return bookingCall({remainingMs, work: {kind: 'operation', operation: 'o', body: {forMs}}});
}

it('guards against a pause of the entry that passes for silence of its agents: attempts go on', async () => {
	const call = lateCall(3500, 8000);
	blockAfter(300, 2500);
	const ends = await Promise.all(Array.from({length: 10}, async () => runAttempt(worker, call)));
	expect(ends.map(({kind}) => kind)).to.deep.equal(Array.from({length: 10}, () => 'answered'));
});

it('guards against an answer that is ready and thrown away: a pause of the entry across the deadline of a call', async () => {
	blockAfter(100, 1500);
	const end = await runAttempt(worker, lateCall(300, 1000));
	expect(end.kind).to.equal('answered');
});

it('guards against a generation that is complete and aborted: a pause of the agent across the deadline of a call', async () => {
	const upstream = {
		serves: () => true,
		async * run(req: CallRequest, {signal, beforeSend}: RunOptions): AsyncGenerator<UpstreamEvent> {
			beforeSend();
			await links.json(`http://${worker}/rpc`, {method: 'POST', body: JSON.stringify({params: {afterMs: 300}})}, {timeoutMs: 9000, signal});
			yield {kind: 'head', version: 'v1'};
		},
	};
	const handler = new AgentCallHandler({
		ledger: new CallLedger({incarnation: 'i', maxRecords: 8}), upstream, log: createSilentLogger(), incarnation: 'i', service: 'assistant', isDraining: () => false, beforeForward: () => undefined,
	});
	const server = http.createServer((req, res) => {
		void handler.handle(req, res);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	try {
		const call = {...generateCall, remainingMs: 1000};
		blockAfter(100, 1500);
		const res = await fetch(`http://127.0.0.1:${(server.address() as AddressInfo).port}/`, {method: 'POST', body: JSON.stringify(call)});
		expect(await res.text()).to.include('"kind":"end"');
	} finally {
		server.close();
		server.closeAllConnections();
	}
});

it('guards against a pause of the gateway that passes for silence of a stager: its counts are used', async () => {
	const queries = new LoadQueries({
		vm: 'g', inFlight: new InFlightCalls(), directory: new Directory(createSilentLogger()), datagrams, port: datagramPort, log: createSilentLogger(), clock,
	});
	const engine = testInstance({id: 'i-1', address: `${workerHost}:80`});
	await queries.ask([engine]);
	blockAfter(20, 1000);
	const counts = await new Promise<ReadonlyMap<string, InFlightCounts>>(resolve => {
		// Due within the pause, so that it runs before the answer is read.
		setTimeout(async () => {
			resolve(await queries.ask([engine]));
		}, 100);
	});
	expect([...counts.values()]).to.deep.equal([{calls: 1, unreadTokens: 0}]);
});

it('guards against a pause of the stager that passes for the end of all gateways: their calls count until there was time for a report', () => {
	let listeningMs = 0;
	const counter = new CallCounter({
		get listeningMs() {
			return listeningMs;
		},
	});
	const fake = install();
	try {
		counter.report('g-1', 1, {calls: 3, unreadTokens: 0});
		fake.tick(10_000);
		expect(counter.othersThan('g-2').calls).to.equal(3);
		listeningMs += reportTtlMs;
		expect(counter.othersThan('g-2').calls).to.equal(0);
	} finally {
		fake.uninstall();
	}
});

it('guards against a hold that its own cause ends: a pause after the end of a call is no time in which its engine survived it', async () => {
	const fake = install();
	let pausedMs = 0;
	try {
		const quarantine = new PromptQuarantine({
			log: createSilentLogger(), hasTurn: () => false, tell: () => undefined, clock: {
				get listeningMs() {
					return performance.now() - pausedMs;
				},
			},
		});
		const engine = testInstance({id: 'i-1'});
		const part = createPromptPartId('bad');
		const crash = async () => {
			quarantine.recordCrash({id: `crash-${performance.now()}`, atMs: performance.now(), calls: [[part]]}, engine);
			await fake.tickAsync(1000);
		};

		for (let count = 0; count < 3; count++) {
			await crash();
		}

		quarantine.recordSurvival(engine, [part]);
		pausedMs = 2000;
		fake.jump(pausedMs);
		await fake.tickAsync(50);
		expect(quarantine.admit([part]).kind, 'before the crash in the pause is heard of').to.equal('refuse');
		await crash();
		expect(quarantine.admit([part]).kind, 'after it is heard of').to.equal('refuse');
		quarantine.recordSurvival(engine, [part]);
		await fake.tickAsync(500);
		expect(quarantine.admit([part]).kind, 'after a survival').to.equal('pass');
	} finally {
		fake.uninstall();
	}
});
