/** Remembers which instances were removed and when, so that a peer can be told of the removals since a revision. */

import {
	compareRevisions, maxRevision, noStoreRevision, type StoreRevision,
} from './store-revision.ts';

/** Maximum number of removals that are kept. */
const maxRemovals = 2000;

/** Maximum number of removals that are sent with a whole list. */
const maxListedRemovals = 200;

/** The removal of an instance, and the revision at which it was removed. */
export type Removal = {readonly id: string} & StoreRevision;

/** The latest removals, by instance ID, oldest first. */
export class RemovalLog {
	private readonly revisions = new Map<string, StoreRevision>();
	/** Removals up to this revision may be missing. */
	private completeAfter: StoreRevision | undefined;

	/** Starts the log, if it has not started, with the revision of a read of all instances. */
	startAt(revision: StoreRevision): void {
		this.completeAfter ??= revision;
	}

	/** Adds the removal of an instance at a revision. */
	add(id: string, revision: StoreRevision): void {
		this.revisions.delete(id);
		this.revisions.set(id, revision);
		const [oldest] = this.revisions;
		if (oldest && this.revisions.size > maxRemovals) {
			this.revisions.delete(oldest[0]);
			this.completeAfter = maxRevision(this.completeAfter ?? noStoreRevision, oldest[1]);
		}
	}

	/** Forgets the removal of an instance that is listed again. */
	forget(id: string): void {
		this.revisions.delete(id);
	}

	/**
	 * Starts over, after the whole list was taken from a peer. What was removed before is kept for {@link latest}.
	 *
	 * @param revision - the revision of the list
	 */
	restart(revision: StoreRevision): void {
		this.completeAfter = revision;
	}

	/** The latest removals, for a process that may know of an instance from a copy of the source that lists it again. */
	get latest(): Removal[] {
		return [...this.revisions].slice(-maxListedRemovals).map(([id, at]) => ({id, ...at}));
	}

	/** Returns the removals after a revision; undefined if some of them may be missing. */
	since(revision: StoreRevision): Removal[] | undefined {
		if (this.completeAfter === undefined || compareRevisions(revision, this.completeAfter) < 0) {
			return undefined;
		}

		return [...this.revisions].filter(([, at]) => compareRevisions(at, revision) > 0).map(([id, at]) => ({id, ...at}));
	}
}
