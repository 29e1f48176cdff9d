/** Brings one version to one agent: plans, downloads, verifies and tells neighbours. */
import type {Digest} from '../ids/digest.ts';
import type {TransferNotice} from '../messages/rollout-have.ts';
import {ChunkBitmap} from './chunk-bitmap.ts';
import {ChunkFetcher} from './chunk-fetcher.ts';
import {type Manifest, parseManifest} from './manifest.ts';
import {Neighbourhood} from './neighbourhood.ts';
import {manifestPhaseSize} from './peer-table.ts';
import {isAvailableInRegion, type PlannedTransfer, planTransfers} from './plan-transfers.ts';
import {TransferMachine, type TransferState} from './transfer-machine.ts';
import type {TransferOptions} from './transfer-options.ts';
import {UnavailabilityTracker} from './unavailability-tracker.ts';

/** Downloads that are open at once. */
const maxOpenDownloads = 4;

/** Chunks that one agent reads from the origin at once. */
const maxOriginReads = 1;

/** Mean time between two plans without news, in milliseconds. */
const planIntervalMs = 50;

/** Time in which news are gathered before a plan, in milliseconds. */
const planDelayMs = 2;

/** What a transfer needs from its agent. */
export type VersionTransferOptions = {
	readonly agentOptions: TransferOptions;
	readonly manifest: Digest;
	readonly objective: 'time' | 'origin-bytes';
	/** Returns how many bytes of this version were sent on. */
	readonly sentBytes: () => number;
	/** Makes room and returns whether the version fits. */
	readonly makeRoom: (manifest: Manifest) => boolean;
	/** Reports or withdraws that the version does not fit. */
	readonly reportDoesNotFit: (doesNotFit: boolean) => void;
	/** Is called once when every digest holds. */
	readonly onHeld: () => void;
};

/** One version's transfer to one agent. */
export class VersionTransfer {
	private readonly neighbourhood: Neighbourhood;
	private readonly fetcher: ChunkFetcher;
	private readonly machine: TransferMachine;
	private readonly unavailability = new UnavailabilityTracker();
	private content: Manifest | undefined;
	private held = new ChunkBitmap(manifestPhaseSize);
	private startedAtMs = performance.now();
	private progressAtMs = this.startedAtMs;
	private randomRanks: readonly number[] = [0];
	private timer: NodeJS.Timeout | undefined;
	private planTimer: NodeJS.Timeout | undefined;

	/** @param options - what the transfer needs */
	constructor(private readonly options: VersionTransferOptions) {
		const {agentOptions, manifest, objective} = options;
		this.neighbourhood = new Neighbourhood({
			agentOptions,
			manifest,
			watchesAllRegions: objective === 'origin-bytes',
			notice: () => this.notice(),
			onNewChunks: () => {
				this.schedulePlan();
			},
		});
		this.fetcher = new ChunkFetcher({
			agentOptions,
			manifest,
			neighbourhood: this.neighbourhood,
			digestAt: chunk => this.digestAt(chunk),
			notice: () => this.notice(),
			onChunk: (digest, chunk) => {
				this.acceptChunk(digest, chunk);
			},
			onEnd: () => {
				this.schedulePlan();
			},
		});
		this.machine = this.createMachine();
	}

	/** The state that the version is in. */
	get state(): TransferState {
		return this.machine.state;
	}

	/** The manifest, once it is held. */
	get manifest(): Manifest | undefined {
		return this.content;
	}

	/** Chunks held of this version. */
	get heldCount(): number {
		return this.content ? this.held.count : 0;
	}

	/** Where chunks are being read from now. */
	get openSources(): readonly string[] {
		return this.fetcher.open.map(({source}) => source);
	}

	/** Bytes that were read from the origin. */
	get originBytes(): number {
		return this.fetcher.originBytes;
	}

	/** Whether the manifest or chunks are being fetched. */
	get isRunning(): boolean {
		return this.state === 'manifest' || this.state === 'chunks';
	}

	/** Begins the transfer. */
	start(): void {
		this.machine.start();
		this.loadManifest();
		this.scheduleTick();
	}

	/** Ends the transfer because the version is no longer wanted. */
	supersede(): void {
		this.machine.send('SUPERSEDED');
	}

	/** Re-reads what peers hold after the process was paused. */
	wake(): void {
		this.neighbourhood.peers.clear();
		this.unavailability.clear();
		this.startedAtMs = performance.now();
		this.machine.send('WOKEN');
	}

	/**
	 * Takes a peer's notice and returns the own one.
	 *
	 * @param notice - the peer's notice
	 */
	handleNotice(notice: TransferNotice): TransferNotice {
		this.neighbourhood.recordNotice(notice);
		return this.notice();
	}

	private createMachine(): TransferMachine {
		const {makeRoom, reportDoesNotFit, onHeld} = this.options;
		return new TransferMachine({
			fitsInMemory: () => this.content !== undefined && makeRoom(this.content),
			everyDigestHolds: () => this.everyDigestHolds(),
		}, {
			survey: () => {
				void this.survey();
			},
			announce: () => {
				this.neighbourhood.announce();
			},
			reportFinding() {
				reportDoesNotFit(true);
			},
			clearFinding() {
				reportDoesNotFit(false);
			},
			bringIntoService: onHeld,
			stopTransfers: () => {
				clearTimeout(this.timer);
				this.neighbourhood.stop();
				this.fetcher.stop();
			},
		});
	}

	private notice(): TransferNotice {
		const reading = new ChunkBitmap(this.held.size);
		for (const chunk of this.fetcher.importingChunks) {
			reading.add(chunk);
		}

		const copies = this.content ? this.options.sentBytes() / this.content.total_bytes : 0;
		return {
			vm: this.options.agentOptions.self.vm,
			bitmap: this.content ? this.held.encode() : '',
			reading: reading.count > 0 ? reading.encode() : '',
			imported: this.fetcher.importedBytes,
			uploaded: Number(copies.toFixed(3)),
		};
	}

	private async survey(): Promise<void> {
		await this.neighbourhood.survey();
		this.schedulePlan();
	}

	private scheduleTick(): void {
		clearTimeout(this.timer);
		if (this.state === 'held' || this.state === 'dropped') {
			return;
		}

		this.timer = setTimeout(() => {
			this.machine.send('ROOM_CHECKED');
			this.neighbourhood.refreshGroup();
			this.neighbourhood.pollNeighbours();
			this.schedulePlan();
			this.scheduleTick();
		}, this.options.agentOptions.random.jitter(planIntervalMs));
		this.timer.unref();
	}

	/** Plans soon; several pieces of news in a short time lead to one plan. */
	private schedulePlan(): void {
		if (this.planTimer === undefined && this.isRunning) {
			this.planTimer = setTimeout(() => {
				this.planTimer = undefined;
				this.runPlan();
			}, planDelayMs);
		}
	}

	private runPlan(): void {
		if (!this.isRunning) {
			return;
		}

		for (const planned of this.plan()) {
			this.fetcher.fetch(planned);
		}
	}

	private plan(): PlannedTransfer[] {
		const {agentOptions, objective} = this.options;
		const {neighbourhood, fetcher} = this;
		const {owners} = neighbourhood;
		const known = {
			nowMs: performance.now(), peers: neighbourhood.peers.toPlanPeers(neighbourhood.regions, agentOptions.self.region), stepInMs: agentOptions.limits().step_in_ms,
		};
		this.unavailability.update(this.held.size, chunk => isAvailableInRegion(known, chunk), known.nowMs);
		return planTransfers({
			...known,
			held: this.held,
			open: fetcher.open,
			unavailableSinceMs: chunk => this.unavailability.since(chunk),
			higherRankedInRegion: chunk => owners.higherRankedInRegion(this.digestAt(chunk)),
			higherRankedGlobally: chunk => owners.higherRankedGlobally(this.digestAt(chunk)),
			objective,
			isImporter: neighbourhood.isImporter,
			startedAtMs: this.startedAtMs,
			progressAtMs: this.progressAtMs,
			originNotBeforeMs: fetcher.originNotBeforeMs,
			surveyed: neighbourhood.surveyed,
			maxOpen: agentOptions.maxOpenDownloads?.(neighbourhood.isImporter) ?? maxOpenDownloads,
			maxOriginReads,
			randomRank: chunk => this.randomRanks[chunk] ?? chunk,
		});
	}

	private digestAt(chunk: number): Digest {
		return this.content?.chunks[chunk] ?? this.options.manifest;
	}

	private acceptChunk(digest: Digest, chunk: number): void {
		this.progressAtMs = performance.now();
		if (this.content) {
			this.markHeld(digest);
			this.neighbourhood.announceChunk(chunk);
			this.machine.send('CHUNK_HELD');
		} else {
			this.loadManifest();
		}
	}

	/** A digest may stand at several positions of a manifest. */
	private markHeld(digest: Digest): void {
		for (const [position, other] of this.content!.chunks.entries()) {
			if (other === digest) {
				this.held.add(position);
			}
		}
	}

	private loadManifest(): void {
		const {agentOptions, manifest} = this.options;
		const bytes = agentOptions.chunks.get(manifest);
		if (!bytes || this.content) {
			return;
		}

		this.content = parseManifest(bytes);
		this.held = new ChunkBitmap(this.content.chunks.length);
		this.neighbourhood.peers.startChunkPhase(this.held.size);
		this.unavailability.clear();
		this.randomRanks = agentOptions.random.sample([...this.content.chunks.keys()], this.held.size);
		for (const digest of new Set(this.content.chunks)) {
			if (agentOptions.chunks.has(digest)) {
				this.markHeld(digest);
			}
		}

		this.machine.send('MANIFEST_HELD');
	}

	private everyDigestHolds(): boolean {
		return this.content?.chunks.every(digest => this.options.agentOptions.chunks.has(digest)) ?? false;
	}
}
