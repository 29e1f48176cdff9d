/** How old what a stager knows of its engine may be when it orders the engine to load: weights are never loaded with a piece missing, spoilt or of another version. */
import {type Clock, install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {Directory} from '../src/directory/directory.ts';
import {digestOf} from '../src/ids/digest.ts';
import {ChunkStore} from '../src/rollout/chunk-store.ts';
import {findManifestFault, type Manifest} from '../src/rollout/manifest.ts';
import type {TransferNode} from '../src/rollout/transfer-node.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import type {LocalEngine} from '../src/staging/local-engine.ts';
import type {EngineReport} from '../src/staging/next-staging-step.ts';
import {OrderDoubt} from '../src/staging/order-doubt.ts';
import {StagingManager} from '../src/staging/staging-manager.ts';
import {observedNow, testEngineTiming} from './support/direct-fixtures.ts';

const chunkCount = 4;

const contentsOf = (version: number) => Array.from({length: chunkCount}, (_, at) => new TextEncoder().encode(`v${version}-${at}`));

const manifestOf = (version: number): Manifest => ({
	model: 'm', version: String(version), chunk_bytes: 8, total_bytes: 32, chunks: contentsOf(version).map(bytes => digestOf(bytes)),
});

/** An engine that answers at once, loads what is staged, and can be disturbed at each step. */
class DisturbedEngine implements LocalEngine {
	readonly staged = new Map<number, Uint8Array>();
	/** The version that each order named, and what it loaded. */
	readonly loads: string[] = [];
	startedAtMs = 1;
	servedVersion = 1;
	afterGet: (position: number) => Promise<void> | void = () => undefined;
	put: (position: number, bytes: Uint8Array) => Promise<void> | void = (position, bytes) => {
		this.staged.set(position, bytes);
	};

	order: (load: () => void) => Promise<void> | void = load => {
		load();
	};

	async fetchReport() {
		return {
			startedAtMs: this.startedAtMs, isBusy: false, orderCount: this.loads.length, servedVersion: this.servedVersion,
		};
	}

	async listChunks() {
		return [...this.staged.keys()];
	}

	async putChunk(_model: string, position: number, bytes: Uint8Array) {
		await this.put(position, bytes);
	}

	async getChunk(_model: string, position: number) {
		const bytes = this.staged.get(position);
		await this.afterGet(position);
		return bytes;
	}

	async loadStaged(_model: string, version: number, expectedOrderCount: number, beforeSend?: () => void) {
		beforeSend?.();
		const load = () => {
			if (expectedOrderCount === this.loads.length) {
				this.loads.push(`${version}: ${Array.from({length: chunkCount}, (_, at) => new TextDecoder().decode(this.staged.get(at))).join(' ')}`);
				this.servedVersion = version;
			}
		};

		await this.order(load);
		return 'begun' as const;
	}
}

const whole = (version: number) => `${version}: ${contentsOf(version).map(bytes => new TextDecoder().decode(bytes)).join(' ')}`;

/** Runs the staging of version 2 for some seconds; `publish` names further versions, and `restart` puts a new process in the place of the stager. */
async function runStaging(engine: DisturbedEngine, disturb: (clock: Clock, publish: (version: number) => void, restart: () => void) => void): Promise<void> {
	const clock = install({toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date']});
	const log = createSilentLogger();
	const directory = new Directory(log);
	const chunks = new ChunkStore();
	for (const bytes of [2, 3].flatMap(version => contentsOf(version))) {
		chunks.put(digestOf(bytes), bytes);
	}

	const publish = (version: number) => {
		directory.apply({revision: version, changes: [{revision: version, change: {kind: 'version', model: 'm', version}}]}, observedNow());
	};

	const createManager = () => new StagingManager({
		vm: 'a',
		publishedService: () => ({engine: testEngineTiming, origin: undefined}),
		directory,
		engine,
		chunks,
		node: {versions: [], setWantedVersions: () => undefined, stop: () => undefined} as unknown as TransferNode,
		fetchManifest: async (_, version) => manifestOf(version),
		groupVms: () => ['a'],
		versionBoundMs: 8000,
		onLoadStarted: () => undefined,
		onVersionServed: () => undefined,
		log,
	});
	let manager = createManager();
	try {
		publish(2);
		disturb(clock, publish, () => {
			manager.stop();
			manager = createManager();
			manager.start();
		});
		manager.start();
		await clock.tickAsync(20_000);
	} finally {
		manager.stop();
		clock.uninstall();
	}
}

/** The two ways in which a process stands still: its clock goes on, as when it is frozen, or only the wall clock does, as when its VM is suspended. */
const pauses: Readonly<Record<string, (clock: Clock) => Promise<void>>> = {
	async 'is frozen'() {
		await new Promise(resolve => {
			setTimeout(resolve, 4000);
		});
	},
	async 'is on a VM that is suspended'(clock) {
		clock.setSystemTime(Date.now() + 4000);
	},
};

for (const [name, pause] of Object.entries(pauses)) {
	it(`guards against loading a piece that turned bad after it was verified: a stager that ${name} while it reads the pieces back reads them again`, async () => {
		const engine = new DisturbedEngine();
		let isDone = false;
		await runStaging(engine, clock => {
			engine.afterGet = async position => {
				if (position === chunkCount - 1 && !isDone && engine.staged.size === chunkCount) {
					isDone = true;
					engine.staged.set(0, new TextEncoder().encode('rot'));
					await pause(clock);
				}
			};
		});
		expect([isDone, engine.loads]).to.deep.equal([true, [whole(2)]]);
	});
}

it('guards against an order to an engine that lost its pieces: one that restarts without them between the check and the order gets no order', async () => {
	const engine = new DisturbedEngine();
	let isDone = false;
	await runStaging(engine, () => {
		engine.afterGet = position => {
			if (position === chunkCount - 1 && !isDone && engine.staged.size === chunkCount) {
				isDone = true;
				engine.startedAtMs++;
				engine.staged.clear();
			}
		};
	});
	expect([isDone, engine.loads]).to.deep.equal([true, [whole(2)]]);
});

it('guards against two orders that overlap: while an order has no answer, no pieces of a newer version are written that it could still load', async () => {
	for (const obeysAfterMs of [1150, 1350, undefined]) {
		const engine = new DisturbedEngine();
		engine.put = async (position, bytes) => {
			await new Promise(resolve => {
				setTimeout(resolve, position * 100);
			});
			engine.staged.set(position, bytes);
		};

		await runStaging(engine, (clock, publish) => {
			let isFirst = true;
			engine.order = async load => {
				if (!isFirst) {
					load();
					return;
				}

				isFirst = false;
				publish(3);
				if (obeysAfterMs !== undefined) {
					setTimeout(load, obeysAfterMs);
				}

				await new Promise(resolve => {
					setTimeout(resolve, 1000);
				});
				throw new Error('no answer');
			};
		});
		expect(engine.loads.every(load => load === whole(2) || load === whole(3)), engine.loads.join('; ')).to.equal(true);
		expect(engine.loads.at(-1)).to.equal(whole(3));
	}
});

it('guards against an order that a stager forgets when it restarts: the new process writes no pieces that the engine could still load for it', async () => {
	for (const obeysAfterMs of [100, 250, 400, undefined]) {
		const engine = new DisturbedEngine();
		engine.put = async (position, bytes) => {
			await new Promise(resolve => {
				setTimeout(resolve, position * 100);
			});
			engine.staged.set(position, bytes);
		};

		await runStaging(engine, (clock, publish, restart) => {
			let isFirst = true;
			engine.order = async load => {
				if (!isFirst) {
					load();
					return;
				}

				isFirst = false;
				publish(3);
				setTimeout(restart, 10);
				if (obeysAfterMs !== undefined) {
					setTimeout(load, obeysAfterMs);
				}

				await new Promise(() => undefined); // eslint-disable-line no-promise-executor-return -- the process that waits is gone
			};
		});
		expect(engine.loads.every(load => load === whole(2) || load === whole(3)), engine.loads.join('; ')).to.equal(true);
		expect(engine.loads.at(-1)).to.equal(whole(3));
	}
});

it('guards against a write without an answer that is applied late: what is verified before that is not loaded', async () => {
	const engine = new DisturbedEngine();
	engine.afterGet = async () => new Promise(resolve => {
		setTimeout(resolve, 100);
	});
	await runStaging(engine, (clock, publish) => {
		let isFirst = true;
		engine.put = async (position, bytes) => {
			if (isFirst && position === 1) {
				isFirst = false;
				publish(3);
				setTimeout(() => {
					engine.staged.set(position, bytes);
				}, 50);
				throw new Error('no answer');
			}

			engine.staged.set(position, bytes);
		};
	});
	expect(engine.loads.every(load => load === whole(2) || load === whole(3)), engine.loads.join('; ')).to.equal(true);
	expect(engine.loads.at(-1)).to.equal(whole(3));
});

it('guards against a write that a stager forgets when it restarts: the new process loads nothing that it verified before the write may have been applied', async () => {
	const engine = new DisturbedEngine();
	for (const [position, bytes] of contentsOf(2).entries()) {
		engine.staged.set(position, bytes);
	}

	// The write of an earlier process, of a version that is not wanted any more.
	await runStaging(engine, () => {
		setTimeout(() => {
			engine.staged.set(1, contentsOf(3)[1]!);
		}, 400);
		engine.order = async load => {
			await new Promise(resolve => {
				setTimeout(resolve, 500);
			});
			load();
		};
	});
	expect(engine.loads).to.deep.equal([whole(2)]);
});

it('guards against weights that a spoilt manifest calls complete: one of another model, version or size, or with too few pieces is not taken', () => {
	const expected = {
		model: 'm', version: 2, chunkCount: 4, chunkBytes: 8,
	};
	const manifest = manifestOf(2);
	expect(findManifestFault(manifest, expected)).to.equal(undefined);
	expect(findManifestFault(manifest, {...expected, chunkCount: 0, chunkBytes: 0})).to.equal(undefined);
	const spoilt: ReadonlyArray<Partial<Manifest>> = [
		{model: 'n'}, {version: '3'}, {chunks: manifest.chunks.slice(1)}, {chunks: [...manifest.chunks, manifest.chunks[0]!]}, {chunk_bytes: 9},
	];
	for (const change of spoilt) {
		expect(findManifestFault({...manifest, ...change}, expected), JSON.stringify(change)).to.be.a('string');
	}
});

it('guards against an order that is taken for lost in a pause of its VM: the engine did no work meanwhile and may still obey it', () => {
	const clock = {listeningMs: 1000};
	const doubt = new OrderDoubt(clock);
	const report: EngineReport = {
		startedAtMs: 1, isBusy: false, orderCount: 3, servedVersion: 1,
	};
	doubt.record(2, report);
	expect(doubt.blocksWrites(3, report)).to.equal(true);
	const untilMs = performance.now() + 600;
	while (performance.now() < untilMs) {
		// The monotonic clock runs on in a pause.
	}

	expect(doubt.blocksWrites(3, report)).to.equal(true);
	clock.listeningMs += 500;
	expect(doubt.blocksWrites(3, report)).to.equal(false);
});
