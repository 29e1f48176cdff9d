/** Decides whether a process that is not a watcher reads the configuration service directly. */
import type {RandomSource} from '../runtime/random-source.ts';

/** Time without contact to the service or any peer, after which the service is read directly, in milliseconds. */
export const noContactMs = 6000;

/**
 * Age of the last confirmation from the service, also through peers, after which the service is read directly, in milliseconds.
 *
 * A confirmation spreads through a zone of 519 processes in about seven exchange rounds of 3 s; a watch without changes renews it
 * every 5 s.
 */
export const staleServiceMs = 45_000;

/** Shortest time between two direct reads, in milliseconds; it doubles with each failure. */
export const directReadIntervalMs = 30_000;

/** Longest time between two direct reads while the service is down, in milliseconds. */
export const maxDirectReadIntervalMs = 240_000;

/** The age that stands for "never", in milliseconds. */
export const neverAgeMs = 1_000_000_000;

/** Mean delay before the read of a process without contact, in milliseconds; 3630 processes then make at most 1000 calls per second. */
const noContactDelayMs = 4000;

/** Mean delay before the read of a process that has contact to peers but no recent confirmation, in milliseconds. */
const staleServiceDelayMs = 30_000;

/** Ages of a process's contacts with the service and its peers. */
export type ContactState = {
	/** Time since the last exchange with the service or a peer, in milliseconds. */
	readonly contactAgeMs: number;
	/** Age of the last confirmation from the service, direct or through peers, in milliseconds. */
	readonly serviceAgeMs: number;
	/** Time since the last direct read, in milliseconds. */
	readonly directReadAgeMs: number;
	/** Number of consecutive failed direct reads. */
	readonly failures: number;
};

/** Returns whether to read the service directly. */
export function decideDirectRead(contacts: ContactState): boolean {
	const intervalMs = Math.min(maxDirectReadIntervalMs, directReadIntervalMs * (2 ** contacts.failures));
	const isStale = contacts.contactAgeMs > noContactMs || contacts.serviceAgeMs > staleServiceMs;
	return isStale && contacts.directReadAgeMs >= intervalMs;
}

/** Returns a jittered delay before a direct read, so that many processes don't read at the same time. */
export function directReadDelayMs(contacts: ContactState, random: RandomSource): number {
	return random.jitter(contacts.contactAgeMs > noContactMs ? noContactDelayMs : staleServiceDelayMs);
}
