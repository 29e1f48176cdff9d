/** The versions of weights that were named, and when. Naming a version means publishing it as the one that engines should serve. */
import type {Logger} from '../runtime/logger.ts';

/**
 * A named version and the bounds of the monotonic time at which it was named. Older versions expire as if it had been named at the
 * earliest possible time, which is `-Infinity` while no known process has observed the naming.
 */
export type KnownVersion = {readonly version: number; readonly earliestMs: number; readonly latestMs: number};

/** Changes of a bound that are smaller count as none, in milliseconds, since messages between processes take time. */
const timeToleranceMs = 100;

/** Number of versions that are kept per model. The time limit for an older version starts with the first newer one, which must not be forgotten before it ends. */
const maxVersionsPerModel = 16;

/** A named version in the form that processes send to each other, with bounds of its age instead of monotonic times; no greatest age means that it is unknown. */
export type NamedVersion = {readonly model: string; readonly version: number; readonly minAgeMs: number; readonly maxAgeMs?: number | undefined};

/** A known version, and the bound that was last reported as a change. */
type Entry = KnownVersion & {readonly reportedMs: number};

/** Keeps the latest named versions of each model. */
export class NamedVersions {
	/** Increases with each reported change. */
	changes = 0;
	private readonly versionsByModel = new Map<string, readonly Entry[]>();

	constructor(private readonly log: Logger) {}

	/** The newest named version by model. */
	get newest(): ReadonlyMap<string, KnownVersion> {
		return new Map([...this.versionsByModel].map(([model, versions]) => [model, versions.at(-1)!]));
	}

	/** All named versions in the form that is sent to other processes. */
	get shareable(): NamedVersion[] {
		const nowMs = performance.now();
		return [...this.versionsByModel].flatMap(([model, versions]) => versions.map(({version, earliestMs, latestMs}) => ({
			model, version, minAgeMs: nowMs - latestMs, ...(Number.isFinite(earliestMs) ? {maxAgeMs: nowMs - earliestMs} : {}),
		})));
	}

	/** Returns the named versions of a model, oldest first. */
	versionsOf(model: string): readonly KnownVersion[] {
		return this.versionsByModel.get(model) ?? [];
	}

	/** Moves the earliest times back, since the monotonic clock may have stood still for some time; the latest times hold all the same. */
	moveBack(ms: number): void {
		for (const [model, versions] of this.versionsByModel) {
			const moved = versions.map(entry => ({...entry, earliestMs: entry.earliestMs - ms, reportedMs: entry.reportedMs - ms}));
			this.versionsByModel.set(model, moved);
			for (const entry of moved) {
				this.log.info({
					event: 'version_named', model, newestBefore: versions.at(-1)?.version, ...describeBounds(entry, entry.reportedMs + ms),
				}, 'the clock jumped, so a version may have been named earlier');
			}
		}
	}

	/** Records that a version was named, or merges the bounds of the time with the known ones. */
	record(model: string, candidate: KnownVersion): void {
		const versions = this.versionsOf(model) as readonly Entry[];
		const known = versions.find(({version}) => version === candidate.version);
		const {version, earliestMs, latestMs} = known ? mergeBounds(known, candidate) : candidate;
		const isChange = !known || Math.abs(earliestMs - known.reportedMs) > timeToleranceMs;
		const entry = {
			version, earliestMs, latestMs, reportedMs: isChange ? earliestMs : known.reportedMs,
		};
		const kept = [...versions.filter(other => other.version !== version), entry].toSorted((a, b) => a.version - b.version).slice(-maxVersionsPerModel);
		if (!kept.includes(entry)) {
			// Too old to be kept; a peer that still keeps it would otherwise tell it as news with each message.
			return;
		}

		this.versionsByModel.set(model, kept);
		if (isChange) {
			this.changes++;
			this.log.info({
				event: 'version_named', model, newestBefore: versions.at(-1)?.version, ...describeBounds(entry, known?.reportedMs),
			}, 'a version of weights was named, or the bounds of the time when it was named changed');
		}
	}
}

/**
 * Merges two pairs of bounds of the same time. Bounds that exclude each other come from a clock or a message that was delayed for longer
 * than assumed; the earlier pair is kept then, since a delay only makes a version look younger.
 */
function mergeBounds(known: KnownVersion, candidate: KnownVersion): KnownVersion {
	const earliestMs = Math.max(known.earliestMs, candidate.earliestMs);
	const latestMs = Math.min(known.latestMs, candidate.latestMs);
	if (earliestMs <= latestMs) {
		return {version: known.version, earliestMs, latestMs};
	}

	return known.latestMs <= candidate.latestMs ? known : candidate;
}

/** Describes bounds in a log line; `isAssumed` is set while the earliest time is unknown. */
function describeBounds({version, earliestMs, latestMs}: KnownVersion, reportedMs: number | undefined): Record<string, unknown> {
	const correctedByMs = earliestMs - (reportedMs ?? Number.NaN);
	return {
		version, isAssumed: !Number.isFinite(earliestMs), minAgeMs: Math.round(performance.now() - latestMs),
		...(Number.isFinite(earliestMs) ? {ageMs: Math.round(performance.now() - earliestMs)} : {}),
		...(Number.isFinite(correctedByMs) ? {correctedByMs: Math.round(correctedByMs)} : {}),
	};
}
