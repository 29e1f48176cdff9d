/** In-memory store of verified chunks and manifests, keyed by digest. */
import {type Digest, digestOf} from '../ids/digest.ts';

/** Thrown when content does not match its expected digest. */
export class CorruptChunkError extends Error {}

/** Content-addressed store. Every entry was verified against its digest. */
export class ChunkStore {
	private readonly chunks = new Map<Digest, Uint8Array>();
	private usedBytes = 0;

	/** The total size of the stored chunks, in bytes. */
	get bytes(): number {
		return this.usedBytes;
	}

	/** The number of stored chunks. */
	get count(): number {
		return this.chunks.size;
	}

	/** Returns a chunk, or undefined when it is not stored. */
	get(digest: Digest): Uint8Array | undefined {
		return this.chunks.get(digest);
	}

	/** Returns whether a chunk is stored. */
	has(digest: Digest): boolean {
		return this.chunks.has(digest);
	}

	/**
	 * Verifies and stores a chunk.
	 *
	 * @param digest - the expected digest
	 * @param bytes - the content
	 * @throws CorruptChunkError when the content does not match the digest
	 */
	put(digest: Digest, bytes: Uint8Array): void {
		if (digestOf(bytes) !== digest) {
			throw new CorruptChunkError(`content does not match digest ${digest}`);
		}

		if (!this.chunks.has(digest)) {
			this.chunks.set(digest, bytes);
			this.usedBytes += bytes.length;
		}
	}

	/**
	 * Deletes every chunk that is not in a set.
	 *
	 * @param wanted - the digests to keep
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
