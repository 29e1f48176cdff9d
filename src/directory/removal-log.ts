/** Remembers which instances were removed and when, so that a peer can be told of the removals since a revision. */

/** Maximum number of removals that are kept. */
const maxRemovals = 2000;

/** The latest removals, by instance ID, oldest first. */
export class RemovalLog {
	private readonly revisions = new Map<string, number>();
	/** Removals up to this revision may be missing. */
	private completeAfter: number | undefined;

	/** Starts the log, if it has not started, with the revision of a read of all instances. */
	startAt(revision: number): void {
		this.completeAfter ??= revision;
	}

	/** Adds the removal of an instance at a revision. */
	add(id: string, revision: number): void {
		this.revisions.delete(id);
		this.revisions.set(id, revision);
		const [oldest] = this.revisions;
		if (oldest && this.revisions.size > maxRemovals) {
			this.revisions.delete(oldest[0]);
			this.completeAfter = Math.max(this.completeAfter ?? 0, oldest[1]);
		}
	}

	/** Forgets the removal of an instance that is listed again. */
	forget(id: string): void {
		this.revisions.delete(id);
	}

	/**
	 * Starts over, after the whole list was taken from a peer.
	 *
	 * @param revision - the revision of the list
	 */
	restart(revision: number): void {
		this.revisions.clear();
		this.completeAfter = revision;
	}

	/** Returns the removals after a revision; undefined if some of them may be missing. */
	since(revision: number): Array<{readonly id: string; readonly revision: number}> | undefined {
		if (this.completeAfter === undefined || revision < this.completeAfter) {
			return undefined;
		}

		return [...this.revisions].filter(([, at]) => at > revision).map(([id, at]) => ({id, revision: at}));
	}
}
