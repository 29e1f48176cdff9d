/** Tracks the chunks that are staged at one engine: writes them, reads them back and verifies them against a manifest. */
import {createDigest, digestOf, type Digest} from '../ids/digest.ts';
import type {ChunkStore} from '../rollout/chunk-store.ts';
import type {Manifest} from '../rollout/manifest.ts';
import type {Logger} from '../runtime/logger.ts';
import {Stopwatch} from '../runtime/stopwatch.ts';
import type {LocalEngine} from './local-engine.ts';

/** The maximum number of concurrent chunk reads or writes. */
const maxConcurrentChunks = 4;

/**
 * How long a verification is trusted, in milliseconds from its beginning; staged chunks may become corrupt at any time after they were read.
 * With the timeout of an order, it stays below three seconds.
 */
const verificationMaxAgeMs = 1700;

/** How long after a write without an answer the engine may still apply it, in milliseconds; only a verification that begins later finds it. */
const doubtfulWriteMs = 1000;

/** The chunks staged at one engine, as far as this process wrote or verified them. */
export class StagedChunks {
	/** Monotonic time of the last write, in milliseconds; undefined before the first write to the running engine process. */
	lastWriteAtMs: number | undefined;
	/** Digests of staged chunks by position. */
	private digests = new Map<number, Digest>();
	/** Runs since the beginning of the last verification. */
	private verification: Stopwatch | undefined;
	/** Runs since the last write without an answer. */
	private doubtfulWrite: Stopwatch | undefined;
	private readBackEngineStartMs: number | undefined;

	/**
	 * @param engine - the engine at which chunks are staged
	 * @param chunks - the chunks that this process holds
	 * @param log - receives the results of reading back and verifying
	 */
	constructor(private readonly engine: LocalEngine, private readonly chunks: ChunkStore, private readonly log: Logger) {}

	/** The number of chunks that are known to be staged. */
	get count(): number {
		return this.digests.size;
	}

	/** Whether the last verification is still trusted. */
	get isRecentlyVerified(): boolean {
		return this.verification !== undefined && this.verification.elapsedMs <= verificationMaxAgeMs;
	}

	/** Returns whether every chunk of a manifest is staged. */
	isComplete(manifest: Manifest): boolean {
		return manifest.chunks.every((digest, position) => this.digests.get(position) === digest);
	}

	/**
	 * Reads back what is staged at an engine process that was not seen before. Staged chunks survive a crash, and peers may need them.
	 *
	 * @param manifest - the manifest of the wanted version
	 * @param startedAtMs - the start of the engine process, which identifies it
	 */
	async readBack(manifest: Manifest, startedAtMs: number): Promise<void> {
		if (this.readBackEngineStartMs === startedAtMs) {
			return;
		}

		const {model} = manifest;
		const verification = new Stopwatch();
		this.digests = new Map();
		this.lastWriteAtMs = undefined;
		const listed = await this.engine.listChunks(model);
		if (this.readBackEngineStartMs === undefined && listed?.length !== 0) {
			// What is staged is from an earlier process of this stager, whose last write may have had no answer.
			this.doubtfulWrite = new Stopwatch();
		}

		const listedPositions = listed && new Set(listed);
		await forEachChunk(manifest, async (digest, position) => {
			const bytes = listedPositions?.has(position) === false ? undefined : await this.engine.getChunk(model, position);
			if (bytes && digestOf(bytes) === digest) {
				this.digests.set(position, digest);
				this.chunks.put(digest, bytes);
			}
		});
		this.readBackEngineStartMs = startedAtMs;
		this.finishVerification(verification);
		this.log.info({
			event: 'staged_scanned', model, intact: this.digests.size, startedAtMs, ms: Math.round(verification.elapsedMs),
		}, 'staged chunks read back');
	}

	/**
	 * Stages the held chunks that are not staged yet. Called during the transfer, so that little is left to do after the last chunk.
	 *
	 * @param manifest - the manifest of the wanted version
	 */
	async stageHeld(manifest: Manifest): Promise<void> {
		let stagedCount = 0;
		await forEachChunk(manifest, async (digest, position) => {
			const bytes = this.digests.get(position) === digest ? undefined : this.chunks.get(digest);
			if (bytes) {
				await this.putChunk(manifest.model, position, bytes);
				this.digests.set(position, digest);
				stagedCount++;
			}
		});
		if (stagedCount > 0 || this.lastWriteAtMs === undefined) {
			this.lastWriteAtMs = performance.now();
			this.expireVerification();
		}
	}

	/**
	 * Reads all chunks back and marks missing and corrupt ones as not staged, so that they are written again.
	 *
	 * @param manifest - the manifest of the wanted version
	 */
	async verify(manifest: Manifest): Promise<void> {
		const verification = new Stopwatch();
		await forEachChunk(manifest, async (digest, position) => {
			const bytes = await this.engine.getChunk(manifest.model, position);
			if (!bytes || digestOf(bytes) !== digest) {
				this.digests.delete(position);
				this.log.warn({
					event: 'staged_chunk_bad', model: manifest.model, number: position, isMissing: bytes === undefined,
				}, 'staged chunk is missing or corrupt');
			}
		});
		this.finishVerification(verification);
	}

	/** Requires a new verification before the next order. */
	expireVerification(): void {
		this.verification = undefined;
	}

	/** Trusts a verification unless a write may have been applied after it read the chunk. */
	private finishVerification(verification: Stopwatch): void {
		const isDoubtful = this.doubtfulWrite !== undefined && this.doubtfulWrite.elapsedMs - verification.elapsedMs < doubtfulWriteMs;
		this.verification = isDoubtful ? undefined : verification;
		if (verification.elapsedMs > verificationMaxAgeMs) {
			this.log.warn({event: 'verification_too_old', ms: Math.round(verification.elapsedMs)}, 'reading the staged chunks took longer than the result may be trusted');
		}
	}

	private async putChunk(model: string, position: number, bytes: Uint8Array): Promise<void> {
		try {
			await this.engine.putChunk(model, position, bytes);
		} catch (err) {
			// The engine may still apply the write, over a later one.
			this.digests.delete(position);
			this.doubtfulWrite = new Stopwatch();
			throw err;
		}
	}
}

/** Calls a function for every chunk of a manifest, with limited concurrency. */
async function forEachChunk(manifest: Manifest, callback: (digest: Digest, position: number) => Promise<void>): Promise<void> {
	let nextPosition = 0;
	const runWorker = async (): Promise<void> => {
		while (nextPosition < manifest.chunks.length) {
			const position = nextPosition++;
			await callback(createDigest(manifest.chunks[position]!), position);
		}
	};

	await Promise.all(Array.from({length: maxConcurrentChunks}, async () => runWorker()));
}
