/** One agent's node in the weight transfer: its versions, its chunk server and its replies to peers' notices. */
import type {Digest} from '../ids/digest.ts';
import type {HttpHandler} from '../links/http-listener.ts';
import type {RolloutHaveParams, TransferNotice} from '../messages/rollout-have.ts';
import {ChunkServer} from './chunk-server.ts';
import {planEviction, type StoredVersion} from './evict-versions.ts';
import type {Manifest} from './manifest.ts';
import type {TransferOptions} from './transfer-options.ts';
import {VersionTransfer} from './version-transfer.ts';

/** A version that an agent is to hold. */
export type WantedVersion = {
	readonly model: string;
	readonly version: string;
	readonly manifest: Digest;
	readonly objective: 'time' | 'origin-bytes';
};

type VersionEntry = {readonly wanted: WantedVersion; readonly transfer: VersionTransfer; needed: boolean; lastNeededAtMs: number; doesNotFit: boolean};

/** Transfers the wanted versions to this agent, serves their chunks to peers and evicts versions when memory runs out. */
export class TransferNode {
	readonly server: ChunkServer;
	private readonly entries = new Map<Digest, VersionEntry>();

	/**
	 * @param options - dependencies and limits of all transfers
	 * @param onHeld - called when every chunk of a version is held and verified
	 */
	constructor(private readonly options: TransferOptions, private readonly onHeld: (wanted: WantedVersion) => void) {
		this.server = new ChunkServer({
			chunks: options.chunks,
			pacer: options.upPacer,
			budgetBytes: manifest => this.budgetBytes(manifest as Digest),
			exchangeNotice: (manifest, notice) => this.entries.get(manifest as Digest)?.transfer.handleNotice(notice),
			stallMs: () => options.limits().chunk_timeout_ms,
		});
	}

	/** The handler of `GET /chunks/DIGEST`. */
	readonly serveChunk: HttpHandler = async (req, res, params) => this.server.handle(req, res, params);

	/** All versions that are wanted or still in memory. */
	get versions(): ReadonlyArray<WantedVersion & {readonly transfer: VersionTransfer; readonly doesNotFit: boolean}> {
		return [...this.entries.values()].map(({wanted, transfer, doesNotFit}) => ({...wanted, transfer, doesNotFit}));
	}

	/** Whether chunks are being received or sent. */
	get isTransferring(): boolean {
		return this.server.slots.load > 0 || [...this.entries.values()].some(({transfer}) => transfer.isRunning);
	}

	/**
	 * Sets the wanted versions and starts their transfers. Unfinished transfers of other versions stop; complete versions stay until they are evicted.
	 *
	 * @param wanted - the versions to transfer to this agent
	 * @param served - the manifests that the engine serves
	 */
	setWantedVersions(wanted: readonly WantedVersion[], served: ReadonlySet<string>): void {
		const wantedDigests = new Set(wanted.map(({manifest}) => manifest));
		for (const [digest, entry] of this.entries) {
			entry.needed = wantedDigests.has(digest) || served.has(digest);
			if (entry.needed) {
				entry.lastNeededAtMs = performance.now();
			}

			if (!wantedDigests.has(digest) && entry.transfer.state !== 'held') {
				this.remove(digest);
			}
		}

		for (const version of wanted) {
			if (!this.entries.has(version.manifest)) {
				this.add(version);
			}
		}
	}

	/**
	 * Handles a peer's notice and returns this agent's notice.
	 *
	 * @param params - the manifest and the peer's notice
	 */
	handleNotice({manifest, notice}: RolloutHaveParams): TransferNotice {
		const transfer = this.entries.get(manifest as Digest)?.transfer;
		return transfer?.handleNotice(notice) ?? {
			vm: this.options.self.vm, bitmap: '', reading: '', imported: 0, uploaded: 0,
		};
	}

	/** Surveys the peers again after the process was suspended. */
	wake(): void {
		for (const {transfer} of this.entries.values()) {
			transfer.wake();
		}
	}

	/** Stops all transfers. */
	stop(): void {
		for (const {transfer} of this.entries.values()) {
			transfer.supersede();
		}
	}

	private add(wanted: WantedVersion): void {
		const {manifest, objective} = wanted;
		const transfer = new VersionTransfer({
			agentOptions: this.options,
			manifest,
			objective,
			sentBytes: () => this.server.slots.sent(manifest),
			makeRoom: content => this.makeRoom(manifest, content),
			reportDoesNotFit(doesNotFit) {
				entry.doesNotFit = doesNotFit;
			},
			onHeld: () => {
				this.onHeld(wanted);
			},
		});
		const entry: VersionEntry = {
			wanted, transfer, needed: true, lastNeededAtMs: performance.now(), doesNotFit: false,
		};
		this.entries.set(manifest, entry);
		transfer.start();
	}

	/** Stops a version's transfer. Its chunks stay stored while other versions use them, or until their memory is needed. */
	private remove(manifest: Digest): void {
		this.entries.get(manifest)?.transfer.supersede();
		this.entries.delete(manifest);
		this.server.slots.forget(manifest);
	}

	private makeRoom(manifest: Digest, content: Manifest): boolean {
		const {chunks, memoryBytes} = this.options;
		const incoming = digestsOf(manifest, content);
		const sizes = new Map(content.chunks.map((digest, at) => [digest, sizeOfChunk(content, at)]));
		const plan = planEviction(this.stored(manifest), incoming, digest => chunks.get(digest)?.length ?? sizes.get(digest) ?? 0, memoryBytes);
		if (!plan.fits) {
			return false;
		}

		for (const digest of plan.evict) {
			this.remove(digest);
		}

		const kept = this.stored(manifest).flatMap(({digests}) => [...digests]);
		if (chunks.bytes + content.total_bytes > memoryBytes) {
			// Deletes chunks of removed versions that no remaining version uses.
			chunks.retain(new Set([...incoming, ...kept]));
		}

		return true;
	}

	private stored(except: Digest): StoredVersion[] {
		const stored: StoredVersion[] = [];
		for (const [manifest, {transfer, needed, lastNeededAtMs}] of this.entries) {
			if (manifest !== except && transfer.manifest) {
				stored.push({
					manifest, digests: digestsOf(manifest, transfer.manifest), needed, lastNeededAtMs,
				});
			}
		}

		return stored;
	}

	private budgetBytes(manifest: Digest): number {
		const content = this.entries.get(manifest)?.transfer.manifest;
		return content ? content.total_bytes * this.options.limits().upload_copies : Number.POSITIVE_INFINITY;
	}
}

function digestsOf(manifest: Digest, content: Manifest): Set<Digest> {
	return new Set([manifest, ...content.chunks]);
}

function sizeOfChunk(content: Manifest, at: number): number {
	return Math.min(content.chunk_bytes, content.total_bytes - (at * content.chunk_bytes));
}
