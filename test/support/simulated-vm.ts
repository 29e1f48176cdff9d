/** One VM with its engine and its stager on a simulated network: the transfers, the staging and the switchovers run as in a stager process. */
import {setTimeout as sleep} from 'node:timers/promises';
import {Directory} from '../../src/directory/directory.ts';
import type {PeerClient} from '../../src/links/peer-client.ts';
import type {RolloutHaveParams} from '../../src/messages/rollout-have.ts';
import {ChunkStore} from '../../src/rollout/chunk-store.ts';
import {type Manifest, parseManifest} from '../../src/rollout/manifest.ts';
import {TransferNode} from '../../src/rollout/transfer-node.ts';
import type {TransferPeer} from '../../src/rollout/transfer-options.ts';
import {TransferPacer} from '../../src/rollout/transfer-pacer.ts';
import type {Logger} from '../../src/runtime/logger.ts';
import {RandomSource} from '../../src/runtime/random-source.ts';
import type {LocalEngine} from '../../src/staging/local-engine.ts';
import {ManifestFetcher, type ManifestQuery} from '../../src/staging/manifest-fetcher.ts';
import {
	downloadLimits, maxOriginBackoffMs, maxSourceBackoffMs, noticeLimits, transferLimits, uploadBurstMs,
} from '../../src/staging/stager-limits.ts';
import {StagingManager} from '../../src/staging/staging-manager.ts';
import {testEngineTiming} from './direct-fixtures.ts';
import {originHost, type SimulatedNetwork} from './simulated-network.ts';

/** How long an engine takes to load, in milliseconds. */
const loadMs = 300;

/** The time of one exchange with the engine on the same VM, in milliseconds. */
const engineExchangeMs = 1;

/** The chunks of the simulated weights. */
export const simulatedWeights = {chunkCount: 96, chunkBytes: 24_576};

/** The model of the simulated weights. */
export const simulatedModel = 'm';

/** How long calls may start on an older version, in milliseconds. */
export const versionBoundMs = 13_400;

/** A version and when it was named, in milliseconds. */
export type NamedVersion = {readonly version: number; readonly atMs: number};

/** What a VM needs of its fleet. */
export type VmFleet = {
	readonly network: SimulatedNetwork;
	readonly members: readonly TransferPeer[];
	/** The rate that transfers of one VM may use, in bytes per second. */
	readonly transferRate: number;
	readonly sendNotice: (from: string, to: string, params: RolloutHaveParams) => boolean;
	/** Calls a method of another VM. */
	readonly call: <Result>(from: string, to: string, timeoutMs: number, handle: (vm: SimulatedVm) => Promise<Result>) => Promise<Result>;
	readonly askForManifest: (from: string, to: string, query: ManifestQuery) => Promise<Manifest | null>;
	readonly readManifest: (from: string, version: number) => Promise<Manifest | undefined>;
};

/** An engine that loads what is staged. It loses its staged chunks with the power of its VM. */
class SimulatedEngine implements LocalEngine {
	readonly staged = new Map<number, Uint8Array>();
	orderCount = 0;
	isBusy = false;
	readonly startedAtMs = performance.now();

	constructor(public servedVersion: number | undefined, private readonly onServed: (version: number, orderedAtMs: number) => void) {}

	async fetchReport() {
		await sleep(engineExchangeMs);
		return {
			startedAtMs: this.startedAtMs, isBusy: this.isBusy, orderCount: this.orderCount, servedVersion: this.isBusy ? undefined : this.servedVersion,
		};
	}

	async listChunks() {
		return [...this.staged.keys()];
	}

	async putChunk(_model: string, position: number, bytes: Uint8Array) {
		await sleep(engineExchangeMs);
		this.staged.set(position, bytes);
	}

	async getChunk(_model: string, position: number) {
		await sleep(engineExchangeMs);
		return this.staged.get(position);
	}

	async loadStaged(_model: string, version: number, _expected: number, beforeSend: () => void) {
		beforeSend();
		const orderedAtMs = performance.now();
		this.orderCount++;
		this.isBusy = true;
		setTimeout(() => {
			this.isBusy = false;
			this.servedVersion = version;
			this.onServed(version, orderedAtMs);
		}, loadMs);
		return 'begun' as const;
	}
}

/** One VM with its engine and its stager. */
export class SimulatedVm {
	readonly chunks = new ChunkStore();
	readonly node: TransferNode;
	readonly staging: StagingManager;
	readonly manifests: ManifestFetcher<TransferPeer>;
	readonly directory: Directory;
	/** When the engine began to load each version, and when it served it, in milliseconds. */
	readonly switchovers = new Map<number, {readonly orderedAtMs: number; readonly servedAtMs: number}>();
	/** When all chunks of each version were held, in milliseconds. */
	readonly heldAtMs = new Map<string, number>();
	readonly engine: SimulatedEngine;
	/** How often each event was logged, by event and error. */
	readonly events: Record<string, number> = {};
	isRunning = true;

	constructor(private readonly fleet: VmFleet, readonly self: TransferPeer, servedVersion: number | undefined, seed: number) {
		const log = this.createLog();
		const random = new RandomSource(seed);
		this.directory = new Directory(log);
		this.engine = new SimulatedEngine(servedVersion, (version, orderedAtMs) => {
			this.switchovers.set(version, {orderedAtMs, servedAtMs: performance.now()});
		});
		const others = fleet.members.filter(({vm}) => vm !== self.vm);
		const vms = fleet.members.map(({vm}) => vm);
		const rate = () => fleet.transferRate;
		this.node = new TransferNode({
			self,
			peers: () => others,
			links: this.createLinks(),
			chunks: this.chunks,
			upPacer: new TransferPacer(rate, uploadBurstMs),
			downPacer: new TransferPacer(rate),
			originUrl: '',
			originChunkUrl: ({manifest, position}) => `http://${originHost}/piece/${position}?version=${parseManifest(this.chunks.get(manifest)!).version}`,
			sendNotice: (peer, manifest, notice) => fleet.sendNotice(self.vm, peer.vm, {manifest, notice}),
			random,
			log,
			limits: () => transferLimits,
			maxOpenDownloads: isImporter => (isImporter || this.staging.hasDownloadPriority ? downloadLimits.early : downloadLimits.late),
			maxBackoffMs: maxSourceBackoffMs,
			maxOriginBackoffMs,
			memoryBytes: 10_000_000,
			...noticeLimits,
		}, ({version}) => {
			this.heldAtMs.set(version, performance.now());
		});
		this.staging = new StagingManager({
			vm: self.vm,
			publishedService: () => ({engine: {...testEngineTiming, ...simulatedWeights}, origin: undefined}),
			directory: this.directory,
			engine: this.engine,
			chunks: this.chunks,
			node: this.node,
			fetchManifest: async (name, version) => this.manifests.fetch(name, version),
			groupVms: () => vms,
			versionBoundMs,
			onLoadStarted: () => undefined,
			onVersionServed: () => undefined,
			log,
		});
		this.manifests = new ManifestFetcher({
			self,
			others: () => others,
			askPeer: async (peer, query) => fleet.askForManifest(self.vm, peer.vm, query),
			readOrigin: async (_, version) => fleet.readManifest(self.vm, version),
			held: (name, version) => this.staging.manifestOf(name, version),
			random,
			log,
		});
	}

	/** Starts the stager; it knows of versions that were named before. */
	start(): void {
		this.fleet.network.handlers.set(this.self.vm, async (req, res, path) => this.node.serveChunk(req, res, [path.split('/')[2]!]));
		this.staging.start();
	}

	/** Tells the stager of a named version. */
	learn({version, atMs}: NamedVersion): void {
		this.directory.apply({revision: version, changes: [{revision: version, change: {kind: 'version', model: simulatedModel, version}}]}, {namedAfterMs: atMs, isAfterOutage: false});
	}

	/** Ends the stager and the engine without notice. */
	stop(): void {
		this.isRunning = false;
		this.staging.stop();
		this.fleet.network.handlers.delete(this.self.vm);
	}

	private createLinks(): PeerClient {
		return {
			...this.fleet.network.clientOf(this.self.vm),
			rpc: async (address: string, call: {params: RolloutHaveParams}, _schema: unknown, {timeoutMs}: {timeoutMs: number}) => this.fleet.call(this.self.vm, address, timeoutMs, async vm => vm.node.handleNotice(call.params)),
		} as unknown as PeerClient;
	}

	private createLog(): Logger {
		const count = ({event, err}: {event: string; err?: Error}) => {
			const name = err ? `${event}: ${err.message.slice(0, 40)}` : event;
			this.events[name] = (this.events[name] ?? 0) + 1;
		};

		return {
			debug: count, info: count, warn: count, error: count,
		} as unknown as Logger;
	}
}
