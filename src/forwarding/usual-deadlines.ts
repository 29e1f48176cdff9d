/** Estimates how long a caller has tried already, from the time that it still allows. */

/** Share by which first deadlines of one route differ from caller to caller. */
const deadlineSpread = 0.16;

/** Remembers the longest deadline of each route. */
export class UsualDeadlines {
	private readonly longest = new Map<string, number>();

	/**
	 * Returns how long ago a call was first sent, as far as its deadline tells; 0 for a deadline as first ones are.
	 *
	 * @param route - the route's prefix
	 * @param deadlineMs - the time that the caller allows, in milliseconds; undefined when it names none
	 */
	elapsedMs(route: string, deadlineMs: number | undefined): number {
		if (deadlineMs === undefined) {
			return 0;
		}

		const longestMs = Math.max(this.longest.get(route) ?? 0, deadlineMs);
		this.longest.set(route, longestMs);
		return Math.max(0, (longestMs * (1 - deadlineSpread)) - deadlineMs);
	}
}
