/** Bounds retries to a share of first tries, so that retries cannot keep an overload going. */

/** Retries earned by one first try. */
export const retryShare = 0.1;

/**
 * Retries that a quiet service keeps ready, so that a VM that dies does not break the few streams on it.
 *
 * With 3 and no refill by time, the fourth failure within a few calls ended a stream that another upstream could have resumed.
 */
export const retryReserve = 10;

/** Retries that come back each second while fewer than the reserve are left. */
export const retryRefillPerSecond = 1;

const msPerSecond = 1000;

/** Most retries that can be saved up; a quiet service does not save an unbounded burst. */
export const maxSavedRetries = 100;

/** A token bucket of retries for one service. */
export class RetryBudget {
	private tokens = retryReserve;
	private firstTries = 0;
	private granted = 0;
	private denied = 0;
	private refilledAtMs = performance.now();

	/** Earns a part of a retry. */
	recordFirstTry(): void {
		this.firstTries++;
		this.tokens = Math.min(maxSavedRetries, this.tokens + retryShare);
	}

	/** Takes one retry; false when none is left. */
	tryTake(): boolean {
		this.refill();
		// Ten shares of 0.1 add up to slightly less than 1 in binary floating point.
		if (this.tokens < 1 - 1e-9) {
			this.denied++;
			return false;
		}

		this.tokens = Math.max(0, this.tokens - 1);
		this.granted++;
		return true;
	}

	/** Returns the state for dumps and metrics. */
	dump(): {tokens: number; firstTries: number; granted: number; denied: number} {
		const {tokens, firstTries, granted, denied} = this;
		return {
			tokens: Math.round(tokens * 10) / 10, firstTries, granted, denied,
		};
	}

	private refill(): void {
		const nowMs = performance.now();
		const earned = (nowMs - this.refilledAtMs) / msPerSecond * retryRefillPerSecond;
		this.refilledAtMs = nowMs;
		this.tokens = Math.max(this.tokens, Math.min(retryReserve, this.tokens + earned));
	}
}
