/** Weighted fair queueing of waiting calls over workspaces by deficit round robin. */
import type {WorkspaceLimits} from '../configuration/documents.ts';
import {type Prioritized, PriorityQueue} from './priority-queue.ts';

/** The part of a call that the queue reads. */
export type QueuedCall = Prioritized & {readonly workspace: string};

/** A workspace's weight and its limit of concurrent calls. */
export type WorkspaceShare = Pick<WorkspaceLimits, 'weight' | 'max_concurrent'>;

type WorkspaceQueue<Call extends QueuedCall> = {
	readonly workspace: string;
	readonly calls: PriorityQueue<Call>;
	readonly share: WorkspaceShare;
	/** Deficit counter; taking a call costs 1. */
	deficit: number;
};

/** Tolerance for rounding errors in sums of fractional quanta. */
const epsilon = 1e-9;

/**
 * A deficit round robin queue over workspaces.
 *
 * In each round the workspace with the highest weight gets a quantum of 1 and the others a fraction of it, so that calls
 * of a workspace with a high weight are spread out and not taken in one burst.
 */
export class FairQueue<Call extends QueuedCall> {
	/** Workspaces with waiting calls, in round robin order. */
	private readonly queues: Array<WorkspaceQueue<Call>> = [];
	/** Index in `queues` at which the search for the next call starts. */
	private cursor = 0;

	/** @param shareOf - returns the configured share of a workspace */
	constructor(private readonly shareOf: (workspace: string) => WorkspaceShare) {}

	/** Number of waiting calls. */
	get size(): number {
		let size = 0;
		for (const queue of this.queues) {
			size += queue.calls.size;
		}

		return size;
	}

	/** Number of waiting calls by workspace. */
	get lengthByWorkspace(): Record<string, number> {
		return Object.fromEntries(this.queues.map(({workspace, calls}) => [workspace, calls.size]));
	}

	/**
	 * Returns the number of waiting calls of a workspace, and the fraction of all turns that it gets while it has any.
	 *
	 * @param workspace - the workspace, with or without waiting calls
	 */
	workspaceStatus(workspace: string): {waiting: number; fraction: number} {
		const own = this.queues.find(queue => queue.workspace === workspace);
		const {weight} = own?.share ?? this.shareOf(workspace);
		let totalWeight = own ? 0 : weight;
		for (const queue of this.queues) {
			totalWeight += queue.share.weight;
		}

		return {waiting: own?.calls.size ?? 0, fraction: weight / totalWeight};
	}

	/** Adds a call to its workspace's queue. */
	push(call: Call): void {
		let queue = this.queues.find(({workspace}) => workspace === call.workspace);
		if (!queue) {
			queue = {
				workspace: call.workspace, calls: new PriorityQueue(), share: this.shareOf(call.workspace), deficit: 0,
			};
			// A new queue comes last in the current round.
			this.queues.splice(this.cursor, 0, queue);
			this.cursor++;
		}

		queue.calls.push(call);
	}

	/**
	 * Removes and returns the next call.
	 *
	 * @param inFlightOf - returns the calls in flight of a workspace; workspaces at their `max_concurrent` are skipped
	 * @returns undefined when no workspace has a call that may run
	 */
	shift(inFlightOf: (workspace: string) => number): Call | undefined {
		const eligible = this.queues.filter(({workspace, share}) => inFlightOf(workspace) < share.max_concurrent);
		if (eligible.length === 0) {
			return undefined;
		}

		if (!eligible.some(queue => queue.deficit >= 1 - epsilon)) {
			addQuanta(eligible);
		}

		return this.shiftEligible(new Set(eligible));
	}

	/** Gives a turn back to a workspace whose call was taken but did not run. */
	refund(workspace: string): void {
		const queue = this.queues.find(item => item.workspace === workspace);
		if (queue) {
			queue.deficit += 1;
		}
	}

	/**
	 * Removes a call that no longer waits.
	 *
	 * @returns false when the call is not in the queue
	 */
	remove(call: Call): boolean {
		const queue = this.queues.find(({workspace}) => workspace === call.workspace);
		const removed = queue?.calls.remove(call) ?? false;
		if (queue?.calls.size === 0) {
			this.removeQueue(queue);
		}

		return removed;
	}

	/** Takes the next call in round robin order from a workspace that is eligible and has enough deficit. */
	private shiftEligible(eligible: ReadonlySet<WorkspaceQueue<Call>>): Call | undefined {
		for (let step = 0; step < this.queues.length; step++) {
			const index = (this.cursor + step) % this.queues.length;
			const queue = this.queues[index];
			if (queue && eligible.has(queue) && queue.deficit >= 1 - epsilon) {
				this.cursor = index + 1;
				queue.deficit -= 1;
				const call = queue.calls.shift();
				if (queue.calls.size === 0) {
					this.removeQueue(queue);
				}

				return call;
			}
		}

		return undefined;
	}

	/** Removes an empty queue together with its deficit: a workspace saves up no turns while none of its calls waits. */
	private removeQueue(queue: WorkspaceQueue<Call>): void {
		const index = this.queues.indexOf(queue);
		this.queues.splice(index, 1);
		if (index < this.cursor) {
			this.cursor--;
		}
	}
}

/** Adds the quanta of as many whole rounds as it takes until the first queue has enough deficit for a call. */
function addQuanta(queues: ReadonlyArray<WorkspaceQueue<QueuedCall>>): void {
	const maxWeight = Math.max(...queues.map(({share}) => share.weight));
	const rounds = Math.min(...queues.map(({share, deficit}) => Math.ceil(((1 - deficit) * maxWeight / share.weight) - epsilon)));
	for (const queue of queues) {
		queue.deficit += Math.max(1, rounds) * queue.share.weight / maxWeight;
	}
}
