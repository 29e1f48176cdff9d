/** How far the instances are known in the present era of the source and in the eras before it. */
import {noEra, type StoreEra} from '../ids/store-era.ts';
import {
	compareEntries, compareRevisions, createStoreRevision, type EntryOrder, eraOf, type StoreRevision,
} from './store-revision.ts';

/** What is known of one era. */
export type EraRecord = {
	readonly era: StoreEra;
	/** Entries up to this revision may have come with the copy that the era began with. */
	readonly copyRevision: number;
	/** The revision up to which the instances are known. */
	readonly revision: number;
	/** The revision of the last change. */
	readonly lastChange: number;
};

/** Number of earlier eras that are kept. */
const maxEarlierEras = 3;

/** The present era, and the latest ones before it. */
export class EraHistory {
	/** When the present era was entered, in milliseconds of the monotonic clock. */
	enteredAtMs = Number.NEGATIVE_INFINITY;
	private records: readonly EraRecord[] = [];
	private present: EraRecord = {
		era: noEra, copyRevision: 0, revision: 0, lastChange: 0,
	};

	/** The present era. */
	get era(): StoreEra {
		return this.present.era;
	}

	/** The revision up to which entries of the present era may have come with the copy. */
	get copyRevision(): number {
		return this.present.copyRevision;
	}

	/** The revision up to which the instances are known in the present era. */
	get revision(): StoreRevision {
		return createStoreRevision(this.present.era, this.present.revision);
	}

	/** The revision of the last change in the present era. */
	get lastChange(): StoreRevision {
		return createStoreRevision(this.present.era, this.present.lastChange);
	}

	/** What is known of the earlier eras. */
	get earlier(): readonly EraRecord[] {
		return this.records;
	}

	/**
	 * Enters an era, unless it is the present or an earlier one. A lower revision of the copy in the present era takes the place of the known one.
	 *
	 * @param copyRevision - the revision up to which its entries may have come with the copy
	 */
	enter(era: StoreEra, copyRevision: number): void {
		const {present} = this;
		if (era === present.era) {
			this.present = {...present, copyRevision: Math.min(present.copyRevision, copyRevision)};
		} else if (era > present.era) {
			this.keep(present);
			this.enteredAtMs = performance.now();
			this.present = {
				era, copyRevision, revision: 0, lastChange: 0,
			};
		}
	}

	/** Raises the revision up to which the instances of the present era are known. */
	advance(to: StoreRevision): void {
		if (eraOf(to) === this.era) {
			this.present = {...this.present, revision: Math.max(this.present.revision, to.revision)};
		}
	}

	/** Raises the revision of the last change in the present era. */
	recordChange(at: StoreRevision): void {
		if (eraOf(at) === this.era) {
			this.present = {...this.present, lastChange: Math.max(this.present.lastChange, at.revision)};
		}
	}

	/** Adds what another process knows of earlier eras, after its whole list was taken. */
	addEarlier(records: readonly EraRecord[]): void {
		for (const record of records) {
			this.keep(record);
		}
	}

	/** Returns whether all changes up to a revision are known. */
	covers(at: StoreRevision): boolean {
		if (compareRevisions(at, this.revision) <= 0 && eraOf(at) === this.era) {
			return true;
		}

		const record = this.records.find(({era}) => era === eraOf(at));
		if (record) {
			return record.revision >= at.revision;
		}

		const isForgotten = this.records.length === maxEarlierEras && eraOf(at) < this.records[0]!.era;
		return isForgotten || at.revision === 0;
	}

	/** Compares the revisions of two entries of one instance. */
	compare(candidate: StoreRevision, known: StoreRevision): EntryOrder {
		return compareEntries(candidate, known, era => this.copyRevisionOf(era));
	}

	/** Without knowledge of an era, any of its entries may have come with its copy. */
	private copyRevisionOf(era: StoreEra): number {
		const record = [...this.records, this.present].find(item => item.era === era);
		return record?.copyRevision ?? (era === noEra ? 0 : Number.POSITIVE_INFINITY);
	}

	private keep(record: EraRecord): void {
		if (record.era >= this.present.era && record !== this.present) {
			return;
		}

		const known = this.records.find(({era}) => era === record.era);
		const merged = known
			? {
				era: known.era,
				copyRevision: Math.min(known.copyRevision, record.copyRevision),
				revision: Math.max(known.revision, record.revision),
				lastChange: Math.max(known.lastChange, record.lastChange),
			}
			: record;
		if (merged.revision > 0) {
			const others = this.records.filter(({era}) => era !== merged.era);
			this.records = [...others, merged].toSorted((a, b) => a.era - b.era).slice(-maxEarlierEras);
		}
	}
}
