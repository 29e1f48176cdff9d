/** Verified chunks and manifests in memory, by digest. */
import {type Digest, digestOf} from '../ids/digest.ts';

/** Reports bytes that do not have the digest that they were asked for. */
export class CorruptChunkError extends Error {}

/** Holds chunks; what is in the store has been verified. */
export class ChunkStore {
	private readonly chunks = new Map<Digest, Uint8Array>();
	private usedBytes = 0;

	/** Bytes held now. */
	get bytes(): number {
		return this.usedBytes;
	}

	/** How many chunks are held. */
	get count(): number {
		return this.chunks.size;
	}

	/**
	 * Returns a chunk.
	 *
	 * @param digest - its digest
	 */
	get(digest: Digest): Uint8Array | undefined {
		return this.chunks.get(digest);
	}

	/**
	 * Tells whether a chunk is held.
	 *
	 * @param digest - its digest
	 */
	has(digest: Digest): boolean {
		return this.chunks.has(digest);
	}

	/**
	 * Verifies and stores a chunk.
	 *
	 * @param digest - the digest that the bytes must have
	 * @param bytes - the content
	 * @throws CorruptChunkError when the digest differs
	 */
	put(digest: Digest, bytes: Uint8Array): void {
		if (digestOf(bytes) !== digest) {
			throw new CorruptChunkError(`chunk ${digest} has other content`);
		}

		if (!this.chunks.has(digest)) {
			this.chunks.set(digest, bytes);
			this.usedBytes += bytes.length;
		}
	}

	/**
	 * Drops every chunk that is not in a set.
	 *
	 * @param wanted - digests to keep
	 */
	retain(wanted: ReadonlySet<Digest>): void {
		for (const [digest, bytes] of this.chunks) {
			if (!wanted.has(digest)) {
				this.chunks.delete(digest);
				this.usedBytes -= bytes.length;
			}
		}
	}
}
