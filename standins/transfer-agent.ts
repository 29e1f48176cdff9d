/** An agent's transfer part alone, for tests and benchmarks that run many in one process. */
import {createDigest, type Digest} from '../src/ids/digest.ts';
import {formatAddress, HttpListener} from '../src/links/http-listener.ts';
import {PeerClient} from '../src/links/peer-client.ts';
import {RpcDispatcher, rpcPath} from '../src/links/rpc-dispatcher.ts';
import {rolloutHaveMethod, rolloutHaveParamsSchema} from '../src/messages/rollout-have.ts';
import {ChunkStore} from '../src/rollout/chunk-store.ts';
import {TransferNode} from '../src/rollout/transfer-node.ts';
import {type TransferLimits, type TransferOptions, type TransferPeer} from '../src/rollout/transfer-options.ts';
import {TransferPacer} from '../src/rollout/transfer-pacer.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {RandomSource} from '../src/runtime/random-source.ts';

/** How the agent is set up. */
export type TransferAgentOptions = {
	readonly vm: string;
	readonly region: string;
	readonly originUrl: string;
	/** The link's rate each way, in bytes per second. */
	readonly linkBytesPerSecond: number;
	readonly limits: TransferLimits;
	readonly seed: number;
	readonly memoryBytes?: number;
	readonly noticeBytesPerSecond?: number;
	readonly noticeIntervalMs?: number;
};

/** Rate that a link may catch up on after the process was not scheduled, in milliseconds; many agents share one machine here. */
const burstMs = 300;

/** A peer in weight transfer without calls, engine or configuration. */
export class TransferAgent {
	readonly chunks = new ChunkStore();
	readonly links = new PeerClient();
	readonly upPacer: TransferPacer;
	readonly downPacer: TransferPacer;
	readonly node: TransferNode;
	/** When each version was held, by manifest, in milliseconds of the process's monotonic clock. */
	readonly heldAtMs = new Map<string, number>();
	/** Where the agent listens, once it is started. */
	address = '';
	private peers: readonly TransferPeer[] = [];
	private readonly listener: HttpListener;

	/** @param options - how the agent is set up */
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

	/**
	 * Sets the group that the agent knows.
	 *
	 * @param peers - all agents of the group
	 */
	setPeers(peers: readonly TransferPeer[]): void {
		this.peers = peers;
	}

	/**
	 * Wants one version and no other.
	 *
	 * @param manifest - the manifest's digest; undefined wants nothing
	 * @param objective - what the transfer saves
	 * @param served - manifests that the engine serves
	 */
	setWantedVersion(manifest: string | undefined, objective: 'time' | 'origin-bytes' = 'time', served: readonly string[] = []): void {
		const wanted = manifest === undefined
			? []
			: [{
				model: 'model', version: manifest.slice(0, 8), manifest: createDigest(manifest), objective,
			}];
		this.node.setWantedVersions(wanted, new Set(served));
	}

	/**
	 * Tells whether every chunk of a version is held.
	 *
	 * @param manifest - the manifest's digest
	 */
	holds(manifest: string): boolean {
		return this.findVersion(manifest as Digest)?.transfer.state === 'held';
	}

	/**
	 * Returns how many chunks of a version are held.
	 *
	 * @param manifest - the manifest's digest
	 */
	heldCount(manifest: string): number {
		return this.findVersion(manifest as Digest)?.transfer.heldCount ?? 0;
	}

	/** Bytes read from the origin over all versions in memory. */
	get originBytes(): number {
		return this.node.versions.reduce((sum, {transfer}) => sum + transfer.originBytes, 0);
	}

	/** Ends at once, as a killed process does. */
	async stop(): Promise<void> {
		this.node.stop();
		this.listener.destroy();
		await this.links.close();
	}

	private findVersion(manifest: Digest) {
		return this.node.versions.find(version => version.manifest === manifest);
	}

	private transferOptions(): TransferOptions {
		const {vm, region, originUrl, limits, seed, memoryBytes, noticeBytesPerSecond, noticeIntervalMs} = this.options;
		return {
			self: {vm, region},
			peers: () => this.peers,
			links: this.links,
			chunks: this.chunks,
			upPacer: this.upPacer,
			downPacer: this.downPacer,
			originUrl,
			random: new RandomSource(seed),
			log: createSilentLogger(),
			limits: () => limits,
			memoryBytes: memoryBytes ?? Number.POSITIVE_INFINITY,
			noticeIntervalMs: noticeIntervalMs ?? 0,
			noticeBytesPerSecond: noticeBytesPerSecond ?? Number.POSITIVE_INFINITY,
		};
	}
}
