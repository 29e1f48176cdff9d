/**
 * Chooses when refused callers return while more urgent calls are refused than less urgent ones can make room for: more urgent ones
 * earlier, and those of one urgency spread evenly, so that they do not return at once. No I/O, no clock.
 */

/** Part of the time left within which callers return; they honour no more than a third of it. */
const returnShares = {min: 0.19, max: 0.32};

/** The golden ratio less one: multiples of it, without their whole part, are spread evenly however many there are. */
const spread = (Math.sqrt(5) - 1) / 2;

/** The return times of the callers that one gateway refuses at one service. */
export class RetrySchedule {
	private readonly counts = new Map<number, number>();

	/**
	 * Returns when a refused caller should return, in milliseconds.
	 *
	 * @param urgency - urgency of the call
	 * @param yielding - the urgencies of which calls give way; calls that are more urgent than all of these return first
	 * @param leftMs - time left until the call expires, in milliseconds
	 */
	nextReturnMs(urgency: number, yielding: ReadonlySet<number>, leftMs: number): number {
		const turn = [...yielding].filter(other => other <= urgency).length;
		const count = this.counts.get(turn) ?? 0;
		this.counts.set(turn, count + 1);
		const position = (turn + ((count * spread) % 1)) / (yielding.size + 1);
		return Math.max(0, leftMs) * (returnShares.min + (position * (returnShares.max - returnShares.min)));
	}
}
