/** Staging at an engine: which chunks are written and verified, and when the load is ordered. */
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {install} from '@sinonjs/fake-timers';
import fc from 'fast-check';
import {Directory} from '../src/directory/directory.ts';
import {digestOf} from '../src/ids/digest.ts';
import {ChunkStore} from '../src/rollout/chunk-store.ts';
import type {Manifest} from '../src/rollout/manifest.ts';
import type {TransferNode} from '../src/rollout/transfer-node.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {nextStagingStep, type StagingInput, switchoverAtMs} from '../src/staging/next-staging-step.ts';
import type {LocalEngine} from '../src/staging/local-engine.ts';
import {StagingManager} from '../src/staging/staging-manager.ts';
import type {StagingManagerOptions} from '../src/staging/staging-options.ts';
import {observedNow, testEngineTiming} from './support/direct-fixtures.ts';

const contents = ['one', 'two', 'three', 'four'].map(text => new TextEncoder().encode(text));

const manifest: Manifest = {
	model: 'm', version: '2', chunk_bytes: 8, total_bytes: 32, chunks: contents.map(bytes => digestOf(bytes)),
};

/** An engine that stores staged chunks and loads them without verification, as real engines do. */
class FakeEngine implements LocalEngine {
	readonly staged = new Map<number, Uint8Array>();
	loaded: Array<Uint8Array | undefined> = [];
	orders = 0;
	startedAtMs = 1;
	/** The version that it serves until the first order. */
	servedVersion: number | undefined;
	/** Called after each write. */
	onPut: (number: number) => void = () => undefined;

	async fetchReport() {
		return {
			startedAtMs: this.startedAtMs, isBusy: false, orderCount: this.orders, servedVersion: this.orders > 0 && this.loaded.length > 0 ? 2 : this.servedVersion,
		};
	}

	async listChunks() {
		return [...this.staged.keys()];
	}

	async putChunk(_model: string, number: number, bytes: Uint8Array) {
		this.staged.set(number, bytes);
		this.onPut(number);
	}

	async getChunk(_model: string, number: number) {
		return this.staged.get(number);
	}

	async loadStaged() {
		this.orders++;
		this.loaded = contents.map((_, number) => this.staged.get(number));
		return 'begun' as const;
	}
}

function publishVersion(directory: Directory, version = 2): void {
	directory.apply({revision: version, changes: [{revision: version, change: {kind: 'version', model: 'm', version}}]}, observedNow());
}

function createManager(
	engine: FakeEngine,
	directory: Directory,
	held: readonly Uint8Array[],
	overrides: Partial<StagingManagerOptions> = {},
): {readonly manager: StagingManager; readonly chunks: ChunkStore} {
	const log = createSilentLogger();
	const chunks = new ChunkStore();
	for (const bytes of held) {
		chunks.put(digestOf(bytes), bytes);
	}

	const node = {versions: [], setWantedVersions: () => undefined, stop: () => undefined} as unknown as TransferNode;
	const manager = new StagingManager({
		vm: 'a',
		publishedService: () => ({engine: testEngineTiming, origin: undefined}),
		directory,
		engine,
		chunks,
		node,
		fetchManifest: async () => manifest,
		groupVms: () => ['a'],
		versionBoundMs: 8000,
		onLoadStarted: () => undefined,
		onVersionServed: () => undefined,
		log,
		...overrides,
	});
	return {manager, chunks};
}

async function runStaging(engine: FakeEngine, until: () => boolean): Promise<void> {
	const directory = new Directory(createSilentLogger());
	publishVersion(directory);
	const {manager} = createManager(engine, directory, contents);
	manager.start();
	try {
		for (let at = 0; at < 200 && !until(); at++) {
			await sleep(20);
		}
	} finally {
		manager.stop();
	}
}

const text = (parts: ReadonlyArray<Uint8Array | undefined>) => parts.map(bytes => (bytes ? new TextDecoder().decode(bytes) : '')).join(' ');

it('guards against serving corrupt weights: a staged chunk that becomes corrupt is written again before the load order', async () => {
	const engine = new FakeEngine();
	let corruptions = 0;
	engine.onPut = number => {
		if (number === 2 && corruptions++ === 0) {
			engine.staged.set(2, new TextEncoder().encode('rot'));
		}
	};

	await runStaging(engine, () => engine.loaded.length > 0);
	expect([text(engine.loaded), engine.orders]).to.deep.equal(['one two three four', 1]);
});

it('guards against a rollout that waits for the next poll: a published version is staged, verified and ordered without delay', async () => {
	const clock = install();
	const engine = new FakeEngine();
	engine.loaded = contents;
	engine.servedVersion = 1;
	const directory = new Directory(createSilentLogger());
	const {manager} = createManager(engine, directory, contents);
	try {
		manager.start();
		await clock.tickAsync(1050);
		expect(engine.orders).to.equal(0);
		engine.servedVersion = undefined;
		publishVersion(directory);
		await clock.tickAsync(30);
		expect(engine.orders).to.equal(1);
	} finally {
		manager.stop();
		clock.uninstall();
	}
});

it('guards against staging only after the last chunk: chunks are staged as they arrive, and the load order follows soon after the last one', async () => {
	const clock = install();
	const engine = new FakeEngine();
	const directory = new Directory(createSilentLogger());
	publishVersion(directory);
	const {manager, chunks} = createManager(engine, directory, contents.slice(0, 3));
	try {
		manager.start();
		await clock.tickAsync(500);
		expect([engine.staged.size, engine.orders]).to.deep.equal([3, 0]);
		chunks.put(digestOf(contents[3]!), contents[3]!);
		await clock.tickAsync(130);
		expect([text(engine.loaded), engine.orders]).to.deep.equal(['one two three four', 1]);
	} finally {
		manager.stop();
		clock.uninstall();
	}
});

it('guards against trusting chunks of an earlier engine process: corrupt and missing chunks at a restarted engine are replaced, intact ones stay', async () => {
	const engine = new FakeEngine();
	engine.staged.set(0, contents[0]!);
	engine.staged.set(1, contents[3]!);
	const written: number[] = [];
	engine.onPut = number => {
		written.push(number);
	};

	await runStaging(engine, () => engine.loaded.length > 0);
	expect(text(engine.loaded)).to.equal('one two three four');
	expect(written.toSorted((a, b) => a - b)).to.deep.equal([1, 2, 3]);
});

it('guards against an engine that stays empty after a restart: chunks are staged and the load is ordered again', async () => {
	const engine = new FakeEngine();
	let restarted = false;
	await runStaging(engine, () => {
		if (engine.orders === 1 && !restarted) {
			restarted = true;
			engine.loaded = [];
			engine.staged.clear();
			engine.startedAtMs = 2;
		}

		return engine.orders === 2;
	});
	expect(text(engine.loaded)).to.equal('one two three four');
});

it('guards against a group that downloads all at once: half of the agents with serving engines have download priority, and all whose engines serve nothing', async () => {
	const group = ['a', 'b', 'c', 'd', 'e', 'f'];
	for (const [servedVersion, expected] of [[1, 3], [undefined, 6]] as const) {
		const managers: StagingManager[] = [];
		for (const vm of group) {
			const engine = new FakeEngine();
			engine.servedVersion = servedVersion;
			const directory = new Directory(createSilentLogger());
			publishVersion(directory);
			const {manager} = createManager(engine, directory, contents.slice(0, 1), {vm, groupVms: () => group});
			managers.push(manager);
			manager.start();
		}

		await sleep(40);
		expect(managers.filter(({hasDownloadPriority}) => hasDownloadPriority).length, `served ${servedVersion}`).to.equal(expected);
		for (const manager of managers) {
			manager.stop();
		}
	}
});

it('guards against engines without a permitted version that wait for the others: all have download priority once half of the version bound has passed', async () => {
	const group = ['a', 'b', 'c', 'd', 'e', 'f'];
	const clock = install();
	const managers: StagingManager[] = [];
	try {
		const directory = new Directory(createSilentLogger());
		publishVersion(directory);
		for (const vm of group) {
			const engine = new FakeEngine();
			engine.servedVersion = 1;
			const {manager} = createManager(engine, directory, contents.slice(0, 1), {vm, groupVms: () => group, versionBoundMs: 8000});
			managers.push(manager);
			manager.start();
		}

		const withPriority = () => managers.filter(({hasDownloadPriority}) => hasDownloadPriority).length;
		await clock.tickAsync(3900);
		expect(withPriority()).to.equal(3);
		await clock.tickAsync(200);
		expect(withPriority()).to.equal(6);
	} finally {
		for (const manager of managers) {
			manager.stop();
		}

		clock.uninstall();
	}
});

it('guards against a manifest that waits behind chunks of an older version on the link of the origin: their transfer stops when a newer version is published', async () => {
	const directory = new Directory(createSilentLogger());
	publishVersion(directory, 2);
	const wanted: string[][] = [];
	const node = {
		versions: [],
		setWantedVersions(versions: ReadonlyArray<{readonly version: string}>) {
			wanted.push(versions.map(({version}) => version));
		},
		stop: () => undefined,
	} as unknown as TransferNode;
	const {manager} = createManager(new FakeEngine(), directory, contents.slice(0, 1), {
		node, fetchManifest: async (_model, version) => (version === 2 ? manifest : undefined),
	});
	manager.start();
	try {
		await sleep(100);
		expect(wanted.at(-1)).to.deep.equal(['2']);
		publishVersion(directory, 3);
		await sleep(100);
		expect(wanted.at(-1)).to.deep.equal([]);
	} finally {
		manager.stop();
	}
});

it('guards against wrong load orders: only idle engines that lack the version are ordered to load, once all chunks are held and staged', () => {
	const inputs: fc.Arbitrary<StagingInput> = fc.record({
		wantedVersion: fc.integer({min: 1, max: 3}),
		report: fc.option(fc.record({
			startedAtMs: fc.constant(1), isBusy: fc.boolean(), orderCount: fc.nat(3), servedVersion: fc.option(fc.integer({min: 1, max: 3}), {nil: undefined}),
		}), {nil: undefined}),
		isHeld: fc.boolean(),
		isStaged: fc.boolean(),
		isSwitchoverDue: fc.boolean(),
	});
	fc.assert(fc.property(inputs, input => {
		if (nextStagingStep(input) === 'start') {
			expect([input.isHeld, input.isStaged, input.report?.isBusy]).to.deep.equal([true, true, false]);
			expect(input.report!.servedVersion ?? 0).to.be.lessThan(input.wantedVersion);
		}
	}), {seed: 4, numRuns: 300});
});

it('guards against engines that wait for their turn with a version that has expired: the turns end when the served version expires', async () => {
	const group = ['a', 'b', 'c', 'd', 'e', 'f'];
	const clock = install();
	const directory = new Directory(createSilentLogger());
	const engines = group.map(() => new FakeEngine());
	const managers = engines.map((engine, at) => {
		engine.servedVersion = 1;
		return createManager(engine, directory, contents, {vm: group[at]!, groupVms: () => group, versionBoundMs: 8000}).manager;
	});
	try {
		publishVersion(directory, 2);
		await clock.tickAsync(4000);
		publishVersion(directory, 3);
		for (const manager of managers) {
			manager.start();
		}

		await clock.tickAsync(4000 - 1200);
		expect(engines.filter(({orders}) => orders > 0).length).to.equal(group.length);
	} finally {
		for (const manager of managers) {
			manager.stop();
		}

		clock.uninstall();
	}
});

it('guards against a drop in capacity: switchovers of a group are spread over the remaining time and end before the version bound', () => {
	const offsets = Array.from({length: 10}, (_, rank) => switchoverAtMs({
		rank, groupSize: 10, expiresAtMs: 8000, stagedAtMs: 4000,
	}));
	expect(offsets[0]).to.equal(4000);
	expect(offsets.every((offset, at) => at === 0 || offset > offsets[at - 1]!)).to.equal(true);
	expect(offsets.at(-1)).to.be.lessThan(7000);
	expect(switchoverAtMs({
		rank: 9, groupSize: 10, expiresAtMs: 8000, stagedAtMs: 9000,
	})).to.equal(9000);
});

it('guards against a group that loads at the same moment, or late, when it is unknown when the version was published: switchovers follow staging within 1.2 s, one after the other', () => {
	const times = Array.from({length: 10}, (_, rank) => switchoverAtMs({
		rank, groupSize: 10, expiresAtMs: Number.NEGATIVE_INFINITY, stagedAtMs: 4000,
	}));
	expect(times[0]).to.equal(4000);
	expect(times.every((time, at) => at === 0 || time > times[at - 1]!)).to.equal(true);
	expect(times.at(-1)).to.be.lessThan(5200);
});
