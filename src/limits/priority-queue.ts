/** Waiting calls of one workspace: more turns for urgent calls, and some for every priority that waits. */
import {priorities, type Priority} from '../configuration/documents.ts';

/** Turns by priority while all priorities wait: low calls get one turn in 21. */
export const priorityTurns: Readonly<Record<Priority, number>> = {high: 16, normal: 4, low: 1};

/** What the queue needs to know of a call. */
export type Prioritized = {readonly priority: Priority};

/** Smooth weighted round robin over the priorities, first in first out inside each. */
export class PriorityQueue<Call extends Prioritized> {
	private readonly lines: Readonly<Record<Priority, Call[]>> = {high: [], normal: [], low: []};
	private readonly credit: Record<Priority, number> = {high: 0, normal: 0, low: 0};

	/** How many calls wait. */
	get size(): number {
		return this.lines.high.length + this.lines.normal.length + this.lines.low.length;
	}

	/** All waiting calls. */
	get calls(): Call[] {
		return priorities.flatMap(priority => this.lines[priority]);
	}

	/** @param call - waits from now on */
	push(call: Call): void {
		this.lines[call.priority].push(call);
	}

	/** Takes the next call. */
	shift(): Call | undefined {
		const waiting = priorities.filter(priority => this.lines[priority].length > 0);
		let best: Priority | undefined;
		let turns = 0;
		for (const priority of waiting) {
			turns += priorityTurns[priority];
			this.credit[priority] += priorityTurns[priority];
			if (best === undefined || this.credit[priority] > this.credit[best]) {
				best = priority;
			}
		}

		if (best === undefined) {
			return undefined;
		}

		this.credit[best] -= turns;
		const call = this.lines[best].shift();
		if (this.lines[best].length === 0) {
			this.credit[best] = 0;
		}

		return call;
	}

	/**
	 * Removes a call that no longer waits.
	 *
	 * @param call - the call
	 * @returns false when it was not here
	 */
	remove(call: Call): boolean {
		const line = this.lines[call.priority];
		const at = line.indexOf(call);
		if (at === -1) {
			return false;
		}

		line.splice(at, 1);
		return true;
	}
}
