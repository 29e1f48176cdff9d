/** Tracks how long peers and the origin take to respond, so that timeouts are longer while everything is slow, such as on a busy machine. */

/** The weight of a new wait in the moving average. With quick responses from other sources, one source that stalls every time does not raise it. */
const smoothingFactor = 0.25;

/** The number of average waits that fit into a timeout. A response may take a few times the average. */
const averageWaitsPerTimeout = 4;

/** The maximum slowness; it bounds how long a source that is gone holds a download. */
const maxSlowness = 4;

/** The recent waits of one version's transfer for peers and the origin. */
export class WaitTimes {
	private averageMs = 0;

	/** @param timeoutMs - returns the configured stall timeout, in milliseconds */
	constructor(private readonly timeoutMs: () => number) {}

	/** The factor by which timeouts are extended: 1 while responses are quick. */
	get slowness(): number {
		return Math.min(maxSlowness, Math.max(1, this.averageMs * averageWaitsPerTimeout / this.timeoutMs()));
	}

	/**
	 * Records a wait, also one that ended at the timeout.
	 *
	 * @param ms - the longest time without received data, in milliseconds in which this process could receive some
	 */
	record(ms: number): void {
		this.averageMs += smoothingFactor * (ms - this.averageMs);
	}
}
