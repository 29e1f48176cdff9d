/** An instance of the table, and how long it is kept after its entry was missing. */
import type {Instance} from './directory-types.ts';
import {compareRevisions, eraOf, type StoreRevision} from './store-revision.ts';

/**
 * How long an instance is kept after its entry was missing at the end of an outage of the source, in milliseconds.
 *
 * Running instances soon register again. The limit bounds how long an instance that has left is still sent calls, to no longer than a leaving one may be.
 */
export const confirmationTimeoutMs = 1600;

/**
 * How long an instance is kept whose entry the source lacked after it came back from an older copy, in milliseconds. The entry was lost
 * with certainty, and a running instance registers again within two seconds.
 */
export const rewriteTimeoutMs = 2500;

/** An instance, and the revision at which its entry was written. */
export type KnownInstance = {
	readonly instance: Instance;
	readonly revision: StoreRevision;
	/** When a read after an outage first lacked the entry, and the revision of the read. */
	missing?: {readonly sinceMs: number; readonly revision: StoreRevision};
};

/** Returns whether an instance may still run. */
export function mayBeAlive(known: KnownInstance, nowMs: number): boolean {
	return nowMs < timesOutAtMs(known);
}

/** Returns when an unconfirmed instance counts as gone, in milliseconds of the monotonic clock; infinity for any other one. */
export function timesOutAtMs({missing, revision}: KnownInstance): number {
	if (missing === undefined) {
		return Number.POSITIVE_INFINITY;
	}

	return missing.sinceMs + (eraOf(missing.revision) === eraOf(revision) ? confirmationTimeoutMs : rewriteTimeoutMs);
}

/**
 * Returns when the entry of an instance was missing, if it still counts as missing after another entry was learned of. Only an entry that
 * was written after the read that lacked it shows that the instance still runs.
 *
 * @param known - the instance as it was known
 * @param revision - the revision at which the other entry was written
 */
export function missingAfterEntry(known: KnownInstance | undefined, revision: StoreRevision): KnownInstance['missing'] {
	const missing = known?.missing;
	return missing && compareRevisions(missing.revision, revision) > 0 ? missing : undefined;
}
