/** Slots of an engine: calls wait by priority, and one whose caller is gone stops waiting. */
import type http from 'node:http';

const rankByPriority: Readonly<Record<string, number | undefined>> = {high: 0, normal: 1, low: 2};

type Waiting = {readonly rank: number; readonly start: (taken: boolean) => void};

/** Gives out slots. */
export class SlotQueue {
	private used = 0;
	private readonly waiting: Waiting[] = [];

	/** @param capacity - slots in all */
	constructor(private readonly capacity: number) {}

	/** How many slots are in use. */
	get running(): number {
		return this.used;
	}

	/** How many calls wait. */
	get queued(): number {
		return this.waiting.length;
	}

	/**
	 * Waits for a slot.
	 *
	 * @param priority - `high`, `normal` or `low`
	 * @param res - the caller's response; its close ends the wait
	 * @returns whether the call has a slot, which {@link free} returns
	 */
	async take(priority: string, res: http.ServerResponse): Promise<boolean> {
		if (this.used < this.capacity) {
			this.used++;
			return true;
		}

		return new Promise<boolean>(resolve => {
			const call: Waiting = {rank: rankByPriority[priority] ?? 1, start: resolve};
			const behind = this.waiting.findIndex(({rank}) => rank > call.rank);
			this.waiting.splice(behind === -1 ? this.waiting.length : behind, 0, call);
			res.once('close', () => {
				const at = this.waiting.indexOf(call);
				if (at !== -1) {
					this.waiting.splice(at, 1);
					resolve(false);
				}
			});
		});
	}

	/** Returns a slot, which goes to the first call that waits. */
	free(): void {
		const next = this.waiting.shift();
		if (next) {
			next.start(true);
		} else {
			this.used--;
		}
	}
}
