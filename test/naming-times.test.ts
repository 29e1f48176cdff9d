/** What a process believes of when versions of weights were named: calls on older weights must not begin after these have expired. */
import {Buffer} from 'node:buffer';
import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';
import {StoreSource} from '../platform/store-source.ts';
import {Directory} from '../src/directory/directory.ts';
import {type DirectoryChanges, type DirectorySource, HistoryLostError} from '../src/directory/directory-types.ts';
import {DirectoryWatcher} from '../src/directory/directory-watcher.ts';
import type {NamedVersion} from '../src/directory/named-versions.ts';
import {StartDeadline} from '../src/forwarding/start-deadline.ts';
import {VersionExpiry} from '../src/placement/version-expiry.ts';
import type {PeerClient} from '../src/links/peer-client.ts';
import {ElapsedClock} from '../src/runtime/elapsed-clock.ts';
import {PauseDetector} from '../src/runtime/pause-detector.ts';
import {RandomSource} from '../src/runtime/random-source.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {observedNow, testBoundary} from './support/direct-fixtures.ts';

const unknownContext = {isAfterOutage: false, namedAfterMs: Number.NEGATIVE_INFINITY};
const namedVersion2 = {revision: 5, changes: [{revision: 5, change: {kind: 'version' as const, model: 'm', version: 2}}]};

/** Runs a test with a clock that stands still at 60 s. */
async function withClock(test: (clock: Clock) => void | Promise<void>): Promise<void> {
	const clock = install();
	try {
		clock.tick(60_000);
		await test(clock);
	} finally {
		clock.uninstall();
	}
}

const held = {
	model: 'm', version: 1, fromLayer: 0, toLayer: 16,
};

/** How long messages may wait in a socket, and how long those without a request may be under way besides, in milliseconds. */
const [maxDelayMs, maxUnderWayMs] = [700, 1500];

/** The earliest time at which a process believes that version 2 was named. */
const earliestOf = (directory: Directory) => directory.versionsOf('m').find(({version}) => version === 2)?.earliestMs;

it('guards against old weights when two versions are named at once: a watch tells both, and only the last change of any other key', async () => {
	const event = (key: string, revision: number, value: unknown) => ({key, revision, value: Buffer.from(JSON.stringify(value)).toString('base64')});
	const response = {
		store_revision: 9, events: [
			event('op/version/m', 5, {model: 'm', version: 2}), event('op/other', 6, 1), event('op/version/m', 7, {model: 'm', version: 3}), event('op/other', 8, 2),
		],
	};
	const links = {bytes: async () => ({status: 200, headers: {}, bytes: Buffer.from(JSON.stringify(response))})} as unknown as PeerClient;
	const {changes} = await new StoreSource(links, () => 'a:1', createSilentLogger()).watch('published', 4, 5000, AbortSignal.timeout(1000));
	expect(changes.map(({revision, change}) => [revision, change.kind === 'version' ? change.version : change.kind])).to.deep.equal([[5, 2], [7, 3], [8, 'unreadable']]);
});

it('guards against a belief that depends on the order of messages: an earlier observation replaces a later one that excludes it, and no one else does', async () => {
	await withClock(() => {
		const directory = new Directory(createSilentLogger());
		directory.apply(namedVersion2, unknownContext);
		const merge = (version: NamedVersion) => {
			directory.mergeFromPeer({versions: [version]}, performance.now());
			return earliestOf(directory)!;
		};

		const version = {model: 'm', version: 2};
		expect(merge({...version, minAgeMs: 500, maxAgeMs: 600})).to.equal(59_400);
		expect(merge({...version, minAgeMs: 3000, maxAgeMs: 3200})).to.equal(56_800);
		expect(merge({...version, minAgeMs: 500, maxAgeMs: 600})).to.equal(56_800);
		expect(merge({...version, minAgeMs: 0, maxAgeMs: 9000})).to.equal(56_800);
		expect(merge({...version, minAgeMs: 0})).to.equal(56_800);
		expect(merge({...version, minAgeMs: 2900, maxAgeMs: 3100})).to.equal(56_900);
	});
});

it('guards against changes that are told without end: bounds that differ by little are no news, and a version that is no longer kept is not taken again', async () => {
	await withClock(() => {
		const directory = new Directory(createSilentLogger());
		const merge = (version: number, ageMs: number) => {
			directory.mergeFromPeer({
				versions: [{
					model: 'm', version, minAgeMs: ageMs - 300, maxAgeMs: ageMs,
				}],
			}, performance.now());
			return directory.versionChanges;
		};

		expect([merge(2, 1000), merge(2, 950), merge(2, 920), merge(2, 850)]).to.deep.equal([1, 1, 1, 2]);
		expect([merge(3, 800), merge(4, 700), merge(5, 600), merge(6, 500)]).to.deep.equal([3, 4, 5, 6]);
		expect(merge(2, 1000)).to.equal(6);
	});
});

const processCount = 4;
const stepSchema = fc.record({
	kind: fc.constantFrom('answer', 'news', 'read', 'restart'), from: fc.nat(processCount - 1), to: fc.nat(processCount - 1),
	requestMs: fc.nat(2000), answerMs: fc.nat(2000), newsMs: fc.nat(maxDelayMs + maxUnderWayMs), pauseMs: fc.nat(3000),
});

it('guards against old weights whatever happens to messages: with delays, any order and restarts, no process believes in a later naming than the true one, and all agree once they can', async () => {
	await fc.assert(fc.asyncProperty(fc.array(stepSchema, {maxLength: 60}), async steps => withClock(async clock => {
		const createDirectory = () => new Directory(createSilentLogger(), new ElapsedClock(() => maxDelayMs));
		const directories = Array.from({length: processCount}, createDirectory);
		const namedAtMs = performance.now();
		clock.tick(100);
		// The first process observes the naming and is not restarted.
		directories[0]!.apply(namedVersion2, {isAfterOutage: false, namedAfterMs: namedAtMs - 50});
		const check = () => {
			for (const directory of directories) {
				expect(earliestOf(directory) ?? Number.NEGATIVE_INFINITY).to.be.at.most(namedAtMs);
			}
		};

		const take = (to: Directory, versions: readonly NamedVersion[], createdAfterMs: number) => {
			to.mergeFromPeer(structuredClone({versions}), createdAfterMs);
			check();
		};

		const actions: Record<typeof steps[number]['kind'], (step: typeof steps[number]) => void> = {
			answer({from, to, requestMs, answerMs}) {
				const [target, startedAtMs] = [directories[to]!, performance.now()];
				setTimeout(() => {
					const versions = directories[from]!.shareableVersions;
					setTimeout(() => {
						take(target, versions, startedAtMs);
					}, answerMs);
				}, requestMs);
			},
			news({from, to, newsMs}) {
				const [target, versions] = [directories[to]!, directories[from]!.shareableVersions];
				setTimeout(() => {
					take(target, versions, target.clock.sentAfterMs);
				}, newsMs);
			},
			read({to}) {
				directories[to]!.apply(namedVersion2, unknownContext);
			},
			restart({to}) {
				directories[to === 0 ? 1 : to] = createDirectory();
			},
		};
		for (const step of steps) {
			actions[step.kind](step);
			await clock.tickAsync(step.pauseMs);
			check();
		}

		await clock.tickAsync(5000);
		for (let round = 0; round < 2; round++) {
			for (const directory of directories) {
				for (const other of directories) {
					take(directory, other.shareableVersions, performance.now());
				}
			}
		}

		const beliefs = directories.map(directory => earliestOf(directory)!);
		expect(Math.max(...beliefs) - Math.min(...beliefs)).to.be.at.most(0.01);
		expect(Math.min(...beliefs)).to.be.at.least(namedAtMs - 50.01);
	})), {seed: 27, numRuns: 300});
});

it('guards against a wait in the socket of a busy process that goes unnoticed: the bound covers a late tick, before and after it ran, and falls back soon', async () => {
	await withClock(clock => {
		const detector = new PauseDetector();
		const delays: number[] = [];
		const interval = setInterval(() => delays.push(Math.round(detector.maxMessageDelayMs)), 250);
		clock.tick(1000);
		// The event loop stands still for 3 s: the timer runs once, late.
		clock.jump(3000);
		delays.push(Math.round(detector.maxMessageDelayMs));
		clock.tick(2500);
		clearInterval(interval);
		detector.stop();
		expect(delays.slice(0, 4)).to.deep.equal([250, 250, 250, 250]);
		expect(delays[5]).to.be.at.least(3000);
		expect(delays.at(-1)).to.be.at.most(300);
	});
});

it('guards against old weights when a restarted process tells what it read as observed: a read that says nothing of the time leaves it unknown, also to peers', async () => {
	await withClock(() => {
		const [restarted, peer] = [new Directory(createSilentLogger()), new Directory(createSilentLogger())];
		restarted.apply(namedVersion2);
		peer.mergeFromPeer(structuredClone(restarted.snapshot(0, 0)), performance.now());
		for (const directory of [restarted, peer]) {
			expect(new VersionExpiry(directory, 8000, () => 0).mayStart({
				model: 'm', version: 1, fromLayer: 0, toLayer: 16,
			})).to.equal(false);
		}
	});
});

it('guards against a forgotten version that gives older weights more time: many versions in quick succession keep the time of the first', async () => {
	await withClock(clock => {
		const directory = new Directory(createSilentLogger());
		const expiry = new VersionExpiry(directory, 8000, () => 0);
		for (let version = 2; version <= 10; version++) {
			directory.apply({revision: version, changes: [{revision: version, change: {kind: 'version', model: 'm', version}}]}, observedNow());
			clock.tick(500);
		}

		expect(expiry.timeLeftMs({
			model: 'm', version: 1, fromLayer: 0, toLayer: 16,
		})).to.equal(8000 - 250 - 4500);
	});
});

/** A source with one version, named at a time, that can fail and lose its history. */
class VersionSource implements DirectorySource {
	isFailing = false;
	losesHistory = false;
	/** How long requests and answers are each under way, in milliseconds. */
	underWayMs = 0;
	private revision = 1;
	private changes: DirectoryChanges['changes'] = [];
	private wake: (() => void) | undefined;

	nameVersion(): number {
		this.revision = 5;
		this.changes = namedVersion2.changes;
		this.wake?.();
		return performance.now();
	}

	async read(): Promise<DirectoryChanges> {
		return this.respond(0);
	}

	async watch(part: unknown, after: number, waitMs: number, signal: AbortSignal): Promise<DirectoryChanges> {
		await this.passLink();
		if (after >= this.revision) {
			await new Promise<void>(resolve => {
				this.wake = resolve;
				signal.addEventListener('abort', () => {
					resolve();
				});
				setTimeout(resolve, waitMs);
			});
		}

		signal.throwIfAborted();
		if (this.losesHistory) {
			throw new HistoryLostError('lost');
		}

		const response = this.respond(after);
		await this.passLink();
		return response;
	}

	private async passLink(): Promise<void> {
		if (this.underWayMs > 0) {
			await new Promise(resolve => {
				setTimeout(resolve, this.underWayMs);
			});
		}
	}

	private respond(after: number): DirectoryChanges {
		if (this.isFailing) {
			throw new Error('failing');
		}

		return {revision: this.revision, changes: this.changes.filter(({revision}) => revision > after)};
	}
}

type GapInput = {readonly source: VersionSource; readonly watcher: DirectoryWatcher; readonly clock: Clock};

/** Each names the version and returns when it did; the next response is the first one that tells it. */
const gaps: Readonly<Record<string, (input: GapInput) => Promise<number>>> = {
	async 'the source failed meanwhile'({source, clock}) {
		source.isFailing = true;
		await clock.tickAsync(6000);
		const namedAtMs = source.nameVersion();
		await clock.tickAsync(3000);
		source.isFailing = false;
		return namedAtMs;
	},
	async 'the history was lost'({source, clock}) {
		source.isFailing = true;
		await clock.tickAsync(6000);
		const namedAtMs = source.nameVersion();
		await clock.tickAsync(1000);
		source.losesHistory = true;
		source.isFailing = false;
		return namedAtMs;
	},
	async 'the process was frozen and reads again'({source, watcher, clock}) {
		const namedAtMs = performance.now();
		clock.jump(4000);
		watcher.restart();
		source.nameVersion();
		return namedAtMs;
	},
	async 'the response waited while the process was frozen'({source, clock}) {
		await clock.tickAsync(1000);
		const namedAtMs = performance.now();
		clock.jump(4000);
		source.nameVersion();
		return namedAtMs;
	},
	async 'another process watched meanwhile'({source, watcher, clock}) {
		watcher.stop();
		await clock.tickAsync(2000);
		const namedAtMs = source.nameVersion();
		await clock.tickAsync(2000);
		watcher.start();
		return namedAtMs;
	},
};

async function withWatcher(test: (input: GapInput & {readonly directory: Directory}) => Promise<void>): Promise<void> {
	await withClock(async clock => {
		const log = createSilentLogger();
		const detector = new PauseDetector();
		const directory = new Directory(log, new ElapsedClock(() => detector.maxMessageDelayMs));
		const source = new VersionSource();
		const watcher = new DirectoryWatcher({
			part: 'versions', source, directory, watchWaitMs: () => 5000, random: new RandomSource(1), log,
		});
		watcher.start();
		await clock.tickAsync(2000);
		await test({
			source, watcher, clock, directory,
		});
		watcher.stop();
		detector.stop();
	});
}

for (const [gap, run] of Object.entries(gaps)) {
	it(`guards against old weights after a gap: a version counts as named before the response that tells it if ${gap}`, async () => {
		await withWatcher(async ({directory, ...input}) => {
			const startMs = performance.now();
			const namedAtMs = await run(input);
			await input.clock.tickAsync(3000);
			expect(earliestOf(directory)).to.be.at.most(namedAtMs);
			expect(earliestOf(directory)).to.be.greaterThan(startMs - 5000);
		});
	});
}

for (const afterMs of [500, 6800]) {
	it(`guards against old weights when answers of the source are late: what earlier watches took beyond their wait counts as the time under way, ${afterMs} ms after one`, async () => {
		await withWatcher(async ({source, clock, directory}) => {
			source.underWayMs = 1000;
			await clock.tickAsync(12_000 + afterMs);
			const namedAtMs = source.nameVersion();
			await clock.tickAsync(9000);
			expect(earliestOf(directory)).to.be.within(namedAtMs - 4000, namedAtMs);
		});
	});
}

it('guards against weights that are given up too soon: a version that an uninterrupted watch tells counts as named a quarter of a second before at most', async () => {
	await withWatcher(async ({source, clock, directory}) => {
		await clock.tickAsync(1500);
		const namedAtMs = source.nameVersion();
		await clock.tickAsync(10);
		expect(earliestOf(directory)).to.be.within(namedAtMs - 251, namedAtMs);
	});
});

it('guards against old weights after a VM was suspended: the wall clock shows it, messages from before it count as older, and a peer tells the tight bounds', async () => {
	await withClock(clock => {
		const directory = new Directory(createSilentLogger());
		const expiry = new VersionExpiry(directory, 8000, () => 0);
		directory.apply(namedVersion2, observedNow());
		const requestedAtMs = directory.clock.nowMs;
		clock.tick(1000);
		expect(expiry.timeLeftMs(held)).to.equal(6750);
		// The monotonic clock stands still for 5 s.
		clock.setSystemTime(Date.now() + 5000);
		expect(expiry.timeLeftMs(held)).to.equal(1750);
		expect(directory.shareableVersions).to.deep.equal([{
			model: 'm', version: 2, minAgeMs: 1000, maxAgeMs: 6000,
		}]);
		const peerVersion = {model: 'm', version: 2, minAgeMs: 100};
		directory.mergeFromPeer({versions: [{...peerVersion, maxAgeMs: 200}]}, requestedAtMs);
		expect(earliestOf(directory)).to.be.at.most(61_000 - 6000);
		directory.mergeFromPeer({versions: [{...peerVersion, minAgeMs: 5900, maxAgeMs: 5950}]}, directory.clock.nowMs);
		expect(expiry.timeLeftMs(held)).to.equal(8000 - 250 - 5950);
	});
});

it('guards against old weights, and against refusals for long, when the wall clock is set: no step extends their time, and after one forwards a peer restores it', async () => {
	await withClock(clock => {
		for (const stepMs of [-7000, 3000, 60, -60]) {
			const directory = new Directory(createSilentLogger());
			const expiry = new VersionExpiry(directory, 8000, () => 0);
			directory.apply(namedVersion2, observedNow());
			clock.tick(1000);
			clock.setSystemTime(Date.now() + stepMs);
			expect(expiry.timeLeftMs(held)).to.equal(stepMs === 3000 ? 3750 : 6750);
			directory.mergeFromPeer({
				versions: [{
					model: 'm', version: 2, minAgeMs: 1000, maxAgeMs: 1000,
				}],
			}, directory.clock.nowMs);
			expect(expiry.timeLeftMs(held)).to.equal(6750);
		}
	});
});

for (const [cause, {suspendedMs, delayMs}] of Object.entries({'the VM was suspended': {suspendedMs: 5000, delayMs: 0}, 'timers begin to run late': {suspendedMs: 0, delayMs: 600}})) {
	it(`guards against begins on old weights by a call that waits: it is taken back earlier if its time left shrinks without a change of the directory because ${cause}`, async () => {
		await withClock(clock => {
			let eventLoopDelayMs = 0;
			const directory = new Directory(createSilentLogger());
			const expiry = new VersionExpiry(directory, 8000, () => eventLoopDelayMs);
			const namedAtMs = performance.now();
			directory.apply(namedVersion2, observedNow());
			clock.tick(1000);
			const takenBackAtMs: number[] = [];
			const deadline = new StartDeadline(() => expiry.timeLeftMs(held), () => {
				takenBackAtMs.push(performance.now());
			}, testBoundary());
			directory.onChange(() => {
				deadline.check();
			});
			clock.setSystemTime(Date.now() + suspendedMs);
			eventLoopDelayMs = delayMs;
			clock.tick(10_000);
			expect(takenBackAtMs).to.have.lengthOf(1);
			expect(takenBackAtMs[0]! - namedAtMs + suspendedMs + delayMs).to.be.within(7000, 8000);
		});
	});
}
