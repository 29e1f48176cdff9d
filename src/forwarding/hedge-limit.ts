/**
 * Limits second attempts of late calls to a share of the calls of a service, over a sliding window. No clock of its own.
 *
 * There is no fixed part: the shares that all gateways use of their own calls add up to the share of all calls, however many there are
 * and whether or not they know of each other.
 */

/** Counts the calls and second attempts of one service within the window. */
export class HedgeLimit {
	private readonly calls: number[] = [];
	private readonly sent: number[] = [];

	/** @param windowMs - the window, in milliseconds */
	constructor(private readonly windowMs: number) {}

	/** Counts a call. */
	recordCall(nowMs: number): void {
		this.dropExpired(nowMs);
		this.calls.push(nowMs);
	}

	/**
	 * Returns whether another second attempt is allowed.
	 *
	 * @param ratio - second attempts allowed per call
	 */
	allows(ratio: number, nowMs: number): boolean {
		this.dropExpired(nowMs);
		return this.sent.length + 1 <= this.calls.length * ratio;
	}

	/** Counts a second attempt. */
	recordSent(nowMs: number): void {
		this.sent.push(nowMs);
	}

	private dropExpired(nowMs: number): void {
		dropBefore(this.calls, nowMs - this.windowMs);
		dropBefore(this.sent, nowMs - this.windowMs);
	}
}

/**
 * Drops the times before the start of a window.
 *
 * @param times - in ascending order
 */
export function dropBefore(times: number[], fromMs: number): void {
	const firstKept = times.findIndex(time => time >= fromMs);
	times.splice(0, firstKept === -1 ? times.length : firstKept);
}
