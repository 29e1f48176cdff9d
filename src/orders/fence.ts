/** Fencing numbers: later processes outrank earlier ones, later revisions outrank earlier ones. */
import type {Branded} from '../runtime/branded.ts';
import type {Revision} from '../ids/revision.ts';

/** A fencing number; engines that check it refuse any lower one. */
export type Fence = Branded<number, 'Fence'>;

/** Incarnations count seconds from 2024-01-01, so that a fence stays a safe integer until 2040. */
const epochMs = Date.UTC(2024, 0, 1);

/** Room for revisions within one incarnation: 2,900 changes a day fill 2^24 after fifteen years. */
const revisionRange = 2 ** 24;

/**
 * Creates the fencing number of an order.
 *
 * @param startedAtMs - wall-clock start of the process, in milliseconds since 1970
 * @param revision - the configuration revision that the order follows
 */
export function createFence(startedAtMs: number, revision: Revision): Fence {
	const seconds = Math.floor((startedAtMs - epochMs) / 1000);
	return ((seconds * revisionRange) + (revision % revisionRange)) as Fence;
}
