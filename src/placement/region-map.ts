/** The region of each zone. No I/O, no clock. */
import type {RegionId} from '../ids/region-id.ts';

/** Tells in which region an instance runs. */
export class RegionMap {
	/** Whether a region has several zones. */
	readonly hasSharedRegion: boolean;
	private readonly byZone: ReadonlyMap<string, RegionId>;
	private readonly regions: ReadonlySet<string>;

	/** @param zones - the region of each zone, by the name of the zone */
	constructor(zones: Readonly<Record<string, RegionId>>) {
		this.byZone = new Map(Object.entries(zones));
		this.regions = new Set(this.byZone.values());
		this.hasSharedRegion = this.regions.size < this.byZone.size;
	}

	/** Returns the region of a zone; undefined if it is not known. */
	regionOf(zone: string): RegionId | undefined {
		return this.byZone.get(zone);
	}

	/** Returns whether any zone belongs to a region. */
	has(region: string): boolean {
		return this.regions.has(region);
	}

	/**
	 * Returns whether a call may run in a zone. Where the region of the zone is not known, only a call without restriction may.
	 *
	 * @param zone - the zone of an instance
	 * @param permittedRegions - the regions in which the call may run; undefined if in any
	 */
	permits(zone: string, permittedRegions: readonly RegionId[] | undefined): boolean {
		if (permittedRegions === undefined) {
			return true;
		}

		const region = this.regionOf(zone);
		return region !== undefined && permittedRegions.includes(region);
	}

	/** Returns the region of each zone, for operators. */
	toJSON(): Record<string, RegionId> {
		return Object.fromEntries(this.byZone);
	}
}
