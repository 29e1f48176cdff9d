/**
 * Bounds the sends beyond the first of each call to a share of the calls, over a sliding window.
 *
 * The bound holds over all entries together; each takes an even share of the fixed part, counted over every entry that it ever knew,
 * so that entries that are cut off from each other stay within it too.
 */

/** The published bound. */
export type RetryBudgetOptions = {
	/** Sends beyond the first that each call allows. */
	readonly ratio: number;
	/** Sends that are allowed besides, over all entries. */
	readonly slack: number;
	readonly windowMs: number;
};

/** Share of the bound that is used; entries do not see each other's calls. */
const usableShare = 0.7;

/** Counts calls and repeats of one service in slices of the window. */
export class WindowedRetryBudget {
	private readonly calls: number[] = [];
	private readonly retries: number[] = [];

	/**
	 * @param options - the published bound
	 * @param gatewayCount - returns how many entries share it
	 */
	constructor(private readonly options: RetryBudgetOptions, private readonly gatewayCount: () => number) {}

	/** Counts the first send of a call. */
	recordCall(): void {
		this.dropExpired();
		this.calls.push(performance.now());
	}

	/** Takes one repeat; false when the share is used up. */
	tryTake(): boolean {
		this.dropExpired();
		const {ratio, slack} = this.options;
		const allowed = usableShare * ((this.calls.length * ratio) + (slack / Math.max(1, this.gatewayCount())));
		if (this.retries.length + 1 > allowed) {
			return false;
		}

		this.retries.push(performance.now());
		return true;
	}

	private dropExpired(): void {
		const fromMs = performance.now() - this.options.windowMs;
		for (const times of [this.calls, this.retries]) {
			const firstKept = times.findIndex(time => time >= fromMs);
			times.splice(0, firstKept === -1 ? times.length : firstKept);
		}
	}
}
