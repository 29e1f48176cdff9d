/** A source of the directory that comes back from an older copy: revisions go back and are given out again, and the era rises. */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';
import {storeEraHeader, StoreSource} from '../platform/store-source.ts';
import {Directory} from '../src/directory/directory.ts';
import {
	type DirectoryChange, type DirectoryChanges, type DirectoryPart, HistoryLostError, SourceError,
} from '../src/directory/directory-types.ts';
import {DirectoryWatcher} from '../src/directory/directory-watcher.ts';
import {rewriteTimeoutMs} from '../src/directory/known-instance.ts';
import {compareEntries, compareRevisions} from '../src/directory/store-revision.ts';
import {createStoreEra} from '../src/ids/store-era.ts';
import {PeerClient} from '../src/links/peer-client.ts';
import {createSilentLogger, type Logger} from '../src/runtime/logger.ts';
import {RandomSource} from '../src/runtime/random-source.ts';
import {testConfiguration, testInstance} from './support/direct-fixtures.ts';
import {DirectoryStore} from './support/directory-store.ts';
import {
	answerOf, deliver, type Life, ReturningSource,
} from './support/returning-source.ts';
import {type ReplicaFleet, type ReplicaProcess, withReplicas} from './support/replica-fleet.ts';

/** The seed and the number of runs of the interleavings; thousands are run by hand. */
const {ERA_SEED: seedText = '69', ERA_RUNS: runsText = '500'} = process.env;

const size = {gateways: 9, stagers: 3, zones: ['a', 'b', 'c']};

/** How long a change may take to reach all processes, in milliseconds. */
const spreadMs = 2000;

const firstIds = ['i-1', 'i-2', 'i-3', 'i-4'];

const entryOf = (id: string, isDraining = false) => testInstance({id, address: `10.9.0.1:${Number(id.slice(2))}`, isDraining});

function put(fleet: ReplicaFleet, id: string, isDraining = false): void {
	fleet.source.publish('instances', id, {kind: 'instance', instance: entryOf(id, isDraining)});
}

function remove(fleet: ReplicaFleet, id: string): void {
	fleet.source.publish('instances', id, {kind: 'instance-gone', id});
}

/** Writes entries again without a change, as the heartbeats of instances do. */
function writeAgain(fleet: ReplicaFleet, ids: readonly string[], count: number): void {
	for (let at = 0; at < count; at++) {
		put(fleet, ids[at % ids.length]!);
	}
}

const stateOf = ({directory}: ReplicaProcess, id: string) => {
	const instance = directory.instance(id);
	return instance === undefined ? 'gone' : (instance.isDraining ? 'draining' : 'ready');
};

function expectEverywhere(fleet: ReplicaFleet, id: string, state: string): void {
	const other = fleet.gateways.filter(gateway => stateOf(gateway, id) !== state).map(gateway => `${gateway.info.vm}: ${stateOf(gateway, id)}`);
	expect(other, `${id} is not ${state}`).to.deep.equal([]);
}

/** Runs an action with a fleet that knows instances 1 to 4, and a copy of the source from before their last 100 revisions. */
async function withCopy(action: (fleet: ReplicaFleet, copy: ReturnType<ReplicaFleet['source']['copy']>) => Promise<void>): Promise<void> {
	for (const seed of [1, 2, 3]) {
		await withReplicas(seed, size, async fleet => {
			writeAgain(fleet, firstIds, firstIds.length);

			await fleet.pass(spreadMs);
			const copy = fleet.source.copy();
			writeAgain(fleet, firstIds, 100);
			await fleet.pass(spreadMs);
			await action(fleet, copy);
		});
	}
}

it('guards against calls to an instance that leaves right after the source came back, while its revisions have not caught up', async () => {
	await withCopy(async (fleet, copy) => {
		fleet.source.comeBackFrom(copy);
		await fleet.pass(500);
		put(fleet, 'i-2', true);
		remove(fleet, 'i-3');
		put(fleet, 'i-5');
		await fleet.pass(spreadMs);
		expectEverywhere(fleet, 'i-2', 'draining');
		expectEverywhere(fleet, 'i-3', 'gone');
		expectEverywhere(fleet, 'i-5', 'ready');
	});
}).timeout(60_000);

it('guards against an older copy that undoes what is known: an instance that drains or has left stays so, until it is written again', async () => {
	await withCopy(async (fleet, copy) => {
		put(fleet, 'i-2', true);
		remove(fleet, 'i-3');
		await fleet.pass(spreadMs);
		fleet.source.comeBackFrom(copy);
		await fleet.pass(1000);
		writeAgain(fleet, ['i-1', 'i-4'], 3);
		for (let step = 0; step < 8; step++) {
			await fleet.pass(500);
			expectEverywhere(fleet, 'i-2', 'draining');
			expectEverywhere(fleet, 'i-3', 'gone');
		}

		put(fleet, 'i-2');
		put(fleet, 'i-3');
		await fleet.pass(spreadMs);
		expectEverywhere(fleet, 'i-2', 'ready');
		expectEverywhere(fleet, 'i-3', 'ready');
	});
}).timeout(60_000);

it('guards against instances that the copy lacks and that are dropped before they could register again, and against those that never do', async () => {
	await withCopy(async (fleet, copy) => {
		put(fleet, 'i-5');
		put(fleet, 'i-6');
		await fleet.pass(spreadMs);
		fleet.source.comeBackFrom(copy);
		for (let step = 0; step < 4; step++) {
			await fleet.pass(500);
			expectEverywhere(fleet, 'i-5', 'ready');
			expectEverywhere(fleet, 'i-6', 'ready');
		}

		put(fleet, 'i-5');
		for (let step = 0; step < 8; step++) {
			await fleet.pass(500);
			expectEverywhere(fleet, 'i-5', 'ready');
		}

		expectEverywhere(fleet, 'i-6', 'gone');
	});
}).timeout(60_000);

it('guards against a configuration that goes back with the source, and against one that comes late because its revision is lower', async () => {
	await withCopy(async (fleet, copy) => {
		const version = fleet.publish();
		await fleet.pass(spreadMs);
		fleet.source.comeBackFrom(copy);
		await fleet.pass(spreadMs);
		expect(fleet.gateways.map(({directory}) => directory.configurationVersion)).to.deep.equal(fleet.gateways.map(() => version));
		const next = fleet.publish();
		await fleet.pass(spreadMs);
		expect(fleet.gateways.map(({directory}) => directory.configurationVersion)).to.deep.equal(fleet.gateways.map(() => next));
	});
}).timeout(60_000);

it('guards against a source that comes back twice in a row: what was learned first holds, and changes are followed', async () => {
	await withCopy(async (fleet, copy) => {
		put(fleet, 'i-2', true);
		put(fleet, 'i-5');
		await fleet.pass(spreadMs);
		fleet.source.comeBackFrom(copy);
		await fleet.pass(700);
		put(fleet, 'i-5');
		remove(fleet, 'i-3');
		await fleet.pass(700);
		fleet.source.comeBackFrom(copy);
		for (let step = 0; step < 4; step++) {
			await fleet.pass(500);
			expectEverywhere(fleet, 'i-2', 'draining');
			expectEverywhere(fleet, 'i-3', 'gone');
			expectEverywhere(fleet, 'i-5', 'ready');
		}

		put(fleet, 'i-5');
		remove(fleet, 'i-4');
		await fleet.pass(spreadMs);
		expectEverywhere(fleet, 'i-4', 'gone');
		await fleet.pass(rewriteTimeoutMs);
		expectEverywhere(fleet, 'i-5', 'ready');
		expect(new Set(fleet.gateways.map(({directory}) => directory.era))).to.deep.equal(new Set([2]));
	});
}).timeout(60_000);

it('guards against a zone that is cut off while the source comes back, and undoes the changes of the others or keeps to its own when it returns', async () => {
	await withCopy(async (fleet, copy) => {
		const isInside = ({zone}: {readonly zone: string}) => zone === 'c';
		fleet.isCut = (from, to) => isInside(from) !== isInside(to);
		for (const {info} of fleet.processes.filter(({info}) => isInside(info))) {
			fleet.source.silent.add(info.vm);
		}

		await fleet.pass(1000);
		put(fleet, 'i-2', true);
		await fleet.pass(spreadMs);
		fleet.source.comeBackFrom(copy);
		await fleet.pass(spreadMs);
		remove(fleet, 'i-3');
		put(fleet, 'i-5');
		await fleet.pass(spreadMs);
		fleet.isCut = () => false;
		fleet.source.silent.clear();
		await fleet.pass(2 * spreadMs);
		expectEverywhere(fleet, 'i-1', 'ready');
		expectEverywhere(fleet, 'i-2', 'draining');
		expectEverywhere(fleet, 'i-3', 'gone');
		expectEverywhere(fleet, 'i-5', 'ready');
	});
}).timeout(60_000);

it('guards against a gateway that the source turns away and that keeps to the earlier era, while others tell it of the new one', async () => {
	await withCopy(async (fleet, copy) => {
		const turnedAway = fleet.gateways.filter(({replica}) => replica.isWatching).slice(0, 2);
		for (const {info} of turnedAway) {
			fleet.source.refused.add(info.vm);
		}

		fleet.source.comeBackFrom(copy);
		await fleet.pass(1000);
		put(fleet, 'i-2', true);
		remove(fleet, 'i-3');
		await fleet.pass(spreadMs);
		expectEverywhere(fleet, 'i-2', 'draining');
		expectEverywhere(fleet, 'i-3', 'gone');
	});
}).timeout(60_000);

for (const startsFirst of [true, false]) {
	it(`guards against a gateway that has just started and knows the copy only: it learns from the others what the copy lacks (${startsFirst ? 'before' : 'after'} they have seen the era)`, async () => {
		await withCopy(async (fleet, copy) => {
			put(fleet, 'i-2', true);
			remove(fleet, 'i-3');
			put(fleet, 'i-5');
			await fleet.pass(spreadMs);
			fleet.source.comeBackFrom(copy);
			await fleet.pass(startsFirst ? 1 : 1000);
			const joined = fleet.join('gateway', 9, 'a');
			await fleet.pass(1500);
			expect(['i-2', 'i-3', 'i-5'].map(id => stateOf(joined, id))).to.deep.equal(['draining', 'gone', 'ready']);
			put(fleet, 'i-5');
			await fleet.pass(2 * spreadMs);
			expectEverywhere(fleet, 'i-2', 'draining');
			expectEverywhere(fleet, 'i-3', 'gone');
			expectEverywhere(fleet, 'i-5', 'ready');
		});
	}).timeout(60_000);
}

it('guards against revisions of different eras in the wrong order, and against entries of a copy that count as newer than what is known', () => {
	const at = (era: number, revision: number) => ({era: createStoreEra(era), revision});
	expect([compareRevisions({revision: 150}, at(1, 47)), compareRevisions(at(1, 48), at(1, 47)), compareRevisions(at(0, 5), {revision: 5})].map(order => Math.sign(order))).to.deep.equal([-1, 1, 0]);
	const compare = (candidate: [number, number], known: [number, number]) => compareEntries(at(...candidate), at(...known), () => 50);
	expect(compare([1, 51], [0, 150])).to.equal('newer');
	expect(compare([0, 150], [1, 51])).to.equal('notNewer');
	expect(compare([1, 40], [0, 30])).to.equal('newer');
	expect(compare([0, 30], [1, 40])).to.equal('notNewer');
	expect(compare([1, 40], [0, 60])).to.equal('unclear');
	expect(compare([0, 60], [1, 40])).to.equal('unclear');
	expect(compare([1, 40], [1, 41])).to.equal('notNewer');
});

const stepArbitrary = fc.record({
	kind: fc.constantFrom('advance', 'advance', 'write', 'write', 'read', 'watch', 'watch', 'pull', 'pull', 'pull', 'hold', 'release', 'comeBack'),
	id: fc.nat({max: 3}), to: fc.nat({max: 3}), from: fc.nat({max: 3}), age: fc.integer({min: 1, max: 12}),
});

/** Directories that learn of a source that comes back, in any order and with responses that arrive late. */
class Interleaving {
	readonly source = new ReturningSource(['i-1', 'i-2', 'i-3', 'i-4']);
	readonly directories = Array.from({length: 4}, () => new Directory(createSilentLogger()));
	/** The last run that each directory has known to drain or to have left, by instance. */
	private readonly endedRuns = this.directories.map(() => new Map<string, Life>());
	private readonly held: Array<() => void> = [];
	private readonly steps: Readonly<Record<string, (step: {id: number; to: number; from: number; age: number}) => void>> = {
		advance: ({id}) => {
			this.source.advance(this.source.ids[id]!);
		},
		write: ({id}) => {
			this.source.write(this.source.ids[id]!);
		},
		read: ({to}) => {
			deliver(this.directories[to]!, this.source.read(), true);
		},
		watch: ({to}) => {
			this.watch(this.directories[to]!);
		},
		pull: ({to, from}) => {
			this.pull(this.directories[from]!, this.directories[to]!);
		},
		hold: ({to, from, age}) => {
			this.hold(this.directories[to]!, this.directories[from]!, age);
		},
		release: () => {
			this.held.shift()?.();
		},
		comeBack: ({age}) => {
			this.source.comeBack(age);
		},
	};

	run(step: {kind: string; id: number; to: number; from: number; age: number}): void {
		this.steps[step.kind]!(step);
		this.expectNoReversal();
	}

	/** Lets the writers repeat what the source lost, and all directories learn of it from the first one or from each other. */
	settle(clock: {tick: (ms: number) => unknown}): void {
		const [first, ...others] = this.directories as [Directory, ...Directory[]];
		for (const other of others) {
			this.pull(other, first);
		}

		for (let round = 0; round < 3; round++) {
			deliver(first, this.source.read(), true);
			for (const id of this.source.ids) {
				this.source.write(id);
			}

			this.watch(first);
			for (const from of this.directories) {
				for (const directory of this.directories) {
					this.pull(from, directory);
				}
			}

			clock.tick(rewriteTimeoutMs);
			this.expectNoReversal();
		}
	}

	private watch(directory: Directory): void {
		const response = this.source.watch(directory);
		if (!response) {
			return;
		}

		const listed = new Map(directory.instances.map(instance => [instance.id, instance]));
		deliver(directory, response, false);
		for (const {change} of response.changes) {
			const before = change.kind === 'instance-gone' && listed.get(change.id);
			if (before && directory.instance(before.id) === undefined) {
				this.endedRuns[this.directories.indexOf(directory)]!.set(before.id, {run: before.startedAtMs, phase: 'gone'});
			}
		}
	}

	private pull(from: Directory, to: Directory): void {
		const answer = answerOf(from, to);
		if (answer) {
			to.mergeFromPeer(answer, performance.now());
		}
	}

	/** Takes a response of the source or of another directory that arrives later. */
	private hold(to: Directory, from: Directory, age: number): void {
		const answer = answerOf(from, to);
		if (age % 2 === 0 && answer) {
			this.held.push(() => {
				to.mergeFromPeer(answer, performance.now());
			});
		} else {
			const response = this.source.read();
			this.held.push(() => {
				deliver(to, response, true);
			});
		}
	}

	private expectNoReversal(): void {
		for (const [at, directory] of this.directories.entries()) {
			for (const {id, startedAtMs: run, isDraining} of directory.instances) {
				const ended = this.endedRuns[at]!.get(id);
				expect(ended !== undefined && ended.run >= run && (!isDraining || ended.phase === 'gone'), `directory ${at} lists run ${run} of ${id} again after ${JSON.stringify(ended)}`).to.equal(false);
				if (isDraining) {
					this.endedRuns[at]!.set(id, {run, phase: 'draining'});
				}
			}
		}
	}
}

it('guards against directories that go back or differ for good, whatever the order of responses, late ones, messages and returns from copies', () => {
	fc.assert(fc.property(fc.array(stepArbitrary, {maxLength: 80, size: 'max'}), steps => {
		const clock = install();
		try {
			const interleaving = new Interleaving();
			for (const step of steps) {
				interleaving.run(step);
			}

			interleaving.settle(clock);
			const {source, directories} = interleaving;
			const truth = [...source.lives].filter(([, {phase}]) => phase !== 'gone').map(([id, {run, phase}]) => `${id} ${run} ${phase}`).toSorted();
			const believed = directories.map(({instances}) => instances.map(({id, startedAtMs, isDraining}) => `${id} ${startedAtMs} ${isDraining ? 'draining' : 'ready'}`).toSorted());
			expect(believed).to.deep.equal(directories.map(() => truth));
		} finally {
			clock.uninstall();
		}
	}), {seed: Number(seedText), numRuns: Number(runsText)});
}).timeout(60_000);

it('guards against an era that the source does not pass on: from reads, from watches, and from errors of the store', async () => {
	const store = new DirectoryStore();
	await store.start();
	const links = new PeerClient();
	try {
		const source = new StoreSource(links, () => store.address, createSilentLogger());
		const signal = AbortSignal.timeout(5000);
		const eras = async () => {
			const read = await source.read('instances', signal);
			const watch = await source.watch('instances', 1, 100, signal);
			return [read.era, watch.era];
		};

		const failure = async () => {
			const [result] = await Promise.allSettled([source.watch('instances', 90, 100, signal)]);
			return (result as PromiseRejectedResult).reason as SourceError;
		};

		store.put('servers/i-1', {});
		const copy = store.copy();
		store.put('servers/i-2', {});
		expect(await eras()).to.deep.equal([0, 0]);
		store.comeBackFrom(copy);
		expect(await eras()).to.deep.equal([1, 1]);
		const lost = await failure();
		expect([lost instanceof HistoryLostError, lost.era]).to.deep.equal([true, 1]);
		store.mode = 'refusing';
		const refused = await failure();
		expect([refused instanceof SourceError, refused instanceof HistoryLostError, refused.era]).to.deep.equal([true, false, 1]);
	} finally {
		await links.close();
		store.close();
	}
});

/** A source whose store gives the responses in turn, and the lines that it has logged. */
function createScriptedSource(responses: ReadonlyArray<{readonly era: string | undefined; readonly body: unknown}>): {source: StoreSource; lines: unknown[]} {
	const left = [...responses];
	const lines: unknown[] = [];
	const links = {
		async bytes() {
			const {era, body} = left.shift()!;
			return {status: 200, headers: era === undefined ? {} : {[storeEraHeader]: era}, bytes: Buffer.from(JSON.stringify(body))};
		},
		replaceConnections: () => undefined,
	};
	const log = {warn: (line: unknown) => lines.push(line)} as unknown as Logger;
	return {source: new StoreSource(links as unknown as PeerClient, () => 'a:1', log), lines};
}

it('guards against an era that is no whole number: it is logged and counts as unchanged', async () => {
	for (const era of ['-1', '1.5', 'one', '', ' ', '99999999999999999999']) {
		const {source, lines} = createScriptedSource([{era, body: {items: [], store_revision: 4}}]);
		const response = await source.read('published', AbortSignal.timeout(1000));
		expect(response.era, era).to.equal(undefined);
		expect(lines, era).to.have.length(1);
	}
});

it('guards against a read that mixes pages of the store with pages of its copy', async () => {
	const page = (id: string, isLast: boolean, revision: number) => ({items: [{key: `op/${id}`, value: '', revision}], more_pages: !isLast, store_revision: revision});
	const {source} = createScriptedSource([
		{era: '0', body: page('a', false, 90)}, {era: '1', body: page('b', true, 40)}, {era: '1', body: page('a', false, 41)}, {era: '1', body: page('b', true, 42)},
	]);
	const {revision, era, changes} = await source.read('published', AbortSignal.timeout(1000));
	expect([revision, era, changes.map(change => change.revision)]).to.deep.equal([41, 1, [41, 42]]);
});

type Call = {readonly kind: 'read' | 'watch'; readonly after?: number; readonly answer: (changes: DirectoryChanges) => Promise<void>; readonly fail: (err: Error) => Promise<void>};

/** Runs an action with a watcher whose calls are answered by the action. */
async function withWatcher(part: DirectoryPart, action: (directory: Directory, nextCall: () => Promise<Call>) => Promise<void>): Promise<void> {
	const clock = install();
	const directory = new Directory(createSilentLogger());
	const calls: Call[] = [];
	const open = async (kind: Call['kind'], after?: number): Promise<DirectoryChanges> => new Promise((resolve, reject) => {
		calls.push({
			kind, after,
			async answer(changes) {
				resolve(changes);
				await clock.tickAsync(1);
			},
			async fail(err) {
				reject(err);
				await clock.tickAsync(1);
			},
		});
	});
	const watcher = new DirectoryWatcher({
		part, directory, source: {read: async () => open('read'), watch: async (watched, after) => open('watch', after)}, watchWaitMs: () => 5000, random: new RandomSource(1), log: createSilentLogger(),
	});
	watcher.start();
	try {
		await action(directory, async () => {
			for (let waitedMs = 0; calls.length === 0 && waitedMs < 3000; waitedMs += 10) {
				await clock.tickAsync(10);
			}

			return calls.shift()!;
		});
	} finally {
		watcher.stop();
		clock.uninstall();
	}
}

const instanceChange = (id: string, isDraining = false): DirectoryChange => ({kind: 'instance', instance: entryOf(id, isDraining)});
const responseOf = (era: number, revision: number, changes: readonly DirectoryChange[] = []): DirectoryChanges => ({era: createStoreEra(era), revision, changes: changes.map(change => ({revision, change}))});

it('guards against a watch that goes on in a new era from a revision of the old one: the part is read in full', async () => {
	await withWatcher('instances', async (directory, nextCall) => {
		const first = await nextCall();
		await first.answer(responseOf(0, 150, [instanceChange('i-1')]));
		const watch = await nextCall();
		expect(watch).to.include({kind: 'watch', after: 150});
		await watch.answer(responseOf(1, 200));
		const again = await nextCall();
		expect(again.kind).to.equal('read');
		await again.answer(responseOf(1, 48, [instanceChange('i-1')]));
		expect(await nextCall()).to.include({kind: 'watch', after: 48});
		expect([directory.instancesEra, directory.instancesRevision]).to.deep.equal([1, 48]);
	});
});

it('guards against a response of the old era that arrives late and changes something', async () => {
	await withWatcher('instances', async (directory, nextCall) => {
		const read = await nextCall();
		directory.observeEra(createStoreEra(1), 'peer');
		await read.answer(responseOf(0, 150, [instanceChange('i-1')]));
		expect([directory.instances.length, directory.instancesRevision]).to.deep.equal([0, 0]);
		const again = await nextCall();
		await again.answer(responseOf(1, 48, [instanceChange('i-1')]));
		expect([directory.instances.length, directory.instancesRevision]).to.deep.equal([1, 48]);
	});
	await withWatcher('published', async (directory, nextCall) => {
		const read = await nextCall();
		directory.observeEra(createStoreEra(1), 'peer');
		await read.answer(responseOf(0, 150, [{kind: 'configuration', configuration: testConfiguration(3)}]));
		expect(directory.configurationVersion).to.equal(0);
	});
});

it('guards against an era that is learned too late: a store that turns this process away tells it, and so does one that has lost its history', async () => {
	for (const err of [new SourceError('status 503', createStoreEra(1)), new HistoryLostError('gone', createStoreEra(1))]) {
		await withWatcher('instances', async (directory, nextCall) => {
			const read = await nextCall();
			await read.answer(responseOf(0, 150));
			const watch = await nextCall();
			await watch.fail(err);
			expect(directory.era).to.equal(1);
			const again = await nextCall();
			expect(again.kind).to.equal('read');
		});
	}
});

it('guards against old weights after a return: a version that the copy lacks and that is named again counts as named before the return', async () => {
	await withWatcher('versions', async (directory, nextCall) => {
		const named = (version: number): DirectoryChange => ({kind: 'version', model: 'm', version});
		const read = await nextCall();
		await read.answer(responseOf(0, 10, [named(1)]));
		const watch = await nextCall();
		const knownUntilMs = performance.now();
		await watch.fail(new SourceError('status 503', createStoreEra(1)));
		const again = await nextCall();
		await again.answer(responseOf(1, 5, [named(1)]));
		const next = await nextCall();
		expect([again.kind, next.kind]).to.deep.equal(['read', 'watch']);
		await next.answer(responseOf(1, 6, [named(2)]));
		expect(directory.versionsOf('m').map(({version, earliestMs}) => [version, earliestMs <= knownUntilMs])).to.deep.equal([[1, true], [2, true]]);
	});
});

it('guards against a gone instance that an older entry of a peer confirms', () => {
	const clock = install();
	try {
		const [behind, peer] = [6, 106].map(revision => {
			const directory = new Directory(createSilentLogger());
			directory.replaceInstances(responseOf(0, revision, [instanceChange('i-3')]));
			directory.replaceInstances(responseOf(1, 8));
			return directory;
		}) as [Directory, Directory];
		behind.mergeFromPeer(answerOf(peer, behind)!, performance.now());
		clock.tick(rewriteTimeoutMs - 1);
		expect(behind.instance('i-3')?.id).to.equal('i-3');
		clock.tick(1);
		expect(behind.instance('i-3')).to.equal(undefined);
	} finally {
		clock.uninstall();
	}
});

it('guards against a process of an earlier version that cannot read the messages: without a rise of the era they are as before', () => {
	const directory = new Directory(createSilentLogger());
	directory.replaceInstances(responseOf(0, 7, [instanceChange('i-1')]));
	expect(directory.state).to.deep.equal({configurationVersion: 0, lastInstanceChange: 7});
	expect(directory.revisionsToRequest(directory.state)).to.deep.equal({configurationVersion: 0, instancesRevision: 7});
	expect(Object.keys(directory.snapshot(0, 0).instances!).toSorted()).to.deep.equal(['gone', 'instances', 'revision', 'since', 'unconfirmed']);
});
