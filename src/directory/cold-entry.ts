/** Converts the cold time of an instance between its entry, which counts down, and the end of that time by the clock of this process. */
import type {Instance} from './directory-types.ts';

/** How much the end of a cold time may seem to move between two entries that tell of the same one, in milliseconds; entries take different times to arrive. */
const toleranceMs = 500;

/** Upper bound of a cold time, in milliseconds. */
export const maxColdMs = 300_000;

/**
 * Returns an instance with the end of its cold time. It is the end that was known before if both entries tell of the same cold time, so
 * that an entry that only counts down is no change.
 *
 * @param instance - the instance as its entry lists it
 * @param before - the instance as it was known
 * @param nowMs - the time, in milliseconds of the monotonic clock
 */
export function withColdEnd({coldLeftMs = 0, ...instance}: Instance, before: Instance | undefined, nowMs: number): Instance {
	const untilMs = nowMs + Math.min(maxColdMs, coldLeftMs);
	const knownUntilMs = before?.startedAtMs === instance.startedAtMs ? before.coldUntilMs : undefined;
	if (knownUntilMs !== undefined && Math.abs(Math.max(knownUntilMs, nowMs) - untilMs) <= toleranceMs) {
		return {...instance, coldUntilMs: knownUntilMs};
	}

	return coldLeftMs > 0 ? {...instance, coldUntilMs: untilMs} : instance;
}

/**
 * Returns an instance with the time that its cold time still lasts, to be sent to another process.
 *
 * @param instance - the instance as the table holds it
 * @param nowMs - the time, in milliseconds of the monotonic clock
 */
export function withColdLeft({coldUntilMs, ...instance}: Instance, nowMs: number): Instance {
	const coldLeftMs = coldUntilMs === undefined ? 0 : Math.round(coldUntilMs - nowMs);
	return coldLeftMs > 0 ? {...instance, coldLeftMs} : instance;
}
