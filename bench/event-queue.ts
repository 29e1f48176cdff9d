/** The event queue of the simulations: a binary heap ordered by time. */

/** A scheduled event. `sequence` orders events with equal times. */
export type ModelEvent = {readonly atMs: number; readonly run: () => void; readonly sequence: number};

/** Priority queue of events by time; events with equal times are returned in insertion order. */
export class EventQueue {
	private readonly heap: ModelEvent[] = [];
	private count = 0;

	/**
	 * Adds an event.
	 *
	 * @param atMs - virtual time, in milliseconds
	 * @param run - the action of the event
	 */
	push(atMs: number, run: () => void): void {
		const event = {atMs, run, sequence: this.count++};
		let index = this.heap.length;
		while (index > 0) {
			const parent = (index - 1) >> 1; // eslint-disable-line no-bitwise -- heap index
			if (!isBefore(event, this.heap[parent]!)) {
				break;
			}

			this.heap[index] = this.heap[parent]!;
			index = parent;
		}

		this.heap[index] = event;
	}

	/** Removes and returns the earliest event; undefined if the queue is empty. */
	pop(): ModelEvent | undefined {
		const top = this.heap[0];
		const last = this.heap.pop();
		if (top && last && this.heap.length > 0) {
			this.siftDown(last);
		}

		return top;
	}

	private siftDown(event: ModelEvent): void {
		let index = 0;
		for (;;) {
			let child = (2 * index) + 1;
			if (child >= this.heap.length) {
				break;
			}

			if (child + 1 < this.heap.length && isBefore(this.heap[child + 1]!, this.heap[child]!)) {
				child++;
			}

			if (!isBefore(this.heap[child]!, event)) {
				break;
			}

			this.heap[index] = this.heap[child]!;
			index = child;
		}

		this.heap[index] = event;
	}
}

function isBefore(a: ModelEvent, b: ModelEvent): boolean {
	return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
}
