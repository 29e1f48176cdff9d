/** Runs the chunk downloads of one version, with backoff from failing sources. */
import type {Digest} from '../ids/digest.ts';
import {encodeNotice, type TransferNotice} from '../messages/rollout-have.ts';
import {downloadChunk, SourceBusyError} from './chunk-download.ts';
import {CorruptChunkError} from './chunk-store.ts';
import type {Neighbourhood} from './neighbourhood.ts';
import {type OpenTransfer, originSource, type PlannedTransfer} from './plan-transfers.ts';
import type {TransferOptions} from './transfer-options.ts';

/** The base of the exponential backoff, as a fraction of the chunk timeout. */
const backoffBaseRatio = 0.1;

/** The maximum backoff after consecutive failures of one source, in milliseconds, unless the options set another. */
const defaultMaxBackoffMs = 10_000;

/** The minimum time between a failed read of the origin and the next one, in milliseconds. */
const minOriginPauseMs = 150;

/** The time within which an origin that works sends the first bytes, in milliseconds, while all importers share its link. */
const originAnswerMs = 300;

/** The number of consecutive failures after which the backoff no longer doubles. */
const maxBackoffDoublings = 6;

/** Dependencies and callbacks of a chunk fetcher. */
export type ChunkFetcherOptions = {
	readonly agentOptions: TransferOptions;
	readonly manifest: Digest;
	readonly neighbourhood: Neighbourhood;
	/** Returns the digest of a chunk. */
	readonly digestAt: (chunk: number) => Digest;
	/** Returns the size limit of the chunks, in bytes. */
	readonly chunkBytes: () => number;
	/** Returns this agent's notice, which is sent with each request to a peer. */
	readonly notice: () => TransferNotice;
	/** Called after a chunk was verified and stored. */
	readonly onChunk: (digest: Digest, chunk: number) => void;
	/** Called after each download, whether it succeeded or failed. */
	readonly onEnd: () => void;
};

type OpenDownload = OpenTransfer & {receivedBytes: number; readonly wasReachable: boolean; readonly controller: AbortController};

/** Downloads planned chunks, verifies and stores them, and backs off from sources that fail. */
export class ChunkFetcher {
	/** Bytes received from the origin, including those of failed downloads. */
	originBytes = 0;
	/** Bytes received from outside the region, including those of failed downloads. */
	importedBytes = 0;
	/** The earliest time of the next origin request, in milliseconds. */
	originNotBeforeMs = 0;
	private originFailures = 0;
	/** The pause after a failed read of the origin; undefined when there is none. */
	private originPause: {readonly timer: NodeJS.Timeout; readonly failedAtMs: number} | undefined;
	private stopped = false;
	/** Whether the next failed read of the origin was ended because the origin works again. */
	private isResuming = false;
	private readonly downloads = new Map<number, OpenDownload>();

	constructor(private readonly options: ChunkFetcherOptions) {}

	/** The downloads in progress. */
	get open(): OpenTransfer[] {
		return [...this.downloads.values()];
	}

	/** The chunks that are being read from outside the region, without those from a source that may not work: other importers would wait for them. */
	get importingChunks(): number[] {
		return this.open.filter(({source}) => this.isOutsideRegion(source) && !this.options.neighbourhood.isDoubtful(source)).map(({chunk}) => chunk);
	}

	/** Starts a planned download, unless its source has no known address or the fetcher was stopped. */
	fetch(planned: PlannedTransfer): void {
		const url = this.urlOf(planned);
		if (url !== undefined && !this.stopped) {
			void this.download(planned, url);
		}
	}

	/** Reads the origin again after it has failed, because another importer has just imported a chunk. */
	resumeOrigin(): void {
		this.abandonStalledOriginReads();
		if (!this.originPause) {
			return;
		}

		const {timer, failedAtMs} = this.originPause;
		clearTimeout(timer);
		const waitMs = failedAtMs + minOriginPauseMs - performance.now();
		if (waitMs <= 0) {
			this.endOriginPause();
			return;
		}

		const shorter = setTimeout(() => {
			this.endOriginPause();
		}, waitMs);
		shorter.unref();
		this.originPause = {timer: shorter, failedAtMs};
	}

	/** Aborts the downloads from peers that have become unreachable, so that their chunks are fetched elsewhere before the timeout. */
	abandonSilent(): void {
		for (const open of this.downloads.values()) {
			// A download that began in the silence finds out whether a connection works.
			if (open.wasReachable && this.options.neighbourhood.isSilent(open.source)) {
				open.controller.abort();
			}
		}
	}

	/** Aborts all downloads. */
	stop(): void {
		this.stopped = true;
		clearTimeout(this.originPause?.timer);
		for (const {controller} of this.downloads.values()) {
			controller.abort();
		}

		this.downloads.clear();
	}

	/** Aborts reads of the origin that began in an outage and got nothing: what was sent to it then is lost, and they would only end with the timeout. */
	private abandonStalledOriginReads(): void {
		const startedBeforeMs = performance.now() - originAnswerMs;
		for (const open of this.downloads.values()) {
			if (open.source === originSource && this.originFailures > 0 && open.receivedBytes === 0 && open.startedAtMs < startedBeforeMs) {
				this.isResuming = true;
				open.controller.abort();
			}
		}
	}

	private endOriginPause(): void {
		this.originPause = undefined;
		this.originNotBeforeMs = 0;
		this.options.onEnd();
	}

	private async download({chunk, source}: PlannedTransfer, url: string): Promise<void> {
		const {agentOptions, neighbourhood, digestAt, onChunk, onEnd} = this.options;
		const controller = new AbortController();
		const open: OpenDownload = {
			chunk, source, startedAtMs: performance.now(), receivedBytes: 0, wasReachable: !neighbourhood.isSilent(source), controller,
		};
		const digest = digestAt(chunk);
		this.downloads.set(chunk, open);
		if (this.isOutsideRegion(source)) {
			neighbourhood.announceImport();
		}

		neighbourhood.recordAsked(source);
		try {
			const bytes = await downloadChunk({
				links: agentOptions.links,
				url,
				pacer: agentOptions.downPacer,
				stallMs: agentOptions.limits().chunk_timeout_ms,
				chunkBytes: this.options.chunkBytes(),
				freshConnection: neighbourhood.lastContactFailed(source),
				controller,
				onBytes: count => {
					this.countBytes(open, count);
				},
				onNotice(text) {
					neighbourhood.recordNoticeHeader(text);
				},
			});
			if (!this.stopped) {
				agentOptions.chunks.put(digest, bytes);
				this.handleSuccess(source);
				this.downloads.delete(chunk);
				onChunk(digest, chunk);
			}
		} catch (err) {
			if (!this.stopped) {
				this.handleFailure(source, err);
			}
		} finally {
			if (this.downloads.get(chunk) === open) {
				this.downloads.delete(chunk);
			}

			onEnd();
		}
	}

	private isOutsideRegion(source: string): boolean {
		return source === originSource || this.options.neighbourhood.peer(source)?.region !== this.options.agentOptions.self.region;
	}

	private urlOf({chunk, source, lastResort}: PlannedTransfer): string | undefined {
		const {agentOptions, manifest, neighbourhood, digestAt, notice} = this.options;
		if (source === originSource) {
			return agentOptions.originChunkUrl ? agentOptions.originChunkUrl({manifest, position: chunk}) : `${agentOptions.originUrl}/v1/chunks/${digestAt(chunk)}`;
		}

		const address = neighbourhood.peer(source)?.address;
		return address && `http://${address}/chunks/${digestAt(chunk)}?manifest=${manifest}${lastResort ? '&last_resort=1' : ''}&${encodeNotice(notice())}`;
	}

	private countBytes(open: OpenDownload, count: number): void {
		open.receivedBytes += count;
		if (open.source === originSource) {
			this.originBytes += count;
		}

		if (this.isOutsideRegion(open.source)) {
			this.importedBytes += count;
		}
	}

	private handleSuccess(source: string): void {
		this.options.neighbourhood.recordContact(source, false);
		if (source === originSource) {
			this.originFailures = 0;
		} else {
			this.options.neighbourhood.peers.recordSuccess(source);
		}
	}

	private handleFailure(source: string, err: unknown): void {
		const {agentOptions, neighbourhood} = this.options;
		if (err instanceof SourceBusyError) {
			this.handleRefusal(source, err);
			return;
		}

		if (source === originSource && this.isResuming) {
			this.isResuming = false;
			return;
		}

		agentOptions.log.warn({event: 'chunk_failed', source, err}, 'chunk download failed; it will be retried');
		if (err instanceof CorruptChunkError && source !== originSource) {
			neighbourhood.peers.ban(source);
			return;
		}

		neighbourhood.recordContact(source, true);
		const failures = source === originSource ? ++this.originFailures : neighbourhood.peers.recordFailure(source);
		const backoffMs = agentOptions.limits().chunk_timeout_ms * backoffBaseRatio * (2 ** Math.min(failures, maxBackoffDoublings));
		const {maxBackoffMs = defaultMaxBackoffMs, maxOriginBackoffMs = maxBackoffMs} = agentOptions;
		if (source === originSource) {
			// An outage ends the reads of all importers in the same moment. The wide range spreads their next ones, so that one of them soon finds out when it is over.
			const pauseMs = agentOptions.random.nextInt(Math.ceil(2 * Math.min(maxOriginBackoffMs, backoffMs)));
			this.resumeOriginAfter(Math.max(minOriginPauseMs, pauseMs));
		} else {
			this.pause(source, agentOptions.random.jitter(Math.min(maxBackoffMs, backoffMs)));
		}
	}

	/**
	 * Surveys the neighbours before the origin is asked again: after a network partition heals, the region gets the chunks from peers instead
	 * of the origin. Until another region has responded, it is not known what the peers there hold.
	 */
	private resumeOriginAfter(pauseMs: number): void {
		this.originNotBeforeMs = Number.POSITIVE_INFINITY;
		const timer = setTimeout(async () => {
			this.originPause = undefined;
			await this.options.neighbourhood.survey(true);
			this.originNotBeforeMs = 0;
			this.options.onEnd();
		}, pauseMs);
		timer.unref();
		clearTimeout(this.originPause?.timer);
		this.originPause = {timer, failedAtMs: performance.now()};
	}

	private handleRefusal(source: string, err: SourceBusyError): void {
		const {random, log} = this.options.agentOptions;
		log.debug({
			event: 'chunk_refused', source, code: err.code, retryAfterMs: err.retryAfterMs,
		}, 'source temporarily refused a chunk');
		if (err.code === 'over_budget') {
			this.options.neighbourhood.peers.markOverBudget(source);
		} else if (source === originSource) {
			// The origin's retry time is a minimum, so the jitter only extends it, by up to a half.
			this.pause(source, err.retryAfterMs + random.nextInt(Math.ceil(err.retryAfterMs / 2) + 1));
		} else {
			this.pause(source, random.jitter(err.retryAfterMs));
		}
	}

	private pause(source: string, forMs: number): void {
		const untilMs = performance.now() + forMs;
		if (source === originSource) {
			this.originNotBeforeMs = untilMs;
		} else {
			this.options.neighbourhood.peers.pause(source, untilMs);
		}
	}
}
