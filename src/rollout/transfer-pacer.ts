/** Token bucket for one direction of a VM's link. */
import {setTimeout as sleep} from 'node:timers/promises';

/** Unused rate that may be caught up on, in milliseconds; covers timers and short pauses of the event loop. */
const defaultBurstMs = 50;

/** Waits shorter than this are not worth a timer, in milliseconds. */
const shortestWaitMs = 1;

/** Spreads bytes over time. */
export class TransferPacer {
	/** Bytes taken since the start. */
	bytes = 0;
	/** Share of the rate that may be used now, from 0 to 1; live calls lower it. */
	share = 1;
	private freeAtMs = 0;

	/**
	 * @param bytesPerSecond - returns the rate that the settings allow now
	 * @param burstMs - unused rate that may be caught up on, in milliseconds
	 */
	constructor(private readonly bytesPerSecond: () => number, private readonly burstMs = defaultBurstMs) {}

	/** The rate in force, in bytes per second. */
	get rate(): number {
		return this.bytesPerSecond() * this.share;
	}

	/**
	 * Waits until bytes fit into the rate.
	 *
	 * @param bytes - how many
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
