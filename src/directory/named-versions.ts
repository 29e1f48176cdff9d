/** Which versions of weights were named, and when. */
import type {Logger} from '../runtime/logger.ts';

/** A version of weights and since when it is named; `isAssumed` when this process found it named already. */
export type KnownVersion = {readonly version: number; readonly sinceMs: number; readonly isAssumed: boolean};

/** Namings of a version that differ by less are the same, in milliseconds; messages between processes take time. */
const timeToleranceMs = 100;

/** Versions of a model that are remembered. */
const maxVersionsPerModel = 4;

/** A version as one process passes it on to another. */
export type NamedVersion = {readonly model: string; readonly version: number; readonly ageMs: number; readonly isAssumed: boolean};

/** Keeps the last namings of each model. */
export class NamedVersions {
	private readonly versionsByModel = new Map<string, readonly KnownVersion[]>();

	/** @param log - receives each naming */
	constructor(private readonly log: Logger) {}

	/** The newest version by model. */
	get newest(): ReadonlyMap<string, KnownVersion> {
		return new Map([...this.versionsByModel].map(([model, versions]) => [model, versions.at(-1)!]));
	}

	/** All namings in the form for another process. */
	get shareable(): NamedVersion[] {
		const nowMs = performance.now();
		return [...this.versionsByModel].flatMap(([model, versions]) => versions.map(({version, sinceMs, isAssumed}) => ({
			model, version, ageMs: nowMs - sinceMs, isAssumed,
		})));
	}

	/**
	 * Returns all versions of a model that were named, oldest first.
	 *
	 * @param model - the model
	 */
	versionsOf(model: string): readonly KnownVersion[] {
		return this.versionsByModel.get(model) ?? [];
	}

	/**
	 * Takes a naming over. An observed one replaces an assumed one; of two alike the earlier counts, since a bound runs from it.
	 *
	 * @param model - the model
	 * @param candidate - the version and since when it is named
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
		this.log.info({
			event: 'version_named', model, version: candidate.version, newestBefore: versions.at(-1)?.version, ageMs: Math.round(performance.now() - candidate.sinceMs), isAssumed: candidate.isAssumed,
		}, 'version of weights named');
	}
}
