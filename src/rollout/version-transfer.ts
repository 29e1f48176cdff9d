/** Transfers one version to one agent: plans and runs downloads, verifies chunks and announces them to neighbours. */
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

/** The size limit of a manifest, in bytes. */
const maxManifestBytes = 8_388_608;

/** The default number of concurrent downloads. */
const maxOpenDownloads = 4;

/** The number of concurrent origin reads by one agent. */
const maxOriginReads = 1;

/** The mean interval of plans while nothing changes, in milliseconds. */
const planIntervalMs = 50;

/** How long changes are collected before a plan, in milliseconds. */
const planDelayMs = 2;

/** Dependencies and callbacks of a version's transfer. */
export type VersionTransferOptions = {
	readonly agentOptions: TransferOptions;
	readonly manifest: Digest;
	/** Whether the rollout minimizes its duration or the bytes read from the origin. */
	readonly objective: 'time' | 'origin-bytes';
	/** Returns how many bytes of this version were uploaded to peers. */
	readonly sentBytes: () => number;
	/** Evicts other versions as needed and returns whether the version fits into memory. */
	readonly makeRoom: (manifest: Manifest) => boolean;
	/** Reports whether the version does not fit into memory. */
	readonly reportDoesNotFit: (doesNotFit: boolean) => void;
	/** Called once, when every chunk is held and verified. */
	readonly onHeld: () => void;
};

/** The transfer of one version to one agent. */
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

	constructor(private readonly options: VersionTransferOptions) {
		const {agentOptions, manifest, objective} = options;
		this.neighbourhood = new Neighbourhood({
			agentOptions,
			manifest,
			watchesAllRegions: objective === 'origin-bytes',
			notice: () => this.notice(),
			onImport: () => {
				this.fetcher.resumeOrigin();
			},
			onNewChunks: () => {
				// The end of a download plans the next one.
				if (this.fetcher.open.length < this.maxOpen) {
					this.schedulePlan();
				}
			},
		});
		this.fetcher = new ChunkFetcher({
			agentOptions,
			manifest,
			neighbourhood: this.neighbourhood,
			digestAt: chunk => this.digestAt(chunk),
			chunkBytes: () => this.content?.chunk_bytes ?? maxManifestBytes,
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

	/** The current state of the transfer. */
	get state(): TransferState {
		return this.machine.state;
	}

	/** The manifest, once it is held. */
	get manifest(): Manifest | undefined {
		return this.content;
	}

	/** The number of held chunks of this version. */
	get heldCount(): number {
		return this.content ? this.held.count : 0;
	}

	/** The sources of the downloads in progress. */
	get openSources(): readonly string[] {
		return this.fetcher.open.map(({source}) => source);
	}

	/** Bytes received from the origin. */
	get originBytes(): number {
		return this.fetcher.originBytes;
	}

	/** Whether the manifest or chunks are being downloaded. */
	get isRunning(): boolean {
		return this.state === 'manifest' || this.state === 'chunks';
	}

	/** Starts the transfer. */
	start(): void {
		this.machine.start();
		this.loadManifest();
		this.scheduleTick();
	}

	/** Stops the transfer because the version is no longer wanted. */
	supersede(): void {
		this.machine.send('SUPERSEDED');
	}

	/** Discards what is known about peers after the process was suspended, and surveys them again. */
	wake(): void {
		this.neighbourhood.peers.clear();
		this.unavailability.clear();
		this.startedAtMs = performance.now();
		this.machine.send('WOKEN');
	}

	/**
	 * Records a peer's notice and returns this agent's notice.
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
			this.fetcher.abandonSilent();
			this.schedulePlan();
			this.scheduleTick();
		}, this.options.agentOptions.random.jitter(planIntervalMs));
		this.timer.unref();
	}

	/** Schedules a plan. Changes within `planDelayMs` are handled by the same plan. */
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
			nowMs: performance.now(), peers: neighbourhood.peers.toPlanPeers(neighbourhood.regions, agentOptions.self.region, vm => neighbourhood.isSilent(vm)), stepInMs: agentOptions.limits().step_in_ms,
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
			maxOpen: this.maxOpen,
			maxOriginReads,
			randomRank: chunk => this.randomRanks[chunk] ?? chunk,
		});
	}

	private get maxOpen(): number {
		return this.options.agentOptions.maxOpenDownloads?.(this.neighbourhood.isImporter) ?? maxOpenDownloads;
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

	/** Marks all positions of a digest as held; chunks with the same content have several positions. */
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
