/** The order of what the source of the directory has held: by era, and within an era by revision. No I/O. */
import {noEra, type StoreEra} from '../ids/store-era.ts';

/** A revision of the source, as it also stands in messages between processes; without an era, it is of {@link noEra}. */
export type StoreRevision = {readonly revision: number; readonly era?: StoreEra | undefined};

/** The revision before the first one. */
export const noStoreRevision: StoreRevision = {revision: 0};

/** Creates a revision, in the form that processes of earlier versions understand if it is of the first era. */
export function createStoreRevision(era: StoreEra, revision: number): StoreRevision {
	return era === noEra ? {revision} : {era, revision};
}

/** Returns the era of a revision. */
export function eraOf({era = noEra}: StoreRevision): StoreEra {
	return era;
}

/** Compares two revisions: negative if `a` is the older one, positive if it is the newer one, 0 if they are the same. */
export function compareRevisions(a: StoreRevision, b: StoreRevision): number {
	return eraOf(a) - eraOf(b) || a.revision - b.revision;
}

/** Returns the newer of two revisions. */
export function maxRevision(a: StoreRevision, b: StoreRevision): StoreRevision {
	return compareRevisions(a, b) < 0 ? b : a;
}

/** How an entry relates to another one of the same key. */
export type EntryOrder = 'newer' | 'notNewer' | 'unclear';

/**
 * Compares the revisions of two entries of one key.
 *
 * A source that comes back lists entries that its copy held, at revisions up to that of the copy. Such an entry may be older than one of
 * an earlier era. It is newer for certain if its revision is higher than that of the other entry, since the source had not given out the
 * higher one yet when it wrote the other. Otherwise it is unclear whether it came with the copy or was written since.
 *
 * @param copyRevisionOf - returns the revision up to which entries of an era may have come with the copy
 */
export function compareEntries(candidate: StoreRevision, known: StoreRevision, copyRevisionOf: (era: StoreEra) => number): EntryOrder {
	if (eraOf(candidate) === eraOf(known)) {
		return candidate.revision > known.revision ? 'newer' : 'notNewer';
	}

	const isCandidateLater = eraOf(candidate) > eraOf(known);
	const [earlier, later] = isCandidateLater ? [known, candidate] : [candidate, known];
	if (later.revision > copyRevisionOf(eraOf(later)) || later.revision > earlier.revision) {
		return isCandidateLater ? 'newer' : 'notNewer';
	}

	return 'unclear';
}
