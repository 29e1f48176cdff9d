/** Shows operators how far evacuations are in force at a gateway. */
import type {Directory} from '../directory/directory.ts';
import type {SharedZone} from '../directory/evacuations.ts';
import type {InFlightCalls} from '../placement/in-flight-calls.ts';
import type {RegionMap} from '../placement/region-map.ts';
import type {Logger} from '../runtime/logger.ts';
import type {Metrics} from './metrics.ts';

const msPerSecond = 1000;

/** Dependencies of an {@link EvacuationReport}. */
export type EvacuationReportOptions = {
	readonly directory: Directory;
	/** The zones of the settings. */
	readonly regions: RegionMap;
	readonly inFlight: InFlightCalls;
	/** Within what time an evacuation has to be in force, in milliseconds; undefined if there is no such bound. */
	readonly boundMs: number | undefined;
	/** Returns how long ago it was last known that the directory lacks nothing, in milliseconds. */
	readonly directoryAgeMs: () => number;
	readonly log: Logger;
};

/** Logs evacuations of unknown zones, and describes all of them. */
export class EvacuationReport {
	/** The evacuations that were checked, by zone. */
	private readonly checked = new Map<string, string>();

	/** @param options - dependencies */
	constructor(private readonly options: EvacuationReportOptions) {}

	/** Adds the metrics. */
	addMetrics(metrics: Metrics): void {
		const {directory: {evacuations}} = this.options;
		metrics.gauge('cactusreach_evacuations_known', '1 while it is known which zones are evacuated.', () => Number(evacuations.isKnown));
		metrics.gauge('cactusreach_evacuated_zones', 'Zones that are evacuated.', () => evacuations.zones.length);
		metrics.gauge('cactusreach_evacuations_revision', 'Revision of the last begin or end of an evacuation.', () => evacuations.lastChange?.revision ?? 0);
		metrics.gauge('cactusreach_evacuation_age_seconds', 'Time since the last evacuation that is in force began, 0 without one.', () => {
			const ages = evacuations.described.filter(({isEvacuated}) => isEvacuated).map(({ageMs}) => ageMs);
			return ages.length === 0 ? 0 : Math.min(...ages) / msPerSecond;
		});
		metrics.gauge('cactusreach_calls_in_evacuated_zones', 'Calls of this gateway that still run in evacuated zones.', () => this.callsIn(evacuations.zones));
	}

	/** Logs each evacuation of a zone that neither the settings nor an instance names, once the instances are known. */
	checkZones(): void {
		const {directory, regions, log} = this.options;
		if (directory.instancesRevision === 0) {
			return;
		}

		for (const {zone, isEvacuated, ageMs, ...revision} of directory.evacuations.described) {
			const change = JSON.stringify(revision);
			if (!isEvacuated || this.checked.get(zone) === change) {
				continue;
			}

			this.checked.set(zone, change);
			if (regions.regionOf(zone) === undefined && !directory.instances.some(instance => instance.zone === zone)) {
				log.warn({event: 'evacuation_zone_unknown', zone, ...revision}, 'an evacuated zone is neither in the settings nor that of an instance; the other evacuations are in force');
			}
		}
	}

	/** Returns the zones, their revisions and ages, and the calls that still run there. */
	dump(): Record<string, unknown> {
		const {directory: {evacuations}, boundMs, directoryAgeMs} = this.options;
		const ageMs = Math.round(directoryAgeMs());
		return {
			isKnown: evacuations.isKnown,
			revision: evacuations.lastChange,
			zones: evacuations.described.map((described: SharedZone) => ({...described, openCalls: this.callsIn([described.zone])})),
			directoryAgeMs: ageMs,
			boundMs,
			isWithinBound: evacuations.isKnown && ageMs <= (boundMs ?? Number.POSITIVE_INFINITY),
		};
	}

	private callsIn(zones: readonly string[]): number {
		const {directory, inFlight} = this.options;
		return [...inFlight.instances].filter(id => zones.includes(directory.instance(id)?.zone ?? '')).reduce((sum, id) => sum + inFlight.countsAt(id).calls, 0);
	}
}
