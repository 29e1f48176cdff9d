/** The number of calls that one entry keeps in flight at a service: grows slowly and shrinks at signs of overload. */

/** How much one answered round of calls raises the limit. */
export const increasePerRound = 1;

/** How much one refusal lowers the limit. With the increase it settles where one call of a round is refused. */
export const decreasePerRefusal = 1;

/** The limit until a capacity is known; these calls wait for a first upstream and load none. */
export const unknownCapacityLimit = 64;

/** The limit's ceiling as a multiple of the capacity that this entry can reach, so that an idle entry may use most of it. */
export const ceilingFactor = 1.25;

/** The limit is only raised while at least this share of it is in use; an unused limit proves nothing. */
const usedShare = 0.8;

/**
 * An additive-increase, multiplicative-decrease limit.
 *
 * Entries share agents without talking to each other. Equal increases and proportional decreases bring their limits
 * towards equal shares.
 */
export class ConcurrencyLimit {
	private value: number | undefined;
	private ceiling = 1;
	/** This entry's part of the capacity at the last look. */
	private share = 1;

	/** How many calls may be in flight now: a whole number of at least 1. */
	get current(): number {
		return this.value === undefined ? unknownCapacityLimit : Math.max(1, Math.floor(Math.min(this.value, this.ceiling)));
	}

	/**
	 * Sets what the reports say. Without a usable upstream the last limit stays: calls for a service that is gone or leaving
	 * must be answered as such, and not wait as if it were overloaded.
	 *
	 * @param capacity - calls that all reachable upstreams can run at once; 0 when none is usable
	 * @param entries - entries that share these upstreams, this one included
	 */
	setCapacity(capacity: number, entries: number): void {
		if (capacity <= 0) {
			// The last upstream is leaving or away. Calls with a ticket still belong to it, so the limit stays as it was.
			return;
		}

		this.ceiling = Math.max(1, capacity * ceilingFactor);
		const share = capacity / Math.max(1, entries);
		// Upstreams that come or go change the limit in proportion; steps of one call would take minutes with long calls.
		this.value = Math.max(1, this.value === undefined ? share : this.value * share / this.share);
		this.share = share;
	}

	/**
	 * Records a call that was answered.
	 *
	 * @param inFlight - calls in flight, this one included
	 */
	recordAnswer(inFlight: number): void {
		if (this.value !== undefined && inFlight >= this.current * usedShare) {
			this.value = Math.min(this.ceiling, this.value + (increasePerRound / this.value));
		}
	}

	/**
	 * Records a sign of overload: an agent's refusal.
	 *
	 * A refusal is first of all a crowded agent and no crowded service; the retry usually finds a free one. So one refusal
	 * lowers the limit by one call only. The refusals of an entry are in proportion to its calls, and so is its decrease.
	 */
	recordOverload(): void {
		if (this.value !== undefined) {
			this.value = Math.max(1, Math.min(this.value, this.ceiling) - decreasePerRefusal);
		}
	}
}
