/** Limits retries to a fraction of the first attempts, so that retries cannot sustain an overload. */

/** Retry tokens that each first attempt adds to the budget. */
export const tokensPerFirstTry = 0.1;

/**
 * Tokens that the budget starts with and refills to over time, so that the failure of a VM does not break the few streams
 * of a service with little traffic.
 *
 * With a reserve of 3 and no refill, the fourth failure within a few calls ended a stream that another upstream could have
 * resumed.
 */
export const retryReserve = 10;

/** Tokens added per second while the budget is below the reserve. */
export const retryRefillPerSecond = 1;

const msPerSecond = 1000;

/** Maximum number of tokens, which bounds a burst of retries after a long time without any. */
export const maxRetryTokens = 100;

/** A token bucket that limits the retries of one service. */
export class RetryBudget {
	private tokens = retryReserve;
	private firstTries = 0;
	private granted = 0;
	private denied = 0;
	private refilledAtMs = performance.now();

	/** Records the first attempt of a call, which adds a fraction of a token. */
	recordFirstTry(): void {
		this.firstTries++;
		this.tokens = Math.min(maxRetryTokens, this.tokens + tokensPerFirstTry);
	}

	/** Takes one token for a retry; returns false when none is left. */
	tryTake(): boolean {
		this.refill();
		// Ten additions of 0.1 give slightly less than 1 in binary floating point.
		if (this.tokens < 1 - 1e-9) {
			this.denied++;
			return false;
		}

		this.tokens = Math.max(0, this.tokens - 1);
		this.granted++;
		return true;
	}

	/** Returns the state for state dumps and metrics. */
	dump(): {tokens: number; firstTries: number; granted: number; denied: number} {
		const {tokens, firstTries, granted, denied} = this;
		return {
			tokens: Math.round(tokens * 10) / 10, firstTries, granted, denied,
		};
	}

	private refill(): void {
		const nowMs = performance.now();
		const refilled = (nowMs - this.refilledAtMs) / msPerSecond * retryRefillPerSecond;
		this.refilledAtMs = nowMs;
		this.tokens = Math.max(this.tokens, Math.min(retryReserve, this.tokens + refilled));
	}
}
