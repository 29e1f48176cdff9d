/** Which versions of weights were named, and when. */
import type {Logger} from '../runtime/logger.ts';

/** A version of weights and since when it is named; `isAssumed` when this process found it named already. */
export type KnownVersion = {readonly version: number; readonly sinceMs: number; readonly isAssumed: boolean};

/** Namings of a version that differ by less are the same, in milliseconds; messages between processes take time. */
const sameNamingMs = 100;

/** Versions of a model that are remembered. */
const maxNamings = 4;

/** A version as one process passes it on to another. */
export type ToldVersion = {readonly model: string; readonly version: number; readonly ageMs: number; readonly isAssumed: boolean};

/** Keeps the last namings of each model. */
export class NamedVersions {
	private readonly named = new Map<string, readonly KnownVersion[]>();

	/** @param log - receives each naming */
	constructor(private readonly log: Logger) {}

	/** The newest version by model. */
	get newest(): ReadonlyMap<string, KnownVersion> {
		return new Map([...this.named].map(([model, versions]) => [model, versions.at(-1)!]));
	}

	/** All namings in the form for another process. */
	get told(): ToldVersion[] {
		const nowMs = performance.now();
		return [...this.named].flatMap(([model, versions]) => versions.map(({version, sinceMs, isAssumed}) => ({
			model, version, ageMs: nowMs - sinceMs, isAssumed,
		})));
	}

	/**
	 * Returns all versions of a model that were named, oldest first.
	 *
	 * @param model - the model
	 */
	of(model: string): readonly KnownVersion[] {
		return this.named.get(model) ?? [];
	}

	/**
	 * Takes a naming over. An observed one replaces an assumed one; of two alike the earlier counts, since a bound runs from it.
	 *
	 * @param model - the model
	 * @param naming - the version and since when it is named
	 */
	set(model: string, naming: KnownVersion): void {
		const versions = this.of(model);
		const known = versions.find(({version}) => version === naming.version);
		const isBetter = !known || (known.isAssumed && !naming.isAssumed) || (known.isAssumed === naming.isAssumed && naming.sinceMs < known.sinceMs - sameNamingMs);
		if (!isBetter) {
			return;
		}

		const others = versions.filter(({version}) => version !== naming.version);
		this.named.set(model, [...others, naming].toSorted((a, b) => a.version - b.version).slice(-maxNamings));
		this.log.info({
			event: 'version_named', model, version: naming.version, newestBefore: versions.at(-1)?.version, ageMs: Math.round(performance.now() - naming.sinceMs), isAssumed: naming.isAssumed,
		}, 'version of weights named');
	}
}
