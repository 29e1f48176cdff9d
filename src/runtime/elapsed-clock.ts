/** A clock for lower bounds of the time at which something happened elsewhere. */

/** Tells the time, and when a message that is read now may have been sent. */
export class ElapsedClock {
	/** @param maxDelayMs - returns how long a message that is read now may have been under way or waited in a socket, in milliseconds */
	constructor(private readonly maxDelayMs: () => number = () => 0) {}

	/** The time, in milliseconds. */
	get nowMs(): number {
		return performance.now();
	}

	/** The earliest time at which a message that is read now was sent, if its sender does not answer a request whose time is known. */
	get sentAfterMs(): number {
		return this.nowMs - this.maxDelayMs();
	}
}
