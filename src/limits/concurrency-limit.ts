/** Adaptive concurrency limit: how many calls of a service one entry keeps in flight. */

/** Increase of the limit per round, where a round is as many answered calls as the limit allows in flight. */
export const increasePerRound = 1;

/** Decrease of the limit per refusal. With the increase, the limit settles where one call of each round is refused. */
export const decreasePerRefusal = 1;

/** The limit before a capacity is known. These calls wait for the first upstream and put no load on any. */
export const initialLimit = 64;

/** Upper bound of the limit as a multiple of the reachable capacity; above an entry's share, so that one entry can use most of it. */
export const maxLimitFactor = 1.25;

/** The limit grows only while at least this fraction is in use; an unused limit does not show that more calls would fit. */
const minUsedFraction = 0.8;

/**
 * An additive-increase, multiplicative-decrease (AIMD) limit.
 *
 * Entries share agents without coordination. All entries increase their limits at the same rate and decrease them in
 * proportion to their calls, so the limits converge to equal shares.
 */
export class ConcurrencyLimit {
	private limit: number | undefined;
	private maxLimit = 1;
	/** This entry's share of the capacity when the capacity was last set. */
	private capacityShare = 1;

	/** Number of calls that may be in flight now: an integer of at least 1. */
	get current(): number {
		return this.limit === undefined ? initialLimit : Math.max(1, Math.floor(Math.min(this.limit, this.maxLimit)));
	}

	/**
	 * Updates the limit from the reported capacity. Without a usable upstream the limit stays unchanged: calls of a service
	 * whose upstreams have left or are leaving must get that answer, and not wait as if the service were overloaded.
	 *
	 * @param capacity - calls that all reachable upstreams can run at once; 0 when none is usable
	 * @param entries - number of entries that share these upstreams, including this one
	 */
	setCapacity(capacity: number, entries: number): void {
		if (capacity <= 0) {
			// The last upstream is draining or unreachable. Calls with a ticket are still bound to it, so the limit stays.
			return;
		}

		this.maxLimit = Math.max(1, capacity * maxLimitFactor);
		const share = capacity / Math.max(1, entries);
		// The limit scales with the capacity when upstreams come or go; with long calls, steps of one call would take minutes.
		this.limit = Math.max(1, this.limit === undefined ? share : this.limit * share / this.capacityShare);
		this.capacityShare = share;
	}

	/**
	 * Raises the limit after an answered call, if most of the limit is in use.
	 *
	 * @param inFlight - calls in flight, including the answered one
	 */
	recordAnswer(inFlight: number): void {
		if (this.limit !== undefined && inFlight >= this.current * minUsedFraction) {
			this.limit = Math.min(this.maxLimit, this.limit + (increasePerRound / this.limit));
		}
	}

	/**
	 * Lowers the limit after an agent refused a call as overloaded.
	 *
	 * A refusal shows that one agent is full, not the whole service, and the retry usually finds an agent with free capacity.
	 * So a refusal lowers the limit by one call only. An entry gets refusals in proportion to its calls, so its total
	 * decrease is proportional too.
	 */
	recordOverload(): void {
		if (this.limit !== undefined) {
			this.limit = Math.max(1, Math.min(this.limit, this.maxLimit) - decreasePerRefusal);
		}
	}
}
