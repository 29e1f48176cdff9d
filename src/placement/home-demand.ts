/**
 * Estimates which share of a region's use comes from calls that may run only in their home regions. Calls without restriction then leave
 * room there, under loads in which the calls that are bound to a region fill a large part of it while other regions have free slots.
 *
 * No I/O, no clock.
 */
import type {RegionId} from '../ids/region-id.ts';

/** Time after which a placement counts half, in milliseconds. */
const halfLifeMs = 4000;

/** Placements that are assumed without restriction, so that the first few calls do not decide the share. */
const assumedPlacements = 5;

/** Share of the slots in use by bound calls from which other calls leave room, because with less of it the bound calls find a free slot. */
const minBoundShare = 0.25;

/** Cost for a call without restriction at an instance that bound calls fill, in milliseconds; more than the cost of going to another zone. */
const maxReserveMs = 60;

/** The recent placements of this gateway in one region. */
type RegionUse = {all: number; bound: number; atMs: number};

/** How far an instance is in use by the calls of all gateways. */
export type InstanceUse = {readonly calls: number; readonly slots: number};

/** Counts the recent placements of this gateway by region. */
export class HomeDemand {
	private readonly uses = new Map<RegionId, RegionUse>();

	/** The share of recent placements that were bound to their regions, by region; only regions that have any. */
	shares(nowMs: number): Record<string, number> {
		const shares = [...this.uses.keys()].map((region): [string, number] => [region, this.boundShare(region, nowMs)]);
		return Object.fromEntries(shares.filter(([, share]) => share > 0));
	}

	/**
	 * Records that a call was placed.
	 *
	 * @param region - the region of the instance
	 * @param isBound - whether the call may run only in some regions
	 * @param nowMs - the time, in milliseconds of the monotonic clock
	 */
	record(region: RegionId, isBound: boolean, nowMs: number): void {
		const use = this.decayedUse(region, nowMs);
		this.uses.set(region, {all: use.all + 1, bound: use.bound + (isBound ? 1 : 0), atMs: nowMs});
	}

	/**
	 * Returns the cost of an instance for a call without restriction, in milliseconds: 0 unless bound calls fill a large part of it.
	 *
	 * @param region - the region of the instance
	 * @param use - its calls and slots
	 * @param nowMs - the time, in milliseconds of the monotonic clock
	 */
	reserveMs(region: RegionId, {calls, slots}: InstanceUse, nowMs: number): number {
		const boundSlotShare = this.boundShare(region, nowMs) * Math.min(1, calls / Math.max(1, slots));
		return boundSlotShare < minBoundShare ? 0 : maxReserveMs * boundSlotShare;
	}

	private boundShare(region: RegionId, nowMs: number): number {
		const {all, bound} = this.decayedUse(region, nowMs);
		return bound / (all + assumedPlacements);
	}

	private decayedUse(region: RegionId, nowMs: number): RegionUse {
		const {all, bound, atMs} = this.uses.get(region) ?? {all: 0, bound: 0, atMs: nowMs};
		const factor = 0.5 ** ((nowMs - atMs) / halfLifeMs);
		return {all: all * factor, bound: bound * factor, atMs: nowMs};
	}
}
