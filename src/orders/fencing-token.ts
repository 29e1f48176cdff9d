/** Fencing numbers: later processes outrank earlier ones, later revisions outrank earlier ones. */
import type {Branded} from '../runtime/branded.ts';
import type {Revision} from '../ids/revision.ts';

/** A fencing number; engines that check it refuse any lower one. */
export type FencingToken = Branded<number, 'FencingToken'>;

/** Terms count seconds from 2024-01-01, so that a fence stays a safe integer until 2041. */
const epochMs = Date.UTC(2024, 0, 1);

const msPerSecond = 1000;

/** Room for revisions within one term: 2,900 changes a day fill 2^24 after fifteen years. */
const revisionRange = 2 ** 24;

/**
 * Returns the term of a process: its start in seconds, but above every term that the engine has seen.
 *
 * The second part matters when the clock of a replaced VM is behind its predecessor's. It applies at start only;
 * a process that wakes up late keeps the term that it started with.
 *
 * @param startedAtMs - wall-clock start of the process, in milliseconds since 1970
 * @param highestSeen - the engine's highest fencing number at the start of the process
 */
export function createTerm(startedAtMs: number, highestSeen: number): number {
	const seconds = Math.floor((startedAtMs - epochMs) / msPerSecond);
	return Math.max(seconds, Math.floor(highestSeen / revisionRange) + 1);
}

/**
 * Creates the fencing number of an order.
 *
 * @param term - the term of the process
 * @param revision - the configuration revision that the order follows
 */
export function createFencingToken(term: number, revision: Revision): FencingToken {
	return ((term * revisionRange) + (revision % revisionRange)) as FencingToken;
}

/**
 * Tells whether a fencing number was given by a process with a later term.
 *
 * @param fence - a fencing number that the engine reports
 * @param term - the term of this process
 */
export function hasLaterTerm(fence: number, term: number): boolean {
	return Math.floor(fence / revisionRange) > term;
}
