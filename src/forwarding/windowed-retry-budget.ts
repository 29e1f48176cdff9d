/**
 * Limits retries to a share of the calls plus a fixed number (`slack`), over a sliding window.
 *
 * The limit holds for all gateways together. Each gateway uses an equal part of the slack, divided by the number of gateways it has
 * ever known, so that gateways that are partitioned from each other also stay within the limit.
 */

import {dropBefore} from './hedge-limit.ts';

/** The configured limit. */
export type RetryBudgetOptions = {
	/** Retries allowed per call. */
	readonly ratio: number;
	/** Additional retries allowed per window, over all gateways. */
	readonly slack: number;
	readonly windowMs: number;
};

/** Share of the limit that is used, as a margin: gateways do not see each other's calls. */
const usableShare = 0.7;

/** Share of the retries that attempts may use which no failure requires, so that the rest is left for calls that fail. */
const spareShare = 0.5;

/**
 * Returns how many retries the limit allows one gateway per window; only whole ones are made.
 *
 * @param calls - the calls that the gateway received within the window
 * @param gateways - the number of gateways that share the limit
 */
export function allowedRetries({ratio, slack}: Pick<RetryBudgetOptions, 'ratio' | 'slack'>, calls: number, gateways: number): number {
	return usableShare * ((calls * ratio) + (slack / Math.max(1, gateways)));
}

/** Counts the calls and retries of one service within the window. */
export class WindowedRetryBudget {
	private readonly calls: number[] = [];
	private readonly retries: number[] = [];

	/**
	 * @param options - the configured limit
	 * @param gatewayCount - returns the number of gateways that share the limit
	 */
	constructor(private readonly options: RetryBudgetOptions, private readonly gatewayCount: () => number) {}

	/** Counts the first attempt of a call. */
	recordCall(): void {
		this.dropExpired();
		this.calls.push(performance.now());
	}

	/** Whether a retry is left. */
	get hasRetry(): boolean {
		this.dropExpired();
		return this.retries.length + 1 <= allowedRetries(this.options, this.calls.length, this.gatewayCount());
	}

	/** Whether more retries are left than failed calls may need. */
	get hasSpareRetry(): boolean {
		this.dropExpired();
		return this.retries.length + 1 <= spareShare * allowedRetries(this.options, this.calls.length, this.gatewayCount());
	}

	/** Takes one retry; returns false if the budget is exhausted. */
	tryTake(): boolean {
		const {hasRetry} = this;
		if (hasRetry) {
			this.retries.push(performance.now());
		}

		return hasRetry;
	}

	private dropExpired(): void {
		const fromMs = performance.now() - this.options.windowMs;
		dropBefore(this.calls, fromMs);
		dropBefore(this.retries, fromMs);
	}
}
