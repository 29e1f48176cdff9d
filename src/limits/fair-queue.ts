/** Waiting calls of all workspaces, taken by deficit round robin in proportion to the workspaces' weights. */
import type {WorkspaceLimits} from '../configuration/documents.ts';
import {type Prioritized, PriorityQueue} from './priority-queue.ts';

/** What the queue needs to know of a call. */
export type FairCall = Prioritized & {readonly workspace: string};

/** A workspace's share and bound. */
export type Share = Pick<WorkspaceLimits, 'weight' | 'max_concurrent'>;

type Line<Call extends FairCall> = {
	readonly workspace: string;
	readonly queue: PriorityQueue<Call>;
	readonly share: Share;
	/** Turns saved up; a turn costs 1. */
	deficit: number;
};

/** Sums of fractions of turns are off by rounding errors. */
const epsilon = 1e-9;

/**
 * Deficit round robin. One round gives the heaviest waiting workspace one turn and the others their fraction of it, so
 * that a heavy workspace gets its turns spread out and not in one burst.
 */
export class FairQueue<Call extends FairCall> {
	private readonly lines: Array<Line<Call>> = [];
	private cursor = 0;

	/** @param shareOf - the configured share of a workspace */
	constructor(private readonly shareOf: (workspace: string) => Share) {}

	/** How many calls wait. */
	get size(): number {
		let size = 0;
		for (const line of this.lines) {
			size += line.queue.size;
		}

		return size;
	}

	/** How many calls wait by workspace. */
	get lengths(): Record<string, number> {
		return Object.fromEntries(this.lines.map(({workspace, queue}) => [workspace, queue.size]));
	}

	/**
	 * Returns how many calls of a workspace wait, and its fraction of all turns while it waits.
	 *
	 * @param workspace - the workspace
	 */
	standing(workspace: string): {waiting: number; fraction: number} {
		const own = this.lines.find(line => line.workspace === workspace);
		const {weight} = own?.share ?? this.shareOf(workspace);
		let total = own ? 0 : weight;
		for (const line of this.lines) {
			total += line.share.weight;
		}

		return {waiting: own?.queue.size ?? 0, fraction: weight / total};
	}

	/** @param call - waits from now on */
	push(call: Call): void {
		let line = this.lines.find(({workspace}) => workspace === call.workspace);
		if (!line) {
			line = {
				workspace: call.workspace, queue: new PriorityQueue(), share: this.shareOf(call.workspace), deficit: 0,
			};
			// A new line is last in the current round.
			this.lines.splice(this.cursor, 0, line);
			this.cursor++;
		}

		line.queue.push(call);
	}

	/**
	 * Takes the next call.
	 *
	 * @param inFlightOf - calls in flight of a workspace; one at its bound is passed over
	 */
	shift(inFlightOf: (workspace: string) => number): Call | undefined {
		const eligible = this.lines.filter(({workspace, share}) => inFlightOf(workspace) < share.max_concurrent);
		if (eligible.length === 0) {
			return undefined;
		}

		if (!eligible.some(line => line.deficit >= 1 - epsilon)) {
			giveRounds(eligible);
		}

		return this.takeTurn(new Set(eligible));
	}

	/**
	 * Gives a turn back that was taken by a call which did not use it.
	 *
	 * @param workspace - the call's workspace
	 */
	refund(workspace: string): void {
		const line = this.lines.find(item => item.workspace === workspace);
		if (line) {
			line.deficit += 1;
		}
	}

	/**
	 * Removes a call that no longer waits.
	 *
	 * @param call - the call
	 * @returns false when it was not here
	 */
	remove(call: Call): boolean {
		const line = this.lines.find(({workspace}) => workspace === call.workspace);
		const removed = line?.queue.remove(call) ?? false;
		if (line?.queue.size === 0) {
			this.drop(line);
		}

		return removed;
	}

	private takeTurn(eligible: ReadonlySet<Line<Call>>): Call | undefined {
		for (let step = 0; step < this.lines.length; step++) {
			const at = (this.cursor + step) % this.lines.length;
			const line = this.lines[at];
			if (line && eligible.has(line) && line.deficit >= 1 - epsilon) {
				this.cursor = at + 1;
				line.deficit -= 1;
				const call = line.queue.shift();
				if (line.queue.size === 0) {
					this.drop(line);
				}

				return call;
			}
		}

		return undefined;
	}

	/** An empty line is forgotten with its deficit: turns are not saved up while nothing waits. */
	private drop(line: Line<Call>): void {
		const at = this.lines.indexOf(line);
		this.lines.splice(at, 1);
		if (at < this.cursor) {
			this.cursor--;
		}
	}
}

/** Gives as many whole rounds as the first line needs to reach a turn. */
function giveRounds(lines: ReadonlyArray<Line<FairCall>>): void {
	const heaviest = Math.max(...lines.map(({share}) => share.weight));
	const rounds = Math.min(...lines.map(({share, deficit}) => Math.ceil(((1 - deficit) * heaviest / share.weight) - epsilon)));
	for (const line of lines) {
		line.deficit += Math.max(1, rounds) * line.share.weight / heaviest;
	}
}
