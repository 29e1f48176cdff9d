/** The revision at which each instance was last written, so that changes that are not newer have no effect. */
import type {Instance} from './directory-types.ts';
import type {EraHistory} from './era-history.ts';
import {isLaterState} from './instance-states.ts';
import {
	eraOf, maxRevision, noStoreRevision, type StoreRevision,
} from './store-revision.ts';

/** Maximum number of instances whose last revision is stored. */
const maxRevisions = 20_000;

/** A change of an instance; without the instance, its removal. */
export type WrittenChange = {readonly id: string; readonly revision: StoreRevision; readonly instance: Instance | undefined};

/** Keeps the last revision of each instance, also of those that are gone. */
export class WrittenRevisions {
	/** By instance ID, the last revision, and when the instance last started, in milliseconds since 1970, also if it is gone. */
	private readonly last = new Map<string, {readonly revision: StoreRevision; readonly startedAtMs: number}>();
	/** Changes up to this revision are ignored, since they are known. */
	private floor: StoreRevision = noStoreRevision;

	/** @param eras - compares revisions */
	constructor(private readonly eras: EraHistory) {}

	/**
	 * Returns whether a change is newer than the last one of the instance, and stores its revision if so.
	 *
	 * @param known - the instance as it is known; undefined if it is gone
	 */
	accept(change: WrittenChange, known: Instance | undefined): boolean {
		const {id, revision, instance} = change;
		const last = this.last.get(id);
		const before = last?.revision ?? this.floor;
		const order = this.eras.compare(revision, before);
		if (order === 'notNewer' || (order === 'unclear' && !this.isLater(change, known, before))) {
			return false;
		}

		if (this.last.size >= maxRevisions) {
			this.forgetAll();
		}

		this.last.set(id, {revision, startedAtMs: instance?.startedAtMs ?? last?.startedAtMs ?? Number.NEGATIVE_INFINITY});
		return true;
	}

	/** Decides by the states of an instance where the revisions leave it unclear; the one of the earlier era holds if they are alike. */
	private isLater({id, revision, instance}: WrittenChange, known: Instance | undefined, before: StoreRevision): boolean {
		const isOfLaterEra = eraOf(revision) > eraOf(before);
		if (!instance) {
			return !isOfLaterEra;
		}

		if (!known) {
			return instance.startedAtMs > (this.last.get(id)?.startedAtMs ?? Number.POSITIVE_INFINITY);
		}

		return isOfLaterEra ? isLaterState(instance, known) : !isLaterState(known, instance);
	}

	private forgetAll(): void {
		for (const {revision} of this.last.values()) {
			this.floor = maxRevision(this.floor, revision);
		}

		this.last.clear();
	}
}
