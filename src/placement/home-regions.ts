/** Decides where calls with home regions may run, for the calls of one gateway. */
import type {AvailableInstances} from '../directory/available-instances.ts';
import type {
	Instance, KeyHolder, PublishedConfiguration, Route,
} from '../directory/directory-types.ts';
import type {RegionId} from '../ids/region-id.ts';
import type {Logger} from '../runtime/logger.ts';
import {HomeDemand, type InstanceUse} from './home-demand.ts';
import {HomeRefusals} from './home-refusals.ts';
import type {RegionMap} from './region-map.ts';

/** Number of sets of regions whose instances are kept for one list of instances. */
const maxNarrowedLists = 64;

/** Maximum number of unknown regions that are logged for one configuration. */
const maxLoggedRegions = 8;

/**
 * Returns the regions in which a call may run: those that both its route and its workspace permit. Undefined if neither restricts it;
 * empty if it may run nowhere.
 */
export function findPermittedRegions(route: Route, holder: KeyHolder | undefined): readonly RegionId[] | undefined {
	const [ofRoute, ofHolder] = [route.homeRegions, holder?.homeRegions];
	return ofRoute && ofHolder ? ofRoute.filter(region => ofHolder.includes(region)) : (ofRoute ?? ofHolder);
}

/** Applies home regions to the instances of a service. */
export class HomeRegions {
	readonly refusals = new HomeRefusals();
	private readonly demand = new HomeDemand();
	private readonly narrowed = new WeakMap<AvailableInstances, Map<string, AvailableInstances>>();
	private checkedVersion = 0;

	/** @param regions - the region of each zone */
	constructor(private readonly regions: RegionMap) {}

	/** Returns whether a call may run at an instance. */
	permits({zone}: Instance, permittedRegions: readonly RegionId[] | undefined): boolean {
		return this.regions.permits(zone, permittedRegions);
	}

	/** Returns whether two zones are in the same region; undefined if that is not known, or if each region has a single zone. */
	areInSameRegion(zone: string, otherZone: string): boolean | undefined {
		const [region, otherRegion] = [this.regions.regionOf(zone), this.regions.regionOf(otherZone)];
		return !this.regions.hasSharedRegion || region === undefined || otherRegion === undefined ? undefined : region === otherRegion;
	}

	/**
	 * Returns the instances at which a call may run. They are found once for each list of instances, so that the cost of a call does not
	 * grow with the number of instances in other regions.
	 *
	 * @param available - the instances of a service; the same object as long as they do not change
	 */
	narrow(available: AvailableInstances, permittedRegions: readonly RegionId[] | undefined): AvailableInstances {
		if (permittedRegions === undefined) {
			return available;
		}

		const lists = this.narrowed.get(available) ?? new Map<string, AvailableInstances>();
		this.narrowed.set(available, lists);
		const key = JSON.stringify(permittedRegions);
		const list = lists.get(key) ?? this.selectPermitted(available, permittedRegions);
		if (lists.size < maxNarrowedLists) {
			lists.set(key, list);
		}

		return list;
	}

	/** Records that a call was placed at an instance. */
	recordPlaced({zone}: Instance, permittedRegions: readonly RegionId[] | undefined): void {
		const region = this.regions.regionOf(zone);
		if (region !== undefined) {
			this.demand.record(region, permittedRegions !== undefined, performance.now());
		}
	}

	/** Returns the cost of taking a place that calls bound to the region of an instance may need, in milliseconds. */
	reserveMs({zone}: Instance, use: InstanceUse, permittedRegions: readonly RegionId[] | undefined): number {
		const region = this.regions.regionOf(zone);
		return permittedRegions === undefined && region !== undefined ? this.demand.reserveMs(region, use, performance.now()) : 0;
	}

	/** Logs the home regions of a new configuration that no zone has; they permit nothing. */
	checkConfiguration(configuration: PublishedConfiguration | undefined, log: Logger): void {
		if (!configuration || configuration.version === this.checkedVersion) {
			return;
		}

		this.checkedVersion = configuration.version;
		const holders = [...configuration.routes, ...Object.values(configuration.keys ?? {})];
		const unknown = new Set(holders.flatMap(({homeRegions = []}) => homeRegions.filter(region => !this.regions.has(region))));
		if (unknown.size > 0) {
			log.warn({
				event: 'home_region_unknown', version: configuration.version, regions: [...unknown].slice(0, maxLoggedRegions), count: unknown.size,
			}, 'no zone of the settings has a home region that is published; it permits no instance');
		}
	}

	/** Returns the zones, the share of bound calls and the recent refusals, for operators. */
	dump(): Record<string, unknown> {
		const nowMs = performance.now();
		return {
			zones: this.regions,
			boundShares: this.demand.shares(nowMs),
			refused: this.refusals.recent.map(({lastAtMs, ...refusal}) => ({...refusal, agoMs: Math.round(nowMs - lastAtMs)})),
		};
	}

	private selectPermitted({local, remote}: AvailableInstances, permittedRegions: readonly RegionId[]): AvailableInstances {
		const isPermitted = (instance: Instance) => this.permits(instance, permittedRegions);
		return {local: local.filter(instance => isPermitted(instance)), remote: remote.filter(instance => isPermitted(instance))};
	}
}
