/** Decides which versions leave memory when room is needed. */
import type {Digest} from '../ids/digest.ts';

/** A version in memory. */
export type StoredVersion = {
	readonly manifest: Digest;
	/** Digests of the manifest and its chunks. */
	readonly digests: ReadonlySet<Digest>;
	/** Whether the engine serves the version or the configuration wants it. */
	readonly needed: boolean;
	/** When the version was last needed; the oldest leaves first. */
	readonly lastNeededAtMs: number;
};

/** What to do for a version that comes in. */
export type EvictionPlan = {
	/** Versions that leave. */
	readonly evict: readonly Digest[];
	/** Whether the new version fits then. */
	readonly fits: boolean;
};

/**
 * Chooses the versions that leave, no more than needed.
 *
 * @param stored - versions in memory, without the one that comes in
 * @param incoming - digests of the version that comes in
 * @param sizeOf - a digest's size in bytes, whether it is held or not
 * @param memoryBytes - the bound
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
