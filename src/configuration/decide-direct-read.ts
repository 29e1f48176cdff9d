/** Decides whether a process that does not watch reads the configuration service itself. */
import type {RandomSource} from '../runtime/random-source.ts';

/** Time without any contact, neither with the service nor with a peer, after which the service is read, in milliseconds. */
export const noContactMs = 6000;

/**
 * Age of the last word from the service, through any number of peers, after which the service is read, in milliseconds.
 *
 * A word crosses a zone of 519 processes in about seven exchange rounds of 3 s, and a quiet watch renews it every 5 s.
 */
export const staleServiceMs = 45_000;

/** Shortest time between two direct reads, in milliseconds; it doubles with each failure. */
export const directReadIntervalMs = 30_000;

/** Longest time between two direct reads while the service is down, in milliseconds. */
export const maxDirectReadIntervalMs = 240_000;

/** Stands for the age of what never happened, in milliseconds. */
export const neverAgeMs = 1_000_000_000;

/** Mean delay of the read of a process without contact, in milliseconds: 3630 processes make at most 1000 calls per second. */
const noContactDelayMs = 4000;

/** Mean delay of the read of a process with peers but an old word, in milliseconds. */
const oldWordDelayMs = 30_000;

/** What a process knows of its contacts. */
export type ContactState = {
	/** Time since the last exchange with the service or a peer, in milliseconds. */
	readonly contactAgeMs: number;
	/** Age of the last word from the service, in milliseconds. */
	readonly serviceAgeMs: number;
	/** Time since the last direct read, in milliseconds. */
	readonly directReadAgeMs: number;
	/** Direct reads that failed in a row. */
	readonly failures: number;
};

/**
 * Tells whether to read the service directly.
 *
 * @param contacts - what the process knows of its contacts
 */
export function decideDirectRead(contacts: ContactState): boolean {
	const intervalMs = Math.min(maxDirectReadIntervalMs, directReadIntervalMs * (2 ** contacts.failures));
	const isLost = contacts.contactAgeMs > noContactMs || contacts.serviceAgeMs > staleServiceMs;
	return isLost && contacts.directReadAgeMs >= intervalMs;
}

/**
 * Draws how long to wait before a direct read, so that many processes don't read at once.
 *
 * @param contacts - what the process knows of its contacts
 * @param random - draws the jitter
 */
export function directReadDelayMs(contacts: ContactState, random: RandomSource): number {
	return random.jitter(contacts.contactAgeMs > noContactMs ? noContactDelayMs : oldWordDelayMs);
}
