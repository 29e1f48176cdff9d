/** Tests what follows from the headers by which instances say that they are leaving or want no calls for some time. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Clock, install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';
import {playReturn} from '../bench/return-model.ts';
import {platformCodec} from '../platform/call-headers.ts';
import type {Instance} from '../src/directory/directory-types.ts';
import {findBarrier, findReopeningMs} from '../src/placement/instance-availability.ts';
import {InstanceSignals} from '../src/placement/instance-signals.ts';
import {InstanceTracker} from '../src/placement/instance-tracker.ts';
import {createServiceId} from '../src/ids/service-id.ts';
import {createSilentLogger, type Logger} from '../src/runtime/logger.ts';
import {RandomSource} from '../src/runtime/random-source.ts';
import {SignallingUpstream} from '../standins/signalling-upstream.ts';
import {
	callGateway, startTestGateway, testConfiguration, type TestGateway, testInstance,
} from './support/direct-fixtures.ts';

const open: Array<{close: () => void}> = [];

afterEach(() => {
	for (const item of open.splice(0)) {
		item.close();
	}
});

const weights = [{
	model: 'm', version: 1, fromLayer: 0, toLayer: 16,
}];

async function start(route: Parameters<typeof testConfiguration>[1], count: number): Promise<{gateway: TestGateway; upstreams: SignallingUpstream[]; instances: Instance[]}> {
	const service = createServiceId(route?.kind === 'stream' ? 'models' : 'desk');
	const upstreams: SignallingUpstream[] = [];
	const instances: Instance[] = [];
	for (let at = 0; at < count; at++) {
		const upstream = new SignallingUpstream(`i-${at}`);
		await upstream.start();
		upstreams.push(upstream);
		instances.push(testInstance({
			id: upstream.id, address: upstream.address, service, held: service === 'models' ? weights : [],
		}));
	}

	const gateway = await startTestGateway(testConfiguration(1, {targets: [{service, weight: 1}], ...route}), instances);
	open.push(gateway, ...upstreams);
	return {gateway, upstreams, instances};
}

/** Lists the instances anew, as a read of the store does. */
function list(gateway: TestGateway, revision: number, instances: readonly Instance[]): void {
	gateway.directory.replaceInstances({revision, changes: instances.map(instance => ({revision, change: {kind: 'instance', instance}}))});
}

async function callTimes(gateway: TestGateway, count: number, options: Parameters<typeof callGateway>[1] = {}): Promise<number[]> {
	const statuses: number[] = [];
	for (let at = 0; at < count; at++) {
		const response = await callGateway(gateway.url, options);
		statuses.push(response.status);
	}

	return statuses;
}

/** Sends groups of calls longer than any pause after a refusal, all of which must be served. */
async function callForOneSecond(gateway: TestGateway): Promise<void> {
	for (let group = 0; group < 5; group++) {
		expect(await callTimes(gateway, 8)).to.deep.equal(Array.from({length: 8}, () => 200));
		await sleep(200);
	}
}

async function callAtOnce(gateway: TestGateway, count: number): Promise<number[]> {
	const responses = await Promise.all(Array.from({length: count}, async () => callGateway(gateway.url)));
	return responses.map(({status}) => status);
}

const streamCall = {headers: {model: 'm', 'token-usage': '100,50'}};

it('guards against calls to an instance that said in a refusal that it is leaving: it gets none after it', async () => {
	const {gateway, upstreams: [leaving, staying]} = await start({kind: 'once'}, 2);
	leaving!.isLeaving = true;
	leaving!.refusesCalls = true;
	await callForOneSecond(gateway);
	expect(leaving!.arrivals).to.have.length(1);
	expect(staying!.arrivals.length).to.be.at.least(40);
});

it('guards against calls to an instance that said at the head of a stream that it is leaving: the stream goes on and is delivered, others go elsewhere', async () => {
	const {gateway, upstreams: [leaving]} = await start({kind: 'stream', aimMs: 700}, 2);
	leaving!.isLeaving = true;
	leaving!.eventDelayMs = 60;
	// The other instance seems so busy that the leaving one is always the better choice.
	for (let call = 0; call < 2; call++) {
		gateway.tracker.inFlight.add('i-1', 2000);
	}

	const first = callGateway(gateway.url, streamCall);
	await sleep(50);
	expect(leaving!.arrivals).to.have.length(1);
	const statuses = await callTimes(gateway, 3, streamCall);
	expect([...statuses, leaving!.arrivals.length]).to.deep.equal([200, 200, 200, 1]);
	const response = await first;
	expect([response.status, response.complete]).to.deep.equal([200, true]);
});

it('guards against a listing that revives a leaving instance: it gets no calls after its entry has lapsed and come back, nor under an older entry, but its next run does', async () => {
	const {gateway, upstreams: [leaving], instances: [instance]} = await start({kind: 'once'}, 1);
	leaving!.isLeaving = true;
	expect(await callTimes(gateway, 2)).to.deep.equal([200, 503]);
	list(gateway, 3, []);
	gateway.tracker.retainOnly(new Set());
	list(gateway, 4, [instance!]);
	expect(await callTimes(gateway, 2)).to.deep.equal([503, 503]);
	list(gateway, 5, [{...instance!, startedAtMs: 0}]);
	expect(await callTimes(gateway, 1)).to.deep.equal([503]);
	leaving!.isLeaving = false;
	list(gateway, 6, [{...instance!, startedAtMs: Date.now() + 6000}]);
	expect(await callTimes(gateway, 2)).to.deep.equal([200, 200]);
});

it('guards against a reused address that inherits the signals of the instance before: another ID gets calls', async () => {
	const {gateway, upstreams: [upstream], instances: [instance]} = await start({kind: 'once'}, 1);
	upstream!.isLeaving = true;
	expect(await callTimes(gateway, 2)).to.deep.equal([200, 503]);
	upstream!.isLeaving = false;
	upstream!.id = 'i-new';
	list(gateway, 3, [{...instance!, id: 'i-new'}]);
	expect(await callTimes(gateway, 2)).to.deep.equal([200, 200]);
});

it('guards against the signals of another instance at a reused address: a 421, or a response that names another instance, changes nothing', async () => {
	const {gateway, upstreams: [upstream], instances: [instance]} = await start({kind: 'once'}, 1);
	upstream!.isLeaving = true;
	upstream!.id = 'i-other';
	expect(await callTimes(gateway, 1)).to.deep.equal([503]);
	expect(gateway.tracker.signals.beliefAbout(instance!)).to.equal(undefined);
	upstream!.checksId = false;
	upstream!.namesItself = true;
	await sleep(850);
	expect(await callTimes(gateway, 1)).to.deep.equal([200]);
	expect(gateway.tracker.signals.beliefAbout(instance!)).to.equal(undefined);
	upstream!.id = instance!.id;
	expect(await callTimes(gateway, 2)).to.deep.equal([200, 503]);
});

it('guards against calls to an instance that asked for quiet: while 200 calls wait, at most two reach it, and callers are told at once when it opens again', async () => {
	const {gateway, upstreams: [upstream]} = await start({kind: 'once', attempts: 2}, 1);
	upstream!.retryAfter = '0.8';
	const first = await callGateway(gateway.url);
	expect(first.status).to.equal(503);
	upstream!.arrivals.length = 0;
	const startedMs = performance.now();
	const responses = await Promise.all(Array.from({length: 200}, async () => callGateway(gateway.url)));
	const tookMs = performance.now() - startedMs;
	expect(upstream!.arrivals.length).to.be.at.most(2);
	expect(tookMs).to.be.lessThan(800);
	for (const {status, headers} of responses) {
		expect(status).to.equal(503);
		expect(Number(headers['retry-after'])).to.be.within(0.01, 0.8 + 0.02 + 0.3 + 0.01);
	}

	expect(Number(first.headers['retry-after'])).to.be.within(0.7, 1.2);
});

it('guards against calls that are already on their way when an instance asks for quiet: those without a connection go elsewhere', async () => {
	const {gateway, upstreams: [upstream]} = await start({kind: 'once'}, 1);
	upstream!.retryAfter = '0.8';
	const statuses = await callAtOnce(gateway, 200);
	expect(statuses).to.deep.equal(Array.from({length: 200}, () => 503));
	const [firstMs] = upstream!.arrivals;
	expect(upstream!.arrivals.filter(atMs => atMs > firstMs! + 500)).to.deep.equal([]);
	const closed = new Set<number>();
	for (let at = 0; at < 3; at++) {
		gateway.tracker.signals.addAttempt(testInstance({id: upstream!.id}), () => closed.add(at));
	}

	const late = gateway.tracker.signals.addAttempt(testInstance({id: upstream!.id}), () => undefined);
	late.recordHead(503, platformCodec.readResponseHeaders(503, ['Retry-After', '9']));
	expect([...closed]).to.deep.equal([0, 1, 2]);
});

it('guards against a crowd at the end of a quiet time: one call comes first, and the others once it is answered', async () => {
	const {gateway, upstreams: [upstream]} = await start({kind: 'once'}, 1);
	upstream!.retryAfter = '0.3';
	await callGateway(gateway.url);
	upstream!.retryAfter = undefined;
	upstream!.responseDelayMs = 150;
	upstream!.arrivals.length = 0;
	await sleep(400);
	const early = await callAtOnce(gateway, 30);
	expect(early.filter(status => status === 200)).to.have.length(1);
	expect(upstream!.arrivals).to.have.length(1);
	expect(await callAtOnce(gateway, 8)).to.deep.equal(Array.from({length: 8}, () => 200));
});

it('guards against all gateways returning in the same instant: in the first 100 ms after a quiet time, 99 of them send no more calls than the instance has slots', () => {
	for (const seed of [1, 2, 3]) {
		const {mostInQuiet, firstArrivals} = playReturn({
			seed, gateways: 99, policy: 'trial with spread', callsPerSecond: 50, quietMs: 2000,
		});
		expect(mostInQuiet).to.be.at.most(2);
		expect(firstArrivals).to.be.at.most(16);
	}
}).timeout(20_000);

it('guards against a call that is lost at an instance that asks for quiet: it was turned away without being run and is placed elsewhere, once', async () => {
	const {gateway, upstreams: [closed, other]} = await start({kind: 'once'}, 2);
	closed!.retryAfter = '5';
	await callForOneSecond(gateway);
	expect(closed!.arrivals).to.have.length(1);
	expect(other!.arrivals.length).to.be.at.least(40);
});

it('guards against connections to instances that closed themselves: they are not probed unless a call is under way there', async () => {
	const {gateway, upstreams: [leaving], instances: [instance]} = await start({kind: 'once'}, 1);
	leaving!.isLeaving = true;
	await callTimes(gateway, 1);
	const {connections} = leaving!;
	gateway.tracker.markUnreachable(instance!, 'test');
	await sleep(700);
	expect(leaving!.connections).to.equal(connections);
	gateway.tracker.inFlight.add(instance!.id, 0);
	expect(await gateway.tracker.probeConnection(instance!)).to.equal('accepts');
});

/** Runs a test of the signals of one instance with a fake clock. */
function withSignals(test: (tracker: InstanceTracker, respond: (status: number, headers: string[], instance?: Instance) => void, clock: Clock) => void, log: Logger = createSilentLogger()): void {
	const clock = install();
	try {
		const signals = new InstanceSignals({log, random: new RandomSource(1), gatewayCount: () => 1});
		const respond = (status: number, headers: string[], instance = testInstance({id: 'i-1'})) => {
			const attempt = signals.addAttempt(instance, () => undefined);
			attempt.recordHead(status, platformCodec.readResponseHeaders(status, headers));
			attempt.end();
		};

		test(new InstanceTracker(log, signals), respond, clock);
	} finally {
		clock.uninstall();
	}
}

const instance1 = testInstance({id: 'i-1'});

it('guards against signals that are misread: only `Server-Leaving: 1` means leaving, and Retry-After counts in seconds and with 503 only', () => {
	const signalsOf = (status: number, ...headers: string[]) => platformCodec.readResponseHeaders(status, headers).signals;
	expect(signalsOf(200, 'Server-Leaving', '1')).to.deep.equal([{kind: 'leaving'}]);
	expect(signalsOf(503, 'server-leaving', ' 1 ', 'Retry-After', '2.5')).to.deep.equal([{kind: 'leaving'}, {kind: 'quiet', forMs: 2500}]);
	for (const value of ['0', 'true', '', '1, 1', '01']) {
		expect(signalsOf(200, 'Server-Leaving', value), value).to.deep.equal([]);
	}

	for (const value of ['Sat, 05 Dec 2026 10:00:00 GMT', '1e3', '', 'NaN', '.']) {
		expect(platformCodec.readResponseHeaders(503, ['Retry-After', value]), value).to.deep.include({signals: [], unreadableSignals: [`retry-after: ${value}`]});
	}

	expect([signalsOf(429, 'Retry-After', '2'), signalsOf(200, 'Retry-After', '2')]).to.deep.equal([[], []]);
});

it('guards against absurd quiet times: zero, negative and endless ones are bounded', () => {
	for (const [value, closedMs] of [['0', 120], ['-3', 120], ['0.5', 500], ['86400', 300_000], ['9'.repeat(400), 300_000]] as const) {
		withSignals((tracker, respond, clock) => {
			respond(503, ['Retry-After', value]);
			clock.tick(closedMs - 1);
			expect(tracker.barrierAt(instance1)?.reason, value).to.equal('quiet');
			clock.tick(22);
			expect(tracker.barrierAt(instance1), value).to.equal(undefined);
		});
	}
});

it('guards against a log that unknown signals fill: one line a minute and instance', () => {
	const events: string[] = [];
	const log = {
		warn(fields: {event: string}) {
			events.push(fields.event);
		}, info: () => undefined,
	} as unknown as Logger;
	withSignals((tracker, respond, clock) => {
		for (let at = 0; at < 100; at++) {
			respond(200, ['Server-Leaving', 'maybe']);
			clock.tick(1000);
		}

		respond(503, ['Retry-After', 'Sat, 05 Dec 2026 10:00:00 GMT'], testInstance({id: 'i-2'}));
		expect(tracker.barrierAt(instance1)).to.equal(undefined);
	}, log);
	expect(events).to.deep.equal(['signal_unreadable', 'signal_unreadable', 'signal_unreadable']);
});

it('guards against a quiet time that a later, shorter one cuts off, and a leaving instance that one reopens', () => {
	withSignals((tracker, respond, clock) => {
		respond(503, ['Retry-After', '5']);
		respond(503, ['Retry-After', '0.2']);
		respond(200, []);
		clock.tick(4900);
		expect(tracker.barrierAt(instance1)?.reason).to.equal('quiet');
		respond(503, ['Server-Leaving', '1', 'Retry-After', '0.2']);
		clock.tick(3_600_000);
		expect(tracker.barrierAt(instance1)?.reason).to.equal('leaving');
	});
});

it('guards against an instance that stays closed for a trial call that is never sent: one that is given back may start at once, one that was sent is not', () => {
	withSignals((tracker, respond, clock) => {
		respond(503, ['Retry-After', '1']);
		clock.tick(1100);
		const release = tracker.signals.reserveTrial(instance1);
		expect(tracker.barrierAt(instance1)?.reason).to.equal('trial');
		release();
		expect(tracker.barrierAt(instance1)).to.equal(undefined);
		const releaseSent = tracker.signals.reserveTrial(instance1);
		release();
		tracker.signals.addAttempt(instance1, () => undefined);
		releaseSent();
		expect(tracker.barrierAt(instance1)?.reason).to.equal('trial');
	});
});

it('guards against an instance that stays closed after a trial call without an answer: the next trial may start', () => {
	withSignals((tracker, respond, clock) => {
		respond(503, ['Retry-After', '1']);
		clock.tick(1100);
		tracker.signals.reserveTrial(instance1);
		expect(tracker.barrierAt(instance1)?.reason).to.equal('trial');
		const attempt = tracker.signals.addAttempt(instance1, () => undefined);
		attempt.end();
		expect(tracker.barrierAt(instance1)).to.equal(undefined);
		tracker.signals.reserveTrial(instance1);
		clock.tick(1500);
		expect(tracker.barrierAt(instance1)).to.equal(undefined);
		expect(tracker.signals.beliefAbout(instance1)?.state).to.equal('due');
	});
});

it('guards against calls to an instance that was reborn and sent its signal before its new entry was read', () => {
	const rebornAt = (startedAtMs: number) => ({...instance1, startedAtMs});
	withSignals((tracker, respond, clock) => {
		clock.tick(60_000);
		respond(503, ['Retry-After', '2']);
		expect(tracker.barrierAt(rebornAt(59_000))?.reason).to.equal('quiet');
		expect(tracker.barrierAt(rebornAt(60_001))).to.equal(undefined);
	});
	withSignals((tracker, respond, clock) => {
		clock.tick(60_000);
		respond(200, ['Server-Leaving', '1']);
		expect(tracker.barrierAt(rebornAt(50_000))?.reason).to.equal('leaving');
		expect(tracker.barrierAt(rebornAt(66_000))).to.equal(undefined);
		expect(tracker.barrierAt(rebornAt(59_000))?.reason).to.equal('quiet');
		clock.tick(31_000);
		expect(tracker.barrierAt(rebornAt(59_000))).to.equal(undefined);
		expect(tracker.signals.beliefAbout(rebornAt(59_000))?.state).to.equal('due');
	});
});

it('guards against a chart that reopens a leaving instance: no sequence of responses, trials and times does', () => {
	const step = fc.oneof(
		fc.record({kind: fc.constant('respond' as const), status: fc.constantFrom(200, 500, 503), headers: fc.constantFrom<string[]>([], ['Retry-After', '1'], ['Server-Leaving', '1'])}),
		fc.record({kind: fc.constant('trial' as const)}),
		fc.record({kind: fc.constant('wait' as const), ms: fc.integer({min: 1, max: 4000})}),
	);
	fc.assert(fc.property(fc.array(step, {maxLength: 30}), steps => {
		withSignals((tracker, respond, clock) => {
			let hasLeft = false;
			for (const item of steps) {
				if (item.kind === 'respond') {
					respond(item.status, item.headers);
					hasLeft ||= item.headers[0] === 'Server-Leaving';
				} else if (item.kind === 'trial') {
					tracker.signals.reserveTrial(instance1);
				} else {
					clock.tick(item.ms);
				}

				expect(tracker.barrierAt(instance1)?.reason === 'leaving').to.equal(hasLeft);
			}
		});
	}), {seed: 28, numRuns: 200});
});

it('guards against barriers that are mixed up: the one that lasts longest is named, and only timed closures promise a place', () => {
	const none = {signal: undefined, unreachableSinceMs: undefined, pausedUntilMs: 0};
	const quiet = {state: 'quiet', sinceMs: 1, untilMs: 900} as const;
	expect(findBarrier(instance1, none, 10)).to.equal(undefined);
	expect(findBarrier({...instance1, isDraining: true}, {...none, signal: quiet}, 10)?.reason).to.equal('draining');
	expect(findBarrier(instance1, {signal: quiet, unreachableSinceMs: 5, pausedUntilMs: 90}, 10)).to.deep.equal({reason: 'unreachable', sinceMs: 5, untilMs: Number.POSITIVE_INFINITY});
	expect(findBarrier(instance1, {...none, pausedUntilMs: 90}, 90)).to.equal(undefined);
	const [paused, closed, left] = [{reason: 'paused', sinceMs: undefined, untilMs: 90}, {reason: 'quiet', sinceMs: 1, untilMs: 900}, {reason: 'leaving', sinceMs: 1, untilMs: Number.POSITIVE_INFINITY}] as const;
	expect([findReopeningMs([], 10), findReopeningMs([paused], 10), findReopeningMs([left], 10)]).to.deep.equal([undefined, undefined, undefined]);
	expect([findReopeningMs([left, closed], 10), findReopeningMs([paused, closed], 10)]).to.deep.equal([890, 80]);
	expect(findReopeningMs([{reason: 'trial', sinceMs: 1, untilMs: 1500}, closed], 10)).to.equal(200);
});
