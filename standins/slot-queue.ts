/** The concurrency limit of an engine: calls wait for a slot in order of priority, and leave the queue when their caller disconnects. */
import type http from 'node:http';

const rankByPriority: Readonly<Record<string, number | undefined>> = {high: 0, normal: 1, low: 2};

type QueuedCall = {readonly rank: number; readonly settle: (isAcquired: boolean) => void};

/** A semaphore with a priority queue. */
export class SlotQueue {
	private usedSlots = 0;
	private readonly queuedCalls: QueuedCall[] = [];

	/** @param capacity - number of calls that may run concurrently */
	constructor(private readonly capacity: number) {}

	/** Number of slots in use. */
	get running(): number {
		return this.usedSlots;
	}

	/** Number of calls that wait for a slot. */
	get queued(): number {
		return this.queuedCalls.length;
	}

	/**
	 * Waits for a slot, which the caller must {@link release} after the call.
	 *
	 * @param priority - `high`, `normal` or `low`; any other value counts as `normal`
	 * @param res - the response to the caller; when it is closed, the wait ends
	 * @returns false if the response was closed while the call waited
	 */
	async acquire(priority: string, res: http.ServerResponse): Promise<boolean> {
		if (this.usedSlots < this.capacity) {
			this.usedSlots++;
			return true;
		}

		return new Promise<boolean>(resolve => {
			const call: QueuedCall = {rank: rankByPriority[priority] ?? 1, settle: resolve};
			const insertAt = this.queuedCalls.findIndex(({rank}) => rank > call.rank);
			this.queuedCalls.splice(insertAt === -1 ? this.queuedCalls.length : insertAt, 0, call);
			res.once('close', () => {
				const index = this.queuedCalls.indexOf(call);
				if (index !== -1) {
					this.queuedCalls.splice(index, 1);
					resolve(false);
				}
			});
		});
	}

	/** Releases a slot, or passes it on to the first call in the queue. */
	release(): void {
		const next = this.queuedCalls.shift();
		if (next) {
			next.settle(true);
		} else {
			this.usedSlots--;
		}
	}
}
