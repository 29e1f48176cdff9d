/** The versions of weights that were named, and when. Naming a version means publishing it as the one that engines should serve. */
import type {Logger} from '../runtime/logger.ts';

/** A named version and the monotonic time at which it was named; `isAssumed` when the time is an assumption, since the version was named before this process started. */
export type KnownVersion = {readonly version: number; readonly sinceMs: number; readonly isAssumed: boolean};

/** Times of naming that differ by less count as equal, in milliseconds, since messages between processes take time. */
const timeToleranceMs = 100;

/** Number of versions that are kept per model. */
const maxVersionsPerModel = 4;

/** A named version in the form that processes send to each other, with its age instead of a monotonic time. */
export type NamedVersion = {readonly model: string; readonly version: number; readonly ageMs: number; readonly isAssumed: boolean};

/** Keeps the latest named versions of each model. */
export class NamedVersions {
	/** Increases with each recorded change. */
	changes = 0;
	private readonly versionsByModel = new Map<string, readonly KnownVersion[]>();

	constructor(private readonly log: Logger) {}

	/** The newest named version by model. */
	get newest(): ReadonlyMap<string, KnownVersion> {
		return new Map([...this.versionsByModel].map(([model, versions]) => [model, versions.at(-1)!]));
	}

	/** All named versions in the form that is sent to other processes. */
	get shareable(): NamedVersion[] {
		const nowMs = performance.now();
		return [...this.versionsByModel].flatMap(([model, versions]) => versions.map(({version, sinceMs, isAssumed}) => ({
			model, version, ageMs: nowMs - sinceMs, isAssumed,
		})));
	}

	/** Returns the named versions of a model, oldest first. */
	versionsOf(model: string): readonly KnownVersion[] {
		return this.versionsByModel.get(model) ?? [];
	}

	/**
	 * Records that a version was named.
	 *
	 * For a known version, an observed time replaces an assumed one, never the reverse. Of two times of the same kind the
	 * earlier one is kept, since the time limit for older versions starts then.
	 */
	record(model: string, candidate: KnownVersion): void {
		const versions = this.versionsOf(model);
		const known = versions.find(({version}) => version === candidate.version);
		const replacesKnown = !known || (known.isAssumed && !candidate.isAssumed) || (known.isAssumed === candidate.isAssumed && candidate.sinceMs < known.sinceMs - timeToleranceMs);
		if (!replacesKnown) {
			return;
		}

		const others = versions.filter(({version}) => version !== candidate.version);
		this.versionsByModel.set(model, [...others, candidate].toSorted((a, b) => a.version - b.version).slice(-maxVersionsPerModel));
		this.changes++;
		this.log.info({
			event: 'version_named', model, version: candidate.version, newestBefore: versions.at(-1)?.version, ageMs: Math.round(performance.now() - candidate.sinceMs), isAssumed: candidate.isAssumed, ...(known ? {correctedByMs: Math.round(candidate.sinceMs - known.sinceMs)} : {}),
		}, 'a version of weights was named');
	}
}
