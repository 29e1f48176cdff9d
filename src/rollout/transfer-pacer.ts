/** Token bucket rate limiter for one direction of a VM's link. */
import {setTimeout as sleep} from 'node:timers/promises';

/** The default burst: how much unused time may be made up for, in milliseconds. It compensates for inexact timers and short event loop delays. */
const defaultBurstMs = 50;

/** Shorter waits are skipped instead of starting a timer, in milliseconds. */
const shortestWaitMs = 1;

/** Limits the transfer rate by delaying the caller. */
export class TransferPacer {
	/** The total of bytes taken so far. */
	bytes = 0;
	/** The share of the rate that is currently available, from 0 to 1; lowered while transfers slow down live calls. */
	share = 1;
	private freeAtMs = 0;

	/**
	 * @param bytesPerSecond - returns the configured rate
	 * @param burstMs - how much unused time may be made up for, in milliseconds
	 */
	constructor(private readonly bytesPerSecond: () => number, private readonly burstMs = defaultBurstMs) {}

	/** The effective rate, in bytes per second. */
	get rate(): number {
		return this.bytesPerSecond() * this.share;
	}

	/**
	 * Takes bytes from the bucket and waits until the rate allows them.
	 *
	 * @param bytes - the number of bytes
	 */
	async take(bytes: number): Promise<void> {
		const nowMs = performance.now();
		this.bytes += bytes;
		this.freeAtMs = Math.max(this.freeAtMs, nowMs - this.burstMs) + (bytes / this.rate * 1000);
		const waitMs = this.freeAtMs - nowMs;
		if (waitMs >= shortestWaitMs) {
			await sleep(waitMs);
		}
	}
}
