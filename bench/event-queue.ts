/** Events of the model in the order of their time: a binary heap. */

/** An event. */
export type ModelEvent = {readonly atMs: number; readonly run: () => void; readonly order: number};

/** Holds events until their time comes; events of the same time keep their order. */
export class EventQueue {
	private readonly heap: ModelEvent[] = [];
	private count = 0;

	/**
	 * Adds an event.
	 *
	 * @param atMs - virtual time, in milliseconds
	 * @param run - what happens
	 */
	push(atMs: number, run: () => void): void {
		const event = {atMs, run, order: this.count++};
		let at = this.heap.length;
		while (at > 0) {
			const parent = (at - 1) >> 1; // eslint-disable-line no-bitwise -- heap index
			if (!isBefore(event, this.heap[parent]!)) {
				break;
			}

			this.heap[at] = this.heap[parent]!;
			at = parent;
		}

		this.heap[at] = event;
	}

	/** Takes the next event. */
	pop(): ModelEvent | undefined {
		const top = this.heap[0];
		const last = this.heap.pop();
		if (top && last && this.heap.length > 0) {
			this.sink(last);
		}

		return top;
	}

	private sink(event: ModelEvent): void {
		let at = 0;
		for (;;) {
			let child = (2 * at) + 1;
			if (child >= this.heap.length) {
				break;
			}

			if (child + 1 < this.heap.length && isBefore(this.heap[child + 1]!, this.heap[child]!)) {
				child++;
			}

			if (!isBefore(this.heap[child]!, event)) {
				break;
			}

			this.heap[at] = this.heap[child]!;
			at = child;
		}

		this.heap[at] = event;
	}
}

function isBefore(a: ModelEvent, b: ModelEvent): boolean {
	return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}
