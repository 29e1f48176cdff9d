/** Estimates how long a caller has tried already, from the time that it still allows. */

/** Deadlines of a route that are remembered. */
const historySize = 64;

/** The usual deadline is exceeded by this share of the remembered ones, so that a few callers with other habits do not set it. */
const outlierShare = 0.1;

/** Share by which first deadlines of one route are shorter than the usual one. */
const deadlineSpread = 0.16;

/** Remembers the last deadlines of each route. */
export class DeadlineHistory {
	private readonly recent = new Map<string, number[]>();

	/**
	 * Returns how long ago a call was first sent, as far as its deadline tells; 0 for a deadline as first ones are.
	 *
	 * @param prefix - the route's prefix
	 * @param deadlineMs - the time that the caller allows, in milliseconds; undefined when it names none
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
