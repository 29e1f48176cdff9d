/**
 * Keeps how long work takes on the VM of each instance at this moment, as the instances report it. No I/O, no clock.
 *
 * Addresses VMs that are slow for fractions of a second, such as those that share a machine with others. The pace changes many times a
 * second, so that a report counts less the older it is.
 */

/** How long work takes, 1 is as usual and 2 twice as long, and how long ago the instance said so. */
export type PaceReport = {readonly pace: number; readonly ageMs: number};

/** The age from which a report counts for nothing, in milliseconds. */
export const paceTtlMs = 400;

/** Bounds of a pace that is used. */
const paceBounds = {min: 0.25, max: 8};

/** The expected pace from which an instance is counted as slow. */
const slowPace = 1.5;

type KnownPace = {readonly pace: number; readonly atMs: number};

/** What is known of one instance. */
type Paces = {
	/** From a response to a call of this gateway. */
	own: KnownPace | undefined;
	/** The newest report, from whomever. */
	newest: KnownPace;
};

/** Holds the newest pace by instance ID. */
export class PaceRecords {
	private readonly paces = new Map<string, Paces>();

	/**
	 * Records what an instance said in a response to this gateway.
	 *
	 * @param id - the instance ID
	 * @param nowMs - the time, in milliseconds
	 */
	recordOwn(id: string, pace: number, nowMs: number): void {
		const own = {pace: Math.min(paceBounds.max, Math.max(paceBounds.min, pace)), atMs: nowMs};
		this.paces.set(id, {own, newest: own});
	}

	/**
	 * Records what an instance said to another gateway, unless something newer is known.
	 *
	 * @param id - the instance ID
	 * @param nowMs - the time, in milliseconds
	 */
	recordTold(id: string, {pace, ageMs}: PaceReport, nowMs: number): void {
		const known = this.paces.get(id);
		const told = {pace: Math.min(paceBounds.max, Math.max(paceBounds.min, pace)), atMs: nowMs - ageMs};
		if (!known || told.atMs > known.newest.atMs) {
			this.paces.set(id, {own: known?.own, newest: told});
		}
	}

	/**
	 * Returns the pace to expect of an instance: the reported one while it is new, and closer to 1 the older it is.
	 *
	 * @param id - the instance ID
	 * @param nowMs - the time, in milliseconds
	 */
	paceAt(id: string, nowMs: number): number {
		const newest = this.paces.get(id)?.newest;
		return newest ? 1 + ((newest.pace - 1) * Math.max(0, 1 - ((nowMs - newest.atMs) / paceTtlMs))) : 1;
	}

	/**
	 * Returns the number of instances that are slow.
	 *
	 * @param nowMs - the time, in milliseconds
	 */
	countSlow(nowMs: number): number {
		return [...this.paces.keys()].filter(id => this.paceAt(id, nowMs) >= slowPace).length;
	}

	/**
	 * Returns what an instance said to this gateway if that still counts. What others told is not passed on, since its age would grow too
	 * slowly on its way.
	 *
	 * @param id - the instance ID
	 * @param nowMs - the time, in milliseconds
	 */
	ownReport(id: string, nowMs: number): PaceReport | undefined {
		const own = this.paces.get(id)?.own;
		return own && nowMs - own.atMs < paceTtlMs ? {pace: own.pace, ageMs: nowMs - own.atMs} : undefined;
	}

	/**
	 * Discards what is known of other instances.
	 *
	 * @param present - IDs of the instances to keep
	 */
	retainOnly(present: ReadonlySet<string>): void {
		for (const id of this.paces.keys()) {
			if (!present.has(id)) {
				this.paces.delete(id);
			}
		}
	}
}
