/** Slots of an engine: calls wait by priority, and one whose caller is gone stops waiting. */
import type http from 'node:http';

const rankByPriority: Readonly<Record<string, number | undefined>> = {high: 0, normal: 1, low: 2};

type QueuedCall = {readonly rank: number; readonly settle: (taken: boolean) => void};

/** Gives out slots. */
export class SlotQueue {
	private usedSlots = 0;
	private readonly queuedCalls: QueuedCall[] = [];

	/** @param capacity - slots in all */
	constructor(private readonly capacity: number) {}

	/** How many slots are in use. */
	get running(): number {
		return this.usedSlots;
	}

	/** How many calls wait. */
	get queued(): number {
		return this.queuedCalls.length;
	}

	/**
	 * Waits for a slot.
	 *
	 * @param priority - `high`, `normal` or `low`
	 * @param res - the caller's response; its close ends the wait
	 * @returns whether the call has a slot, which {@link release} returns
	 */
	async acquire(priority: string, res: http.ServerResponse): Promise<boolean> {
		if (this.usedSlots < this.capacity) {
			this.usedSlots++;
			return true;
		}

		return new Promise<boolean>(resolve => {
			const call: QueuedCall = {rank: rankByPriority[priority] ?? 1, settle: resolve};
			const behind = this.queuedCalls.findIndex(({rank}) => rank > call.rank);
			this.queuedCalls.splice(behind === -1 ? this.queuedCalls.length : behind, 0, call);
			res.once('close', () => {
				const at = this.queuedCalls.indexOf(call);
				if (at !== -1) {
					this.queuedCalls.splice(at, 1);
					resolve(false);
				}
			});
		});
	}

	/** Returns a slot, which goes to the first call that waits. */
	release(): void {
		const next = this.queuedCalls.shift();
		if (next) {
			next.settle(true);
		} else {
			this.usedSlots--;
		}
	}
}
