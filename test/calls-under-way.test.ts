/** Tests that calls on the way to their engine, behind a link that delays them, begin in time there or not at all. */
import {setTimeout as sleep} from 'node:timers/promises';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {Directory} from '../src/directory/directory.ts';
import {AttemptPath} from '../src/forwarding/attempt-path.ts';
import {CallLog} from '../src/forwarding/call-log.ts';
import {StartDeadline} from '../src/forwarding/start-deadline.ts';
import type {UpstreamAttempt} from '../src/forwarding/upstream-attempt.ts';
import {createServiceId} from '../src/ids/service-id.ts';
import type {DatagramPort} from '../src/links/datagram-port.ts';
import type {AskDatagram, LoadDatagram} from '../src/messages/load-datagram.ts';
import {LoadQueries} from '../src/peers/load-queries.ts';
import {InFlightCalls} from '../src/placement/in-flight-calls.ts';
import {PathDelays} from '../src/placement/path-delays.ts';
import {StartWindows} from '../src/placement/start-windows.ts';
import {VersionExpiry} from '../src/placement/version-expiry.ts';
import {createSilentLogger, type Logger} from '../src/runtime/logger.ts';
import {monotonicClock} from '../src/runtime/pause-detector.ts';
import {
	callGateway, observedNow, startTestGateway, startUpstream, testBoundary, testConfiguration, testInstance,
} from './support/direct-fixtures.ts';
import {TcpRelay} from './support/tcp-relay.ts';

const versionBoundMs = 8000;

const held = {
	model: 'm', version: 1, fromLayer: 0, toLayer: 16,
};

const engine = testInstance({
	id: 'i-1', service: createServiceId('models'), slots: 16, held: [held],
});

const version2 = {revision: 3, changes: [{revision: 3, change: {kind: 'version', model: 'm', version: 2}}]} as const;

const callHeaders = {model: 'm', 'token-usage': '100,50', 'deadline-ms': '4000'};

it('guards against begins on expired weights by a call that is under way for long: it is not sent, or taken back early enough', async () => {
	const begunAtMs: number[] = [];
	const upstream = await startUpstream((req, res) => {
		begunAtMs.push(performance.now());
		res.writeHead(200, {
			'attempt-id': req.headers['attempt-id'] as string, 'response-seal': 's', 'content-type': 'text/event-stream', 'weight-versions': '1',
		});
		res.end('id: 1\ndata: t\n\n');
	});
	const link = new TcpRelay(upstream.address);
	link.delayMs = 1200;
	const route = {
		kind: 'stream', isResumable: true, aimMs: 4000, timeoutMs: 4000, targets: [{service: createServiceId('models'), weight: 1}],
	} as const;
	const gateway = await startTestGateway(testConfiguration(1, route), [{...engine, address: await link.start()}]);
	try {
		const namedAtMs = performance.now() - versionBoundMs + 3000;
		gateway.directory.apply(version2, {namedAfterMs: namedAtMs, isAfterOutage: false});
		const calls: Array<Promise<unknown>> = [];
		const call = () => {
			calls.push(callGateway(gateway.url, {headers: {...callHeaders, 'attempt-id': `id-${calls.length}`}}));
		};

		// The first call shows how long the path is, and begins in time.
		call();
		await sleep(1500);
		while (performance.now() < namedAtMs + versionBoundMs) {
			call();
			await sleep(100);
		}

		await Promise.all(calls);
		await sleep(link.delayMs + 100);
		expect(begunAtMs).to.not.be.empty;
		expect(Math.max(...begunAtMs) - namedAtMs).to.be.at.most(versionBoundMs);
	} finally {
		gateway.close();
		link.stop();
		upstream.close();
	}
});

/** Runs a test of an engine whose path a gateway watches, with fake timers; version 2 has just been named. */
async function withPaths(test: (setup: {clock: ReturnType<typeof install>; paths: PathDelays; windows: StartWindows; pauses: {ms: number}}) => unknown): Promise<void> {
	const clock = install();
	try {
		const directory = new Directory(createSilentLogger());
		directory.apply(version2, observedNow());
		const pauses = {ms: 0};
		const paths = new PathDelays({
			get listeningMs() {
				return performance.now() - pauses.ms;
			},
		});
		await test({
			clock, paths, pauses, windows: new StartWindows(new VersionExpiry(directory, versionBoundMs, () => 0), paths),
		});
	} finally {
		clock.uninstall();
	}
}

it('guards against a path that counts as short until the answer is there: what is overdue counts at once, later less, and a pause of this process does not', async () => {
	await withPaths(({clock, paths, windows, pauses}) => {
		const call = paths.wait('i-1', 100);
		clock.tick(1000);
		expect(windows.timeLeftMs('i-1', held)).to.equal(versionBoundMs - 250 - 1000 - 900);
		expect(windows.timeLeftMs('i-2', held)).to.equal(versionBoundMs - 250 - 1000);
		pauses.ms = 400;
		expect(paths.delayMs('i-1')).to.equal(500);
		call.end();
		clock.tick(2000);
		expect(paths.delayMs('i-1')).to.equal(250);
		const late = paths.wait('i-1', 0);
		clock.tick(3000);
		expect(paths.delayMs('i-1')).to.equal(2000);
		late.end();
		paths.retainOnly(new Set());
		expect(paths.longestMs).to.equal(0);
	});
});

it('guards against a call that waits on a long path until it is too late to take it back: the longer it is overdue, the earlier that is done', async () => {
	await withPaths(({clock, paths, windows}) => {
		const passedAtMs: number[] = [];
		const takesBack = new StartDeadline(() => windows.timeLeftMs('i-1', held), () => {
			passedAtMs.push(performance.now());
		}, testBoundary());
		clock.tick(6000);
		paths.wait('i-1', 100);
		clock.tick(2000);
		takesBack.stop();
		// 6925 ms: 825 ms overdue, and 825 ms left beside the margin.
		expect(passedAtMs[0]).to.be.within(6925, 7025);
	});
});

for (const [kind, predictedMs] of [['stream', 2500], ['call without a predicted start', 0]] as const) {
	it(`guards against a reset that is late since the delay of a long path is forgotten while a ${kind} waits: it counts until the start`, async () => {
		await withPaths(({clock, paths, windows}) => {
			const passedAtMs: number[] = [];
			clock.tick(2800);
			const question = paths.wait('i-1');
			clock.tick(1200);
			question.end();
			const call = new AttemptPath(paths, 'i-1', predictedMs);
			call.markConnected();
			const takesBack = new StartDeadline(() => windows.timeLeftMs('i-1', held), () => {
				passedAtMs.push(performance.now());
			}, testBoundary());
			clock.tick(2600);
			takesBack.stop();
			expect(passedAtMs[0]).to.be.within(versionBoundMs - 250 - 1200, versionBoundMs - 250 - 1200 + 10);
			call.markBegun();
			expect(paths.delayMs('i-1')).to.be.below(600);
		});
	});
}

it('guards against a long path that is forgotten when its instance leaves the list for a moment: it is kept while a call waits there', async () => {
	await withPaths(({clock, paths, windows}) => {
		const call = paths.wait('i-1', 0);
		paths.wait('i-2');
		clock.tick(900);
		paths.retainOnly(new Set());
		expect([paths.delayMs('i-1'), paths.delayMs('i-2')]).to.deep.equal([900, 0]);
		expect(windows.timeLeftMs('i-1', held)).to.equal(versionBoundMs - 900 - 250 - 900);
		call.end();
		paths.retainOnly(new Set());
		expect(paths.longestMs).to.equal(0);
	});
});

it('guards against a long path that counts for good: calls that are sent one after another do not keep what earlier ones kept', async () => {
	await withPaths(({clock, paths}) => {
		const question = paths.wait('i-1');
		clock.tick(1200);
		question.end();
		let last: AttemptPath | undefined;
		for (let sent = 0; sent < 8; sent++) {
			const call = new AttemptPath(paths, 'i-1', 2500);
			call.markConnected();
			last?.end();
			last = call;
			clock.tick(500);
		}

		expect(paths.delayMs('i-1')).to.be.within(300, 400);
		last!.markBegun();
		expect(paths.delayMs('i-1')).to.equal(300);
	});
});

it('guards against an engine that is shunned because its stager is gone or a question was lost: a later call that began in time clears the path, and an old question tells nothing', async () => {
	await withPaths(({clock, paths}) => {
		const lost = paths.wait('i-1');
		clock.tick(1500);
		const call = paths.wait('i-1', 100);
		clock.tick(100);
		call.endWithAnswer();
		expect(paths.delayMs('i-1')).to.equal(0);
		lost.renew();
		clock.tick(300);
		expect(paths.delayMs('i-1')).to.equal(300);
		clock.tick(5000);
		lost.end();
		expect(paths.delayMs('i-1')).to.equal(0);
	});
});

it('guards against a busy link that only the questions of a gateway meet: the time to their answers counts, and so does each answer that is missing', async () => {
	await withPaths(async ({clock, paths}) => {
		let answer: (message: LoadDatagram) => void = () => undefined;
		const datagrams = {
			on(kind: string, schema: unknown, handler: typeof answer) {
				answer = handler;
			}, send: () => undefined,
		} as unknown as DatagramPort;
		const log = createSilentLogger();
		const queries = new LoadQueries({
			vm: 'g', inFlight: new InFlightCalls(), directory: new Directory(log), datagrams, port: 1, log, clock: monotonicClock, paths,
		});
		void queries.ask([engine]);
		await clock.tickAsync(700);
		expect(paths.delayMs('i-1')).to.equal(700);
		void queries.ask([engine]);
		await clock.tickAsync(300);
		answer(['load', 'i-1', [0, 0]]);
		expect([paths.delayMs('i-1'), paths.isUnknown('i-1')]).to.deep.equal([1000, false]);
	});
});

it('guards against an answer that counts for a later question: on a path that stays long, the delay does not shrink to the time between answers', async () => {
	await withPaths(async ({clock, paths}) => {
		let answer: (message: LoadDatagram) => void = () => undefined;
		const datagrams = {
			on(kind: string, schema: unknown, handler: typeof answer) {
				answer = handler;
			},
			send(question: AskDatagram) {
				setTimeout(() => {
					answer(['load', question[2], [0, 0]]);
				}, 1000);
			},
		} as unknown as DatagramPort;
		const log = createSilentLogger();
		const queries = new LoadQueries({
			vm: 'g', inFlight: new InFlightCalls(), directory: new Directory(log), datagrams, port: 1, log, clock: monotonicClock, paths,
		});
		const seenMs: number[] = [];
		for (let asked = 0; asked < 60; asked++) {
			void queries.ask([engine]);
			await clock.tickAsync(150);
			seenMs.push(paths.delayMs('i-1'));
		}

		expect(Math.min(...seenMs.slice(10))).to.be.at.least(650);
		clock.tick(4000);
		void queries.ask([engine]);
		answer(['load', 'i-1', [0, 0]]);
		expect(paths.isUnknown('i-1')).to.equal(false);
	});
});

it('guards against a link that fills after a call was written, of which nothing tells until the call is overdue: shortly before the expiry, questions go there while it waits', async () => {
	await withPaths(async ({clock, paths, windows}) => {
		const askedAtMs: number[] = [];
		const passedAtMs: number[] = [];
		let answer: (message: LoadDatagram) => void = () => undefined;
		let linkMs = 2;
		const datagrams = {
			on(kind: string, schema: unknown, handler: typeof answer) {
				answer = handler;
			},
			send(question: AskDatagram) {
				askedAtMs.push(performance.now());
				setTimeout(() => {
					answer(['load', question[2], [3, 0]]);
				}, linkMs);
			},
		} as unknown as DatagramPort;
		const log = createSilentLogger();
		const queries = new LoadQueries({
			vm: 'g', inFlight: new InFlightCalls(), directory: new Directory(log), datagrams, port: 1, log, clock: monotonicClock, paths,
		});
		const call = new AttemptPath(paths, 'i-1', 9000);
		call.markConnected();
		const deadlines = [1, 2, 3].map(() => new StartDeadline(() => windows.watchTimeLeft(engine, held, queries), () => {
			passedAtMs.push(performance.now());
		}, testBoundary()));
		await clock.tickAsync(4700);
		expect(askedAtMs).to.be.empty;
		await clock.tickAsync(1300);
		expect(askedAtMs.length).to.be.within(5, 7);
		expect(paths.delayMs('i-1')).to.be.below(3);
		linkMs = 1500;
		await clock.tickAsync(2000);
		// The first question meets the full link by 6200 ms, so that its delay uses up the time left by 7000 ms.
		expect(passedAtMs[0]).to.be.within(6500, 7000);
		expect(askedAtMs.every((atMs, index) => index === 0 || atMs - askedAtMs[index - 1]! >= 200)).to.equal(true);
		expect(askedAtMs.at(-1)).to.be.at.most(passedAtMs.at(-1)!);
		const asked = queries.ask([engine]);
		await clock.tickAsync(30);
		const answers = await asked;
		expect(answers.size, 'counts from probes').to.equal(0);
		for (const deadline of deadlines) {
			deadline.stop();
		}
	});
});

it('guards against calls whose paths nobody measures: a gateway asks the engine of a call that waits for its start, until it starts', async () => {
	const upstream = await startUpstream((req, res) => {
		setTimeout(() => {
			res.writeHead(200, {'attempt-id': req.headers['attempt-id'] as string, 'response-seal': 's', 'content-type': 'text/event-stream'});
			res.write('id: 1\ndata: t\n\n');
		}, 400);
	});
	const probedMs: number[] = [];
	const loads = {
		ask: async () => new Map(),
		probe() {
			probedMs.push(performance.now());
		},
	};
	const route = {
		kind: 'stream', aimMs: 4000, timeoutMs: 4000, targets: [{service: engine.service, weight: 1}],
	} as const;
	const gateway = await startTestGateway(testConfiguration(1, route), [{...engine, address: upstream.address}], {loads});
	try {
		const startedAtMs = performance.now();
		gateway.directory.apply(version2, {namedAfterMs: startedAtMs - versionBoundMs + 2500, isAfterOutage: false});
		await callGateway(gateway.url, {headers: callHeaders, disconnectAfterMs: 1000});
		expect(probedMs.length).to.be.at.least(3);
		expect(probedMs.at(-1)! - startedAtMs).to.be.below(700);
	} finally {
		gateway.close();
		upstream.close();
	}
});

it('guards against a path that counts as unknown or short without cause: a question that has arrived is not missing, and a call may be overdue after a long prediction', async () => {
	await withPaths(({clock, paths}) => {
		const question = paths.wait('i-1');
		const call = paths.wait('i-2', 6000);
		clock.tick(100);
		expect(paths.isUnknown('i-1')).to.equal(true);
		paths.wait('i-1', 0).endWithAnswer();
		expect(paths.isUnknown('i-1')).to.equal(false);
		question.renew();
		expect(paths.isUnknown('i-1')).to.equal(false);
		clock.tick(15);
		expect(paths.isUnknown('i-1')).to.equal(true);
		clock.tick(6685);
		call.end();
		expect(paths.delayMs('i-2')).to.equal(800);
	});
});

it('guards against a path that counts as short because nothing came back over it: an unanswered question counts half a second, but only shortly before the expiry', async () => {
	await withPaths(({clock, paths, windows}) => {
		const marginsMs = () => ['i-1', 'i-2'].map(id => versionBoundMs - performance.now() - windows.timeLeftMs(id, held));
		paths.wait('i-1');
		clock.tick(20);
		expect(marginsMs()).to.deep.equal([270, 250]);
		paths.retainOnly(new Set());
		clock.tick(6000);
		const question = paths.wait('i-1');
		clock.tick(10);
		expect(marginsMs()).to.deep.equal([260, 250]);
		clock.tick(10);
		expect(marginsMs()).to.deep.equal([750, 250]);
		question.endWithAnswer();
		expect(marginsMs()).to.deep.equal([270, 250]);
		expect(windows.timeLeftMs('i-1', {...held, version: 2})).to.equal(Number.POSITIVE_INFINITY);
	});
});

it('guards against a call taken back whose cause is not told: the delay that was assumed of the path, and the time that was left until the bound', async () => {
	await withPaths(({clock, paths, windows}) => {
		const lines: object[] = [];
		const log = {
			info(fields: object) {
				lines.push(fields);
			},
		} as unknown as Logger;
		const attempt = {instance: engine, timing: {waitedMs: 900}, options: {describeStart: () => windows.describe('i-1', held)}} as unknown as UpstreamAttempt;
		const callLog = new CallLog({call: {headers: {attemptId: 'id-1'}}, log} as unknown as ConstructorParameters<typeof CallLog>[0]);
		paths.wait('i-1', 100);
		clock.tick(900);
		for (const reason of ['version_expired', 'ECONNRESET']) {
			callLog.recordAttemptEnd(attempt, {
				outcome: 'failed', reason, step: 'fail', runs: 1, version: 1,
			});
		}

		expect(lines[0]).to.include({waitedMs: 900, pathDelayMs: 800, leftMs: versionBoundMs - 900});
		expect(lines[1]).to.not.have.any.keys('pathDelayMs', 'leftMs');
	});
});
