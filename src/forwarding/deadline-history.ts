/** Estimates how long a caller has been retrying a call, from how much shorter its deadline is than the usual one of the route. */

/** Number of deadlines kept per route. */
const historySize = 64;

/** Share of the kept deadlines that are longer than the usual one, so that a few callers with unusually long deadlines do not set it. */
const outlierShare = 0.1;

/** How much shorter than the usual deadline the deadline of a first attempt may be, as a share. */
const deadlineSpread = 0.16;

/** Keeps the most recent deadlines of each route. */
export class DeadlineHistory {
	private readonly recent = new Map<string, number[]>();

	/**
	 * Records the deadline of a call and returns how long ago the caller probably first sent it, in milliseconds; 0 if the deadline is
	 * long enough for a first attempt.
	 *
	 * @param prefix - path prefix of the route
	 * @param deadlineMs - time left until the caller's deadline, in milliseconds; undefined if it has none
	 */
	estimateElapsedMs(prefix: string, deadlineMs: number | undefined): number {
		if (deadlineMs === undefined) {
			return 0;
		}

		const deadlines = [...this.recent.get(prefix) ?? [], deadlineMs].slice(-historySize);
		this.recent.set(prefix, deadlines);
		const usualMs = deadlines.toSorted((a, b) => b - a)[Math.floor(deadlines.length * outlierShare)]!;
		return Math.max(0, (usualMs * (1 - deadlineSpread)) - deadlineMs);
	}
}
