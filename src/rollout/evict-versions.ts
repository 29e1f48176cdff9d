/** Decides which versions to evict from memory to make room for a new one. */
import type {Digest} from '../ids/digest.ts';

/** A version in memory. */
export type StoredVersion = {
	readonly manifest: Digest;
	/** The digests of the manifest and its chunks. */
	readonly digests: ReadonlySet<Digest>;
	/** Whether the engine serves the version or the configuration requests it. Such versions are never evicted. */
	readonly needed: boolean;
	/** When the version was last needed; the least recently needed one is evicted first. */
	readonly lastNeededAtMs: number;
};

/** Which versions to evict for a new one. */
export type EvictionPlan = {
	/** The manifests of the versions to evict. */
	readonly evict: readonly Digest[];
	/** Whether the new version fits after the eviction. */
	readonly fits: boolean;
};

/**
 * Chooses the versions to evict, least recently needed first and no more than necessary. Chunks that versions share count once.
 *
 * @param stored - the versions in memory, without the new one
 * @param incoming - the digests of the new version
 * @param sizeOf - returns the size of a manifest or chunk in bytes, whether it is stored or not
 * @param memoryBytes - the memory limit for weights
 */
export function planEviction(stored: readonly StoredVersion[], incoming: ReadonlySet<Digest>, sizeOf: (digest: Digest) => number, memoryBytes: number): EvictionPlan {
	const candidates = stored.filter(({needed}) => !needed).toSorted((a, b) => a.lastNeededAtMs - b.lastNeededAtMs);
	const kept = new Set(stored);
	const evict: Digest[] = [];
	for (;;) {
		const digests = new Set([...incoming, ...[...kept].flatMap(version => [...version.digests])]);
		let bytes = 0;
		for (const digest of digests) {
			bytes += sizeOf(digest);
		}

		if (bytes <= memoryBytes) {
			return {evict, fits: true};
		}

		const next = candidates.shift();
		if (!next) {
			return {evict, fits: false};
		}

		kept.delete(next);
		evict.push(next.manifest);
	}
}
