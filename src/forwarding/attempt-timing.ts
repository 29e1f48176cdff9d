/** How long an attempt took to begin, beside what was predicted and allowed, for the log. */

/** The timing of one attempt; times in milliseconds. */
export type AttemptTiming = {
	/** Time from the send to the first event, or until now if there was none. */
	readonly waitedMs: number;
	readonly predictedMs: number;
	/** How long the call could still start on the selected version; absent unless a newer version was announced. */
	readonly startWindowMs?: number;
	/** How long after the end of the start window the first event came or the attempt ended; absent if it was in time. */
	readonly overrunMs?: number;
};

/**
 * Describes the timing of an attempt.
 *
 * @param waitedMs - time from the send to the first event, or until now if there was none, in milliseconds
 * @param predictedMs - the predicted time to the first event, in milliseconds
 * @param startWindowMs - how long the call could still start on the selected version, in milliseconds; infinite unless a newer version was announced
 */
export function describeAttemptTiming(waitedMs: number, predictedMs: number, startWindowMs: number): AttemptTiming {
	const overrunMs = Math.round(waitedMs - startWindowMs);
	return {
		waitedMs: Math.round(waitedMs),
		predictedMs: Math.round(predictedMs),
		...(Number.isFinite(startWindowMs) ? {startWindowMs: Math.round(startWindowMs)} : {}),
		...(overrunMs > 0 ? {overrunMs} : {}),
	};
}
