/** A priority queue without starvation for the waiting calls of one workspace. */
import {priorities, type Priority} from '../configuration/documents.ts';

/** Round robin weight of each priority. While calls of all priorities wait, low ones get 1 of 21 turns. */
export const priorityWeights: Readonly<Record<Priority, number>> = {high: 16, normal: 4, low: 1};

/** The part of a call that the queue reads. */
export type Prioritized = {readonly priority: Priority};

/** Smooth weighted round robin over the priorities; first in, first out within a priority. */
export class PriorityQueue<Call extends Prioritized> {
	private readonly queues: Readonly<Record<Priority, Call[]>> = {high: [], normal: [], low: []};
	/** Current weights of the smooth weighted round robin. The priority with the highest one is next. */
	private readonly currentWeights: Record<Priority, number> = {high: 0, normal: 0, low: 0};

	/** Number of waiting calls. */
	get size(): number {
		return this.queues.high.length + this.queues.normal.length + this.queues.low.length;
	}

	/** All waiting calls, by priority. */
	get calls(): Call[] {
		return priorities.flatMap(priority => this.queues[priority]);
	}

	/** Adds a call at the end of its priority's queue. */
	push(call: Call): void {
		this.queues[call.priority].push(call);
	}

	/** Removes and returns the next call; undefined when none waits. */
	shift(): Call | undefined {
		const waiting = priorities.filter(priority => this.queues[priority].length > 0);
		let next: Priority | undefined;
		let totalWeight = 0;
		for (const priority of waiting) {
			totalWeight += priorityWeights[priority];
			this.currentWeights[priority] += priorityWeights[priority];
			if (next === undefined || this.currentWeights[priority] > this.currentWeights[next]) {
				next = priority;
			}
		}

		if (next === undefined) {
			return undefined;
		}

		this.currentWeights[next] -= totalWeight;
		const call = this.queues[next].shift();
		if (this.queues[next].length === 0) {
			this.currentWeights[next] = 0;
		}

		return call;
	}

	/**
	 * Removes a call that no longer waits.
	 *
	 * @returns false when the call is not in the queue
	 */
	remove(call: Call): boolean {
		const queue = this.queues[call.priority];
		const index = queue.indexOf(call);
		if (index === -1) {
			return false;
		}

		queue.splice(index, 1);
		return true;
	}
}
