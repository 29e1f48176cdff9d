/** Bounds retries to a share of first tries, so that retries cannot keep an overload going. */

/** Retries earned by one first try. */
export const retryShare = 0.1;

/** Retries that may be made before any first try earned one. */
export const retryReserve = 3;

/** Most retries that can be saved up; a quiet service does not save an unbounded burst. */
export const maxSavedRetries = 100;

/** A token bucket of retries for one service. */
export class RetryBudget {
	private tokens = retryReserve;
	private firstTries = 0;
	private granted = 0;
	private denied = 0;

	/** Earns a part of a retry. */
	recordFirstTry(): void {
		this.firstTries++;
		this.tokens = Math.min(maxSavedRetries, this.tokens + retryShare);
	}

	/** Takes one retry; false when none is left. */
	tryTake(): boolean {
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
}
