/**
 * The zones that operators evacuate: no call may start at their instances.
 *
 * An evacuation begins and ends at a revision of the source. Processes pass both on with their revisions, so that the later one wins in
 * whatever order they arrive, and that it is also in force where the source is out of reach.
 */
import {noEra, type StoreEra} from '../ids/store-era.ts';
import type {Logger} from '../runtime/logger.ts';
import {Confirmation} from './confirmation.ts';
import type {DirectoryChanges} from './directory-types.ts';
import {
	compareRevisions, createStoreRevision, eraOf, maxRevision, noStoreRevision, type StoreRevision,
} from './store-revision.ts';

/** How long an evacuation is kept that the source lacks after it came back from an older copy, in milliseconds; operators publish it again. */
const republishMs = 5000;

/** Number of zones whose ended evacuations are kept. */
const maxEnded = 64;

/** What is known of one zone. */
type Entry = {
	readonly isEvacuated: boolean;
	/** The revision at which the evacuation began or ended, or of the read that no longer had it. */
	readonly revision: StoreRevision;
	/** When this or another process learned of it, in milliseconds of the monotonic clock. */
	readonly atMs: number;
};

/** Where a change was learned from. */
type Origin = 'source' | 'peer';

/** The state of one zone in the form that processes send to each other. */
export type SharedZone = StoreRevision & {readonly zone: string; readonly isEvacuated: boolean; readonly ageMs: number};

/** All evacuations, and the revision up to which they are complete. */
export type SharedEvacuations = StoreRevision & {readonly zones: readonly SharedZone[]};

/** The part that placement needs. */
export type EvacuationView = Pick<Evacuations, 'evacuatedSinceMs'>;

/** Keeps the evacuated zones, and those whose evacuation has ended. */
export class Evacuations {
	/** Increases with each change of a zone. */
	changes = 0;
	/** Whether calls wait until the evacuations are confirmed. */
	readonly confirmation = new Confirmation();
	private completeUntil: StoreRevision | undefined;
	private readonly entries = new Map<string, Entry>();
	/** The zones whose evacuations the source lacks after it came back, by the era of the evacuation. */
	private readonly awaited = new Map<string, StoreEra>();

	/**
	 * @param log - logs changes
	 * @param onLateEnd - called after an evacuation has ended because it was not published again in time
	 */
	constructor(private readonly log: Logger, private readonly onLateEnd: () => void = () => undefined) {}

	/** Whether all evacuations up to some revision are known; not before a full read of the source or an answer of a process that knows them. */
	get isKnown(): boolean {
		return this.completeUntil !== undefined;
	}

	/** The revision of the last change, 0 if there was none; undefined while they are not known. */
	get lastChange(): StoreRevision | undefined {
		if (!this.isKnown) {
			return undefined;
		}

		let last = noStoreRevision;
		for (const {revision} of this.entries.values()) {
			last = maxRevision(last, revision);
		}

		return last;
	}

	/** The evacuated zones. */
	get zones(): string[] {
		return [...this.entries].filter(([, {isEvacuated}]) => isEvacuated).map(([zone]) => zone);
	}

	/** The zones that are or were evacuated. */
	get described(): SharedZone[] {
		const nowMs = performance.now();
		return [...this.entries].map(([zone, {isEvacuated, revision, atMs}]) => ({
			zone, isEvacuated, ...revision, ageMs: Math.max(0, Math.round(nowMs - atMs)),
		}));
	}

	/** All evacuations in the form that is sent to other processes; undefined while they are not known. */
	get shareable(): SharedEvacuations | undefined {
		return this.completeUntil === undefined ? undefined : {...this.completeUntil, zones: this.described};
	}

	/** Returns whether a zone is evacuated. */
	isEvacuated(zone: string): boolean {
		return this.entries.get(zone)?.isEvacuated === true;
	}

	/** Returns when it was learned that a zone is evacuated, in milliseconds of the monotonic clock; undefined if it is not. */
	evacuatedSinceMs(zone: string): number | undefined {
		const entry = this.entries.get(zone);
		return entry?.isEvacuated ? entry.atMs : undefined;
	}

	/** Returns when it was learned that the last evacuation of a zone ended, in milliseconds of the monotonic clock; undefined if there was none or it lasts. */
	endedAtMs(zone: string): number | undefined {
		const entry = this.entries.get(zone);
		return entry && !entry.isEvacuated ? entry.atMs : undefined;
	}

	/**
	 * Returns whether another process knows of a change that this one does not know.
	 *
	 * @param theirLastChange - as in {@link lastChange}
	 */
	lacks(theirLastChange: StoreRevision): boolean {
		return this.completeUntil === undefined || isLater(theirLastChange, this.completeUntil);
	}

	/** Records that the source has an evacuation of a zone, or has removed it. */
	record(zone: string, isEvacuated: boolean, revision: StoreRevision): void {
		this.put(zone, {isEvacuated, revision, atMs: performance.now()}, 'source');
	}

	/**
	 * Records that changes of the source are complete up to their revision. Evacuations that a full read lacks have ended.
	 *
	 * @param changes - the changes, which are recorded one by one with {@link record}
	 * @param isFullRead - whether they are all entries of the source
	 */
	recordComplete({revision: number, era, changes}: DirectoryChanges, isFullRead: boolean): void {
		const revision = createStoreRevision(era ?? noEra, number);
		if (isFullRead) {
			const present = new Set(changes.flatMap(({change}) => (change.kind === 'evacuation' ? [change.zone] : [])));
			this.endMissing(present, revision, {atMs: performance.now(), origin: 'source'});
		}

		this.advance(revision, 'source');
	}

	/**
	 * Merges what another process knows.
	 *
	 * @param createdMs - the earliest time at which it may have created the message, in milliseconds of the monotonic clock
	 */
	merge({zones, ...complete}: SharedEvacuations, createdMs: number): void {
		const revision = createStoreRevision(eraOf(complete), complete.revision);
		for (const {zone, isEvacuated, ageMs, ...changed} of zones) {
			this.put(zone, {isEvacuated, revision: createStoreRevision(eraOf(changed), changed.revision), atMs: createdMs - ageMs}, 'peer');
		}

		this.endMissing(new Set(zones.map(({zone}) => zone)), revision, {atMs: createdMs, origin: 'peer'});
		this.advance(revision, 'peer');
	}

	/** Ends the evacuations of its era that a complete list does not have, unless they are later than the list. */
	private endMissing(present: ReadonlySet<string>, revision: StoreRevision, {atMs, origin}: {readonly atMs: number; readonly origin: Origin}): void {
		for (const zone of this.zones) {
			if (!present.has(zone) && eraOf(this.entries.get(zone)!.revision) >= eraOf(revision)) {
				this.put(zone, {isEvacuated: false, revision, atMs}, origin);
			}
		}
	}

	/** Raises the revision up to which the evacuations are known. Those of earlier eras end unless they are published again in time, since the source may have lost them. */
	private advance(revision: StoreRevision, origin: Origin): void {
		if (this.completeUntil === undefined || isLater(revision, this.completeUntil)) {
			this.completeUntil = revision;
		}

		for (const zone of this.zones) {
			const era = eraOf(this.entries.get(zone)!.revision);
			if (era < eraOf(this.completeUntil) && this.awaited.get(zone) !== era) {
				this.awaitPublication(zone, era, origin);
			}
		}
	}

	/** Ends an evacuation of an earlier era if it is not published again in time. */
	private awaitPublication(zone: string, era: StoreEra, origin: Origin): void {
		this.awaited.set(zone, era);
		setTimeout(() => {
			if (this.awaited.get(zone) !== era) {
				return;
			}

			this.awaited.delete(zone);
			const known = this.entries.get(zone);
			if (known?.isEvacuated && eraOf(known.revision) === era) {
				// Other processes may have got the list up to this revision while the evacuation was still in it.
				this.put(zone, {isEvacuated: false, revision: this.completeUntil!, atMs: performance.now()}, origin);
				this.onLateEnd();
			}
		}, republishMs).unref();
	}

	private put(zone: string, entry: Entry, from: Origin): void {
		const known = this.entries.get(zone);
		if (known && !isLater(entry.revision, known.revision)) {
			return;
		}

		if (known?.isEvacuated === entry.isEvacuated) {
			// Published again: the state lasts since the first time.
			this.entries.set(zone, {...entry, atMs: known.atMs});
			return;
		}

		this.entries.delete(zone);
		this.entries.set(zone, entry);

		this.changes++;
		this.forgetOldest();
		const {isEvacuated, revision, atMs} = entry;
		const ageMs = Math.round(performance.now() - atMs);
		if (isEvacuated) {
			this.log.warn({
				event: 'zone_evacuated', zone, ...revision, from, ageMs,
			}, 'a zone is evacuated; no call starts at its instances');
		} else {
			this.log.info({
				event: 'evacuation_ended', zone, ...revision, from, ageMs, lastedMs: known && Math.round(atMs - known.atMs),
			}, 'the evacuation of a zone has ended');
		}
	}

	private forgetOldest(): void {
		const ended = [...this.entries].filter(([, {isEvacuated}]) => !isEvacuated).map(([zone]) => zone);
		for (const zone of ended.slice(0, Math.max(0, ended.length - maxEnded))) {
			this.entries.delete(zone);
		}
	}
}

/** The order of the revisions of evacuations, also between processes; all comparisons use it. */
function isLater(revision: StoreRevision, than: StoreRevision): boolean {
	return compareRevisions(revision, than) > 0;
}
