/**
 * Bounds the sends beyond the first of each call to a share of the calls, over a sliding window.
 *
 * The bound holds over all entries together; each takes an even share of the fixed part, counted over every entry that it ever knew,
 * so that entries that are cut off from each other stay within it too.
 */

/** The published bound. */
export type RetryBound = {
	/** Sends beyond the first that each call allows. */
	readonly ratio: number;
	/** Sends that are allowed besides, over all entries. */
	readonly slack: number;
	readonly windowMs: number;
};

/** Share of the bound that is used; entries do not see each other's calls. */
const usedShare = 0.7;

/** Counts calls and repeats of one service in slices of the window. */
export class RetryWindow {
	private readonly calls: number[] = [];
	private readonly repeats: number[] = [];

	/**
	 * @param bound - the published bound
	 * @param entryCount - returns how many entries share it
	 */
	constructor(private readonly bound: RetryBound, private readonly entryCount: () => number) {}

	/** Counts the first send of a call. */
	recordCall(): void {
		this.forget();
		this.calls.push(performance.now());
	}

	/** Takes one repeat; false when the share is used up. */
	tryTake(): boolean {
		this.forget();
		const {ratio, slack} = this.bound;
		const allowed = usedShare * ((this.calls.length * ratio) + (slack / Math.max(1, this.entryCount())));
		if (this.repeats.length + 1 > allowed) {
			return false;
		}

		this.repeats.push(performance.now());
		return true;
	}

	private forget(): void {
		const fromMs = performance.now() - this.bound.windowMs;
		for (const times of [this.calls, this.repeats]) {
			const keep = times.findIndex(time => time >= fromMs);
			times.splice(0, keep === -1 ? times.length : keep);
		}
	}
}
