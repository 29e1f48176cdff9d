/** Tests the decisions of the gateway without a network: routes, instance selection, retries, versions, events and the directory. */
import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import fc from 'fast-check';
import {type Clock, install} from '@sinonjs/fake-timers';
import {Directory} from '../src/directory/directory.ts';
import {decideNextStep, type NextStepInput} from '../src/forwarding/decide-next-step.ts';
import {EventSplitter} from '../src/forwarding/event-splitter.ts';
import {predictFirstEventMs} from '../src/placement/engine-forecast.ts';
import {type Candidate, selectEngineInstance} from '../src/placement/select-instance.ts';
import {WindowedRetryBudget} from '../src/forwarding/windowed-retry-budget.ts';
import {RouteTable} from '../src/forwarding/route-table.ts';
import {DeadlineHistory} from '../src/forwarding/deadline-history.ts';
import {StartDeadline} from '../src/forwarding/start-deadline.ts';
import {VersionExpiry} from '../src/placement/version-expiry.ts';
import {PauseDetector} from '../src/runtime/pause-detector.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {
	observedNow, testBoundary, testConfiguration, testEngineTiming, testInstance, testRoute,
} from './support/direct-fixtures.ts';

/** Runs a test of version expiry with its own directory and a fake clock. */
function withVersionExpiry(test: (expiry: VersionExpiry, directory: Directory, clock: Clock) => void): void {
	const clock = install();
	try {
		const directory = new Directory(createSilentLogger());
		test(new VersionExpiry(directory, 8000, () => 0), directory, clock);
	} finally {
		clock.uninstall();
	}
}

const nextInputs = fc.record({
	outcome: fc.constantFrom<NextStepInput['outcome']>({kind: 'not-run', reason: 'r'}, {kind: 'failed', reason: 'r'}, {kind: 'upstream-error', status: 500}),
	kind: fc.constantFrom<NextStepInput['kind']>('idempotent', 'once', 'stream'),
	isResumable: fc.boolean(),
	isResponseStarted: fc.boolean(),
	possibleRuns: fc.integer({min: 0, max: 3}),
	maxAttempts: fc.integer({min: 1, max: 3}),
	refusals: fc.integer({min: 0, max: 4}),
	hasTime: fc.boolean(),
	hasOtherAttempt: fc.boolean(),
	hasAnswered: fc.boolean(),
	budget: fc.boolean(),
});

it('guards against double runs and a false "not run": a call that may have run is retried only where that is safe, and refused only if it cannot have run', () => {
	fc.assert(fc.property(nextInputs, ({budget, ...input}) => {
		const step = decideNextStep({...input, tryTakeRetry: () => budget});
		if (step === 'repeat' && input.outcome.kind !== 'not-run') {
			expect(input.kind === 'idempotent' || (input.kind === 'stream' && input.isResumable)).to.equal(true);
			expect(input.possibleRuns).to.be.lessThan(input.maxAttempts);
		}

		if (step === 'refuse') {
			expect([input.outcome.kind, input.possibleRuns, input.isResponseStarted]).to.deep.equal(['not-run', 0, false]);
		}

		const isPartInDoubt = input.outcome.kind === 'spoilt' && input.hasAnswered;
		const waits = input.hasOtherAttempt && !isPartInDoubt;
		if (input.isResponseStarted) {
			expect(step).to.be.oneOf(waits ? ['wait'] : (isPartInDoubt ? ['cut'] : ['repeat', 'cut']));
		}

		if (waits) {
			expect(step).to.equal('wait');
		} else {
			expect(step).to.not.equal('wait');
		}

		if (step === 'repeat') {
			expect([budget, input.hasTime]).to.deep.equal([true, true]);
		}
	}), {seed: 20_261_204, numRuns: 600});
});

it('guards against wrong routes: the longest prefix of the host wins, whatever the order of routes and the query', () => {
	const routes = [testRoute({name: 'short', prefix: '/a/'}), testRoute({name: 'long', prefix: '/a/b/'}), testRoute({name: 'other', host: 'b.example', prefix: '/a/b/c/'})];
	for (const list of [routes, routes.toReversed()]) {
		const table = new RouteTable({...testConfiguration(1), routes: list});
		expect(['/a/b/c/x', '/a/x', '/a/bx', '/b/', '/x?/a/b/'].map(path => table.findRoute('A.example:80', path)?.name)).to.deep.equal(['long', 'short', 'short', undefined, undefined]);
	}
});

it('guards against split or merged events: however the bytes arrive, the same complete events come out', () => {
	const events = fc.array(fc.record({id: fc.nat(999), data: fc.string({unit: fc.constantFrom('a', 'é', ' ', ':'), maxLength: 12})}), {maxLength: 8});
	fc.assert(fc.property(events, fc.array(fc.integer({min: 1, max: 9})), fc.constantFrom('\n', '\r\n'), (list, cuts, newline) => {
		const texts = list.map(({id, data}) => `id: ${id}${newline}data: ${data}${newline}${newline}`);
		const bytes = Buffer.from(`${texts.join('')}id: 1${newline}da`);
		const splitter = new EventSplitter();
		const out: string[] = [];
		let at = 0;
		for (const size of [...cuts, bytes.length]) {
			out.push(...splitter.push(bytes.subarray(at, at + size)).map(event => `${event.id}|${event.bytes.toString('utf8')}`));
			at = Math.min(bytes.length, at + size);
		}

		expect(out).to.deep.equal(list.map(({id}, index) => `${id}|${texts[index]}`));
		expect(splitter.pendingBytes).to.be.greaterThan(0);
	}), {seed: 5, numRuns: 300});
});

it('guards against a retry storm: retries of all gateways together stay within the limit, even if each one sees only itself', () => {
	const clock = install();
	try {
		const entries = Array.from({length: 6}, () => new WindowedRetryBudget({ratio: 0.2, slack: 100, windowMs: 10_000}, () => 6));
		let calls = 0;
		let repeats = 0;
		for (let ms = 0; ms < 10_000; ms += 50) {
			for (const entry of entries) {
				entry.recordCall();
				calls++;
				repeats += entry.tryTake() ? 1 : 0;
			}

			clock.tick(50);
		}

		expect(repeats).to.be.at.most((calls * 0.2) + 100);
		expect(repeats).to.be.greaterThan(calls * 0.1);
	} finally {
		clock.uninstall();
	}
});

it('guards against old weights: calls may start on an older version only for a limited time after a newer one was announced', () => {
	withVersionExpiry((expiry, directory, clock) => {
		const held = {
			model: 'm', version: 1, fromLayer: 0, toLayer: 16,
		};
		expect(expiry.mayStart(held)).to.equal(true);
		directory.apply({revision: 5, changes: [{revision: 5, change: {kind: 'version', model: 'm', version: 2}}]}, observedNow());
		expect(expiry.mayStart(held)).to.equal(true);
		clock.tick(7900);
		expect(expiry.mayStart(held)).to.equal(false);
		expect(expiry.mayStart({...held, version: 2})).to.equal(true);
	});
});

it('guards against old weights when versions follow each other: a third version does not extend the time of the first', () => {
	withVersionExpiry((expiry, directory, clock) => {
		const announce = (version: number) => {
			directory.apply({revision: version, changes: [{revision: version, change: {kind: 'version', model: 'm', version}}]}, observedNow());
		};

		announce(2);
		clock.tick(3000);
		announce(3);
		clock.tick(4900);
		const held = {model: 'm', fromLayer: 0, toLayer: 16};
		expect([1, 2, 3].map(version => expiry.mayStart({...held, version}))).to.deep.equal([false, true, true]);
	});
});

it('guards against old weights after a restart: once the first read finds a newer version, none begins on an older one until a peer tells that it has not expired', () => {
	withVersionExpiry((expiry, directory, clock) => {
		const held = {
			model: 'm', version: 1, fromLayer: 0, toLayer: 16,
		};
		directory.apply({revision: 5, changes: [{revision: 5, change: {kind: 'version', model: 'm', version: 2}}]}, {namedAfterMs: Number.NEGATIVE_INFINITY, isAfterOutage: false});
		expect(expiry.mayStart(held)).to.equal(false);
		clock.tick(3000);
		directory.mergeFromPeer({versions: [{model: 'm', version: 2, minAgeMs: 3000}]}, performance.now());
		expect(expiry.mayStart(held)).to.equal(false);
		directory.mergeFromPeer({
			versions: [{
				model: 'm', version: 2, minAgeMs: 3500, maxAgeMs: 3500,
			}],
		}, performance.now());
		expect(expiry.timeLeftMs(held)).to.equal(8000 - 250 - 3500);
		clock.tick(8000 - 250 - 3500);
		expect(expiry.mayStart(held)).to.equal(false);
	});
});

it('guards against begins on old weights through a gateway that aborts too late: the larger its recent delay, the earlier a version expires, within a bound', () => {
	const clock = install();
	try {
		let delayMs = 0;
		const directory = new Directory(createSilentLogger());
		const expiry = new VersionExpiry(directory, 8000, () => delayMs);
		const held = {
			model: 'm', version: 1, fromLayer: 0, toLayer: 16,
		};
		directory.apply({revision: 5, changes: [{revision: 5, change: {kind: 'version', model: 'm', version: 2}}]}, observedNow());
		const timeLeftMs = (ms: number) => {
			delayMs = ms;
			return expiry.timeLeftMs(held);
		};

		const usualMs = timeLeftMs(0);
		expect(timeLeftMs(400)).to.equal(usualMs - 400);
		expect(timeLeftMs(10_000)).to.equal(usualMs - 1000);
		expect(timeLeftMs(0)).to.equal(usualMs);
		expect(timeLeftMs(400)).to.be.lessThan(usualMs);
		expect(expiry.timeLeftMs({...held, version: 2})).to.equal(Number.POSITIVE_INFINITY);
	} finally {
		clock.uninstall();
	}
});

it('guards against a wait that outlives its version: the time is up when the version expires, earlier or later if that changes, and never after the call has started', () => {
	const clock = install();
	try {
		let expiresAtMs = 1000;
		const passedAtMs: number[] = [];
		const createDeadline = () => new StartDeadline(() => expiresAtMs - performance.now(), () => {
			passedAtMs.push(performance.now());
		}, testBoundary());
		const usual = createDeadline();
		expect([999, 1001].map(ms => usual.allowsStartIn(ms))).to.deep.equal([true, false]);
		createDeadline().stop();
		clock.tick(900);
		expiresAtMs = 1500;
		clock.tick(400);
		expect(passedAtMs).to.deep.equal([]);
		expiresAtMs = 1200;
		usual.check();
		clock.tick(1);
		expect(passedAtMs).to.have.lengthOf(1);
		expiresAtMs = Number.NEGATIVE_INFINITY;
		createDeadline();
		clock.tick(1);
		expect(passedAtMs).to.have.lengthOf(2);
		const started = createDeadline();
		started.stop();
		started.check();
		clock.tick(5000);
		expect(passedAtMs).to.have.lengthOf(2);
	} finally {
		clock.uninstall();
	}
});

it('guards against a late event loop that goes unnoticed: delays well below a pause are known at once, a smaller one does not hide a larger one, and they fade', () => {
	const clock = install();
	const detector = new PauseDetector();
	try {
		expect(detector.recentDelayMs).to.equal(0);
		clock.tick(1000);
		clock.jump(600);
		const largestMs = detector.recentDelayMs;
		expect(largestMs).to.be.within(450, 600);
		clock.tick(100);
		clock.jump(150);
		expect(detector.recentDelayMs).to.be.within(largestMs * 0.8, largestMs);
		clock.tick(20_000);
		expect(detector.recentDelayMs).to.be.lessThan(10);
	} finally {
		detector.stop();
		clock.uninstall();
	}
});

const candidate = (id: string, calls: number, extra: Partial<Candidate> = {}): Candidate => ({
	id, isLocal: true, slots: 16, isSuspect: false, startWindowMs: Number.POSITIVE_INFINITY, load: {calls, unreadTokens: 0, slowness: 1}, ...extra,
});

it('guards against late responses under load: a stream goes to the instance with the earliest predicted first token, and is refused if no instance can be on time', () => {
	const call = {
		promptTokens: 900, aimLeftMs: 400, deadlineLeftMs: 6000, isResponseStarted: false,
	};
	const slow = candidate('slow', 3, {load: {calls: 3, unreadTokens: 0, slowness: 5}});
	expect(selectEngineInstance(testEngineTiming, [candidate('full', 20), candidate('free', 5), slow], call, () => 0)).to.include({kind: 'place', id: 'free'});
	const refused = selectEngineInstance(testEngineTiming, [candidate('a', 40), candidate('b', 60)], call, () => 0);
	expect(refused.kind).to.equal('refuse');
	expect(refused).to.have.property('retryAfterMs').that.is.within(300, 2000);
	expect(selectEngineInstance(testEngineTiming, [], call, () => 0)).to.include({kind: 'refuse', reason: 'no_upstream'});
});

it('guards against streams cut although another instance could resume them: a started stream gets any instance that responds before the deadline, even if it is late', () => {
	const call = {promptTokens: 900, aimLeftMs: -500, deadlineLeftMs: 3000};
	const candidates = [candidate('a', 14, {load: {calls: 14, unreadTokens: 4000, slowness: 1}}), candidate('b', 12)];
	expect(selectEngineInstance(testEngineTiming, candidates, {...call, isResponseStarted: true}, () => 0)).to.include({kind: 'place', id: 'b'});
	expect(selectEngineInstance(testEngineTiming, candidates, {...call, isResponseStarted: false}, () => 0)).to.include({kind: 'refuse', reason: 'overloaded'});
	expect(selectEngineInstance(testEngineTiming, candidates, {...call, isResponseStarted: true, deadlineLeftMs: 50}, () => 0).kind).to.equal('refuse');
});

it('guards against a refusal although another instance would do: slow instances in the same zone do not hide those in other zones that are on time or have free slots', () => {
	const near = candidate('near', 13, {load: {calls: 13, unreadTokens: 2500, slowness: 1}});
	const far = candidate('far', 13, {isLocal: false, load: {calls: 13, unreadTokens: 1900, slowness: 1}});
	const idle = candidate('idle', 3, {isLocal: false, load: {calls: 3, unreadTokens: 3000, slowness: 1}});
	const call = {promptTokens: 900, deadlineLeftMs: 6000, isResponseStarted: false};
	expect(selectEngineInstance(testEngineTiming, [near, far], {...call, aimLeftMs: 370}, () => 0)).to.include({kind: 'place', id: 'far'});
	expect(selectEngineInstance(testEngineTiming, [near, idle], {...call, aimLeftMs: -200}, () => 0)).to.include({kind: 'place', id: 'idle'});
});

it('guards against calls behind a busy link: an engine with a short path gets them, one with a long path only if the others are slower still, and usual delays change nothing', () => {
	const call = {
		promptTokens: 900, aimLeftMs: 2000, deadlineLeftMs: 6000, isResponseStarted: false,
	};
	const select = (pathDelayMs: number, otherCalls: number) => selectEngineInstance(testEngineTiming, [candidate('behind', 0, {pathDelayMs}), candidate('other', otherCalls)], call, () => 0);
	expect(select(1100, 10)).to.include({id: 'other'});
	expect(select(1100, 30)).to.include({id: 'behind'});
	expect(select(90, 10)).to.include({id: 'behind'});
});

it('guards against treating new calls as late: deadlines that vary from caller to caller count as first attempts, much shorter ones as retries', () => {
	const deadlines = new DeadlineHistory();
	expect([6033, 5130, 5600].map(deadlineMs => deadlines.estimateElapsedMs('/a/', deadlineMs))).to.deep.equal([0, 0, 0]);
	expect(deadlines.estimateElapsedMs('/a/', 4300)).to.be.greaterThan(500);
	expect([deadlines.estimateElapsedMs('/b/', 1000), deadlines.estimateElapsedMs('/a/', undefined)]).to.deep.equal([0, 0]);
});

it('guards against one patient caller that makes all others look late: deadlines far above the usual ones of a route are ignored', () => {
	const deadlines = new DeadlineHistory();
	const usual = Array.from({length: 40}, (item, index) => 5100 + ((index * 37) % 930));
	for (const deadlineMs of usual) {
		deadlines.estimateElapsedMs('/a/', deadlineMs);
	}

	expect(deadlines.estimateElapsedMs('/a/', 60_000)).to.equal(0);
	expect(usual.map(deadlineMs => deadlines.estimateElapsedMs('/a/', deadlineMs)).every(ms => ms === 0)).to.equal(true);
	expect(deadlines.estimateElapsedMs('/a/', 4000)).to.be.greaterThan(500);
});

it('guards against starting late on old weights: an instance whose version expires before the predicted first token gets no call, however idle it is', () => {
	const call = {
		promptTokens: 900, aimLeftMs: 400, deadlineLeftMs: 6000, isResponseStarted: false,
	};
	const expiring = candidate('expiring', 0, {startWindowMs: 60});
	expect(selectEngineInstance(testEngineTiming, [expiring, candidate('new', 4)], call, () => 0)).to.include({kind: 'place', id: 'new'});
	expect(selectEngineInstance(testEngineTiming, [expiring], call, () => 0)).to.include({kind: 'refuse', reason: 'no_upstream'});
});

it('guards against a prediction that rewards load: more calls, more unprocessed tokens or a slower engine never predict an earlier first token', () => {
	fc.assert(fc.property(fc.nat(60), fc.nat(20_000), fc.nat(20_000), fc.double({min: 0.8, max: 6, noNaN: true}), (calls, unreadTokens, prompt, slowness) => {
		const at = predictFirstEventMs(testEngineTiming, {calls, unreadTokens, slowness}, prompt);
		expect(predictFirstEventMs(testEngineTiming, {calls: calls + 1, unreadTokens, slowness}, prompt)).to.be.at.least(at);
		expect(predictFirstEventMs(testEngineTiming, {calls, unreadTokens: unreadTokens + 100, slowness}, prompt)).to.be.greaterThan(at);
		expect(predictFirstEventMs(testEngineTiming, {calls, unreadTokens, slowness: slowness + 0.5}, prompt)).to.be.greaterThan(at);
	}), {seed: 9, numRuns: 300});
});

it('guards against reverting to old state: neither the source nor a peer can put an older configuration or an older instance entry in force', () => {
	const directory = new Directory(createSilentLogger());
	directory.apply({revision: 9, changes: [{revision: 9, change: {kind: 'configuration', configuration: testConfiguration(7)}}]});
	directory.mergeFromPeer({configuration: testConfiguration(6), versions: []}, performance.now());
	directory.apply({revision: 10, changes: [{revision: 10, change: {kind: 'configuration', configuration: testConfiguration(5)}}]});
	expect(directory.configurationVersion).to.equal(7);
	const draining = testInstance({id: 'i-1', isDraining: true});
	directory.apply({revision: 12, changes: [{revision: 12, change: {kind: 'instance', instance: draining}}]});
	directory.apply({revision: 13, changes: [{revision: 11, change: {kind: 'instance', instance: testInstance({id: 'i-1'})}}]});
	expect(directory.instance('i-1')?.isDraining).to.equal(true);
	directory.apply({revision: 14, changes: [{revision: 14, change: {kind: 'instance-gone', id: 'i-1'}}]});
	directory.apply({revision: 14, changes: [{revision: 12, change: {kind: 'instance', instance: draining}}]});
	expect(directory.instance('i-1')).to.equal(undefined);
});

it('guards against calls to an instance that was replaced at its address: only the one that started last is listed', () => {
	const directory = new Directory(createSilentLogger());
	const entries = [testInstance({id: 'new', address: '127.0.0.1:5', startedAtMs: 9}), testInstance({id: 'old', address: '127.0.0.1:5', startedAtMs: 3}), testInstance({id: 'other', address: '127.0.0.1:6'})];
	for (const list of [entries, entries.toReversed()]) {
		directory.replaceInstances({revision: 4, changes: list.map(instance => ({revision: 4, change: {kind: 'instance', instance}}))});
		expect(directory.instances.map(({id}) => id).toSorted((a, b) => a.localeCompare(b))).to.deep.equal(['new', 'other']);
	}
});

it('guards against losing every upstream in an outage of the source: instances that lapsed meanwhile stay listed until they have had time to register again, and no longer', () => {
	const clock = install();
	try {
		const directory = new Directory(createSilentLogger());
		const listed = (id: string, revision: number) => ({revision, change: {kind: 'instance' as const, instance: testInstance({id})}});
		directory.replaceInstances({revision: 5, changes: [listed('i-1', 3), listed('i-2', 4)]});
		directory.replaceInstances({revision: 9, changes: [listed('i-2', 4)]}, {namedAfterMs: Number.NEGATIVE_INFINITY, isAfterOutage: true});
		expect(directory.instances.map(({id}) => id)).to.deep.equal(['i-1', 'i-2']);
		clock.tick(1700);
		expect(directory.instances.map(({id}) => id)).to.deep.equal(['i-2']);
		directory.replaceInstances({revision: 12, changes: []});
		expect(directory.instances).to.deep.equal([]);
	} finally {
		clock.uninstall();
	}
});

it('guards against new calls to an instance that left during an outage of the source: it stays listed for less time than a leaving instance runs, and removals outside an outage apply at once', () => {
	const clock = install();
	try {
		const directory = new Directory(createSilentLogger());
		const gone = (id: string, revision: number) => ({revision, changes: [{revision, change: {kind: 'instance-gone' as const, id}}]});
		directory.replaceInstances({revision: 5, changes: ['i-1', 'i-2'].map(id => ({revision: 3, change: {kind: 'instance' as const, instance: testInstance({id})}}))});
		directory.apply(gone('i-1', 7), {namedAfterMs: Number.NEGATIVE_INFINITY, isAfterOutage: true});
		directory.apply(gone('i-2', 8));
		expect(directory.instances.map(({id}) => id)).to.deep.equal(['i-1']);
		clock.tick(1900);
		expect(directory.instances).to.deep.equal([]);
	} finally {
		clock.uninstall();
	}
});

it('guards against an engine that stays idle after loading: the version that its stager reports applies at once, for that run only, and no older entry reverts it', () => {
	const directory = new Directory(createSilentLogger());
	const held = (version: number) => ({
		model: 'm', version, fromLayer: 0, toLayer: 16,
	});
	const entry = (revision: number, startedAtMs: number, version?: number) => {
		const instance = testInstance({
			id: 'i-1', address: '10.0.0.1:80', startedAtMs, held: version === undefined ? [] : [held(version)],
		});
		directory.apply({revision, changes: [{revision, change: {kind: 'instance', instance}}]});
	};

	const versions = () => directory.instance('i-1')?.held.map(({version}) => version);
	entry(3, 100);
	directory.recordHeldModel('10.0.0.1:80', 100, held(2));
	expect(versions()).to.deep.equal([2]);
	entry(4, 100, 1);
	expect(versions()).to.deep.equal([2]);
	entry(5, 100, 3);
	expect(versions()).to.deep.equal([3]);
	entry(6, 200);
	expect(versions()).to.deep.equal([]);
});
