/** An agent reduced to its weight transfer, for tests and benchmarks that run many agents in one process. */
import {createDigest, type Digest} from '../src/ids/digest.ts';
import {formatAddress, HttpListener} from '../src/links/http-listener.ts';
import {PeerClient} from '../src/links/peer-client.ts';
import {RpcDispatcher, rpcPath} from '../src/links/rpc-dispatcher.ts';
import {rolloutHaveMethod, rolloutHaveParamsSchema} from '../src/messages/rollout-have.ts';
import {ChunkStore} from '../src/rollout/chunk-store.ts';
import {TransferNode} from '../src/rollout/transfer-node.ts';
import {type TransferLimits, type TransferOptions, type TransferPeer} from '../src/rollout/transfer-options.ts';
import {TransferPacer} from '../src/rollout/transfer-pacer.ts';
import {PauseDetector} from '../src/runtime/pause-detector.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {RandomSource} from '../src/runtime/random-source.ts';

/** Options of a {@link TransferAgent}. */
export type TransferAgentOptions = {
	readonly vm: string;
	readonly region: string;
	readonly originUrl: string;
	/** Rate limit of the VM's link in each direction, in bytes per second. */
	readonly linkBytesPerSecond: number;
	readonly limits: TransferLimits;
	readonly seed: number;
	readonly memoryBytes?: number;
	readonly noticeBytesPerSecond?: number;
	readonly noticeIntervalMs?: number;
	/** Sends notices without connections; see {@link TransferOptions}. */
	readonly sendNotice?: TransferOptions['sendNotice'];
};

/** Burst of each rate limit, in milliseconds: unused time that may be made up for after the process was not scheduled, since many agents share one machine. */
const burstMs = 300;

/** A peer in the weight transfer, without calls, an engine or a configuration. */
export class TransferAgent {
	readonly chunks = new ChunkStore();
	readonly links = new PeerClient();
	readonly upPacer: TransferPacer;
	readonly downPacer: TransferPacer;
	readonly node: TransferNode;
	/** When each version was completely held, by manifest, in milliseconds of the process's monotonic clock. */
	readonly heldAtMs = new Map<string, number>();
	/** Address that the agent listens on, set by {@link start}. */
	address = '';
	private peers: readonly TransferPeer[] = [];
	private readonly pauseDetector = new PauseDetector();
	private readonly listener: HttpListener;

	constructor(readonly options: TransferAgentOptions) {
		this.upPacer = new TransferPacer(() => options.linkBytesPerSecond, burstMs);
		this.downPacer = new TransferPacer(() => options.linkBytesPerSecond, burstMs);
		this.node = new TransferNode(this.transferOptions(), ({manifest}) => {
			this.heldAtMs.set(manifest, performance.now());
		});
		const rpc = new RpcDispatcher();
		rpc.method(rolloutHaveMethod, rolloutHaveParamsSchema, params => this.node.handleNotice(params));
		this.listener = new HttpListener({[`POST ${rpcPath}`]: rpc.handle, 'GET /chunks/*': this.node.serveChunk}, createSilentLogger());
	}

	/** Starts to listen on a free port and returns the address, `host:port`. */
	async start(): Promise<string> {
		this.address = formatAddress(await this.listener.start({host: '127.0.0.1', port: 0}));
		return this.address;
	}

	/** Sets the members of the agent's transfer group. */
	setPeers(peers: readonly TransferPeer[]): void {
		this.peers = peers;
	}

	/**
	 * Sets the only version that the agent transfers.
	 *
	 * @param manifest - digest of the version's manifest; undefined for no version
	 * @param objective - what the transfer minimizes
	 * @param served - digests of the manifests of the versions that the engine serves
	 */
	setWantedVersion(manifest: string | undefined, objective: 'time' | 'origin-bytes' = 'time', served: readonly string[] = []): void {
		const wanted = manifest === undefined
			? []
			: [{
				model: 'model', version: manifest.slice(0, 8), manifest: createDigest(manifest), objective,
			}];
		this.node.setWantedVersions(wanted, new Set(served));
	}

	/** Returns whether the agent holds all chunks of a version, given the digest of its manifest. */
	holds(manifest: string): boolean {
		return this.findVersion(manifest as Digest)?.transfer.state === 'held';
	}

	/** Returns how many chunks of a version the agent holds, given the digest of its manifest. */
	heldCount(manifest: string): number {
		return this.findVersion(manifest as Digest)?.transfer.heldCount ?? 0;
	}

	/** Number of bytes read from the origin for all versions in memory. */
	get originBytes(): number {
		return this.node.versions.reduce((sum, {transfer}) => sum + transfer.originBytes, 0);
	}

	/** Stops without notifying peers, like a killed process. */
	async stop(): Promise<void> {
		this.node.stop();
		this.pauseDetector.stop();
		this.listener.destroy();
		await this.links.close();
	}

	private findVersion(manifest: Digest) {
		return this.node.versions.find(version => version.manifest === manifest);
	}

	private transferOptions(): TransferOptions {
		const {vm, region, originUrl, limits, seed, memoryBytes, noticeBytesPerSecond, noticeIntervalMs, sendNotice} = this.options;
		return {
			self: {vm, region},
			peers: () => this.peers,
			links: this.links,
			chunks: this.chunks,
			upPacer: this.upPacer,
			downPacer: this.downPacer,
			originUrl,
			...(sendNotice && {sendNotice}),
			random: new RandomSource(seed),
			clock: this.pauseDetector,
			log: createSilentLogger(),
			limits: () => limits,
			memoryBytes: memoryBytes ?? Number.POSITIVE_INFINITY,
			noticeIntervalMs: noticeIntervalMs ?? 0,
			noticeBytesPerSecond: noticeBytesPerSecond ?? Number.POSITIVE_INFINITY,
		};
	}
}
