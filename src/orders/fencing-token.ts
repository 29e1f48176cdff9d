/** Fencing tokens: ordered by the term of the process first and by the configuration revision second. */
import type {Branded} from '../runtime/branded.ts';
import type {Revision} from '../ids/revision.ts';

/** A fencing token. Engines that check it refuse orders with a lower one. */
export type FencingToken = Branded<number, 'FencingToken'>;

/** Terms count seconds from 2024-01-01, so that a token stays a safe integer until 2041. */
const termEpochMs = Date.UTC(2024, 0, 1);

const msPerSecond = 1000;

/** The number of revisions within one term; 2,900 changes a day use up 2^24 after fifteen years. */
const revisionRange = 2 ** 24;

/**
 * Returns the term of a process: its start in seconds, but higher than every term that the engine has seen.
 *
 * The second condition matters when the clock of a replacement VM is behind its predecessor's. It applies at start only;
 * a process that resumes after a long pause keeps its term.
 *
 * @param startedAtMs - wall-clock start of the process, in milliseconds since 1970
 * @param highestFence - the highest fencing token that the engine has seen when the process starts
 */
export function createTerm(startedAtMs: number, highestFence: number): number {
	const seconds = Math.floor((startedAtMs - termEpochMs) / msPerSecond);
	return Math.max(seconds, Math.floor(highestFence / revisionRange) + 1);
}

/**
 * Creates the fencing token of an order.
 *
 * @param term - the term of the process
 * @param revision - the configuration revision that the order is based on
 */
export function createFencingToken(term: number, revision: Revision): FencingToken {
	return ((term * revisionRange) + (revision % revisionRange)) as FencingToken;
}

/**
 * Returns whether a fencing token was issued by a process with a later term.
 *
 * @param fence - the fencing token that the engine reports
 * @param term - the term of this process
 */
export function hasLaterTerm(fence: number, term: number): boolean {
	return Math.floor(fence / revisionRange) > term;
}
