/** The chunks that lie beside one engine: written, read back and checked against a manifest. */
import {createDigest, digestOf, type Digest} from '../ids/digest.ts';
import type {ChunkStore} from '../rollout/chunk-store.ts';
import type {Manifest} from '../rollout/manifest.ts';
import type {Logger} from '../runtime/logger.ts';
import type {LocalEngine} from './local-engine.ts';

/** Chunks that are written or read back at once. */
const chunksAtOnce = 4;

/** A check counts for this long, in milliseconds; chunks may go bad while they lie there. */
const checkedMs = 1200;

/** Keeps track of one engine's staged chunks. */
export class StagedChunks {
	/** Monotonic time of the last write, in milliseconds; undefined before the first one in this run of the engine. */
	writtenAtMs: number | undefined;
	/** Digests that lie beside the engine, by position, as far as this process wrote or checked them. */
	private digests = new Map<number, Digest>();
	private checkedAtMs = Number.NEGATIVE_INFINITY;
	private scannedRun: number | undefined;

	/**
	 * @param engine - the engine
	 * @param chunks - the chunks that this process holds
	 * @param log - receives what was found
	 */
	constructor(private readonly engine: LocalEngine, private readonly chunks: ChunkStore, private readonly log: Logger) {}

	/** How many chunks are known to lie there. */
	get count(): number {
		return this.digests.size;
	}

	/** Whether the last check is recent. */
	get isChecked(): boolean {
		return performance.now() - this.checkedAtMs <= checkedMs;
	}

	/**
	 * Tells whether every chunk of a manifest lies there.
	 *
	 * @param manifest - the manifest
	 */
	isComplete(manifest: Manifest): boolean {
		return manifest.chunks.every((digest, number) => this.digests.get(number) === digest);
	}

	/**
	 * Reads what lies beside an engine of which this process has seen no start: it survives a crash, and peers may need it.
	 *
	 * @param manifest - the wanted version
	 * @param startedAtMs - tells runs of the engine apart
	 */
	async scan(manifest: Manifest, startedAtMs: number): Promise<void> {
		if (this.scannedRun === startedAtMs) {
			return;
		}

		const {model} = manifest;
		this.digests = new Map();
		this.writtenAtMs = undefined;
		const listed = await this.engine.listChunks(model);
		const present = listed && new Set(listed);
		await forChunks(manifest, async (digest, number) => {
			const bytes = present?.has(number) === false ? undefined : await this.engine.getChunk(model, number);
			if (bytes && digestOf(bytes) === digest) {
				this.digests.set(number, digest);
				this.chunks.put(digest, bytes);
			}
		});
		this.scannedRun = startedAtMs;
		this.checkedAtMs = performance.now();
		this.log.info({
			event: 'staged_scanned', model, intact: this.digests.size, startedAtMs,
		}, 'staged chunks read back');
	}

	/**
	 * Writes the chunks that are held and do not lie there yet, so that little is left to do when the last one arrives.
	 *
	 * @param manifest - the wanted version
	 */
	async write(manifest: Manifest): Promise<void> {
		let written = 0;
		await forChunks(manifest, async (digest, number) => {
			const bytes = this.digests.get(number) === digest ? undefined : this.chunks.get(digest);
			if (bytes) {
				await this.engine.putChunk(manifest.model, number, bytes);
				this.digests.set(number, digest);
				written++;
			}
		});
		if (written > 0 || this.writtenAtMs === undefined) {
			this.writtenAtMs = performance.now();
			this.expireCheck();
		}
	}

	/**
	 * Reads all chunks back and forgets those that went bad, so that they are written again.
	 *
	 * @param manifest - the wanted version
	 */
	async check(manifest: Manifest): Promise<void> {
		await forChunks(manifest, async (digest, number) => {
			const bytes = await this.engine.getChunk(manifest.model, number);
			if (!bytes || digestOf(bytes) !== digest) {
				this.digests.delete(number);
				this.log.warn({
					event: 'staged_chunk_bad', model: manifest.model, number, isMissing: bytes === undefined,
				}, 'a staged chunk went bad');
			}
		});
		this.checkedAtMs = performance.now();
	}

	/** Makes the next order wait for a new check. */
	expireCheck(): void {
		this.checkedAtMs = Number.NEGATIVE_INFINITY;
	}
}

async function forChunks(manifest: Manifest, act: (digest: Digest, number: number) => Promise<void>): Promise<void> {
	let next = 0;
	const work = async (): Promise<void> => {
		while (next < manifest.chunks.length) {
			const number = next++;
			await act(createDigest(manifest.chunks[number]!), number);
		}
	};

	await Promise.all(Array.from({length: chunksAtOnce}, async () => work()));
}
