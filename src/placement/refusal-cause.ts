/** Tells why no instance could take a call, and when its caller should return. No I/O, no clock. */
import type {Instance} from '../directory/directory-types.ts';
import type {Placement} from './select-instance.ts';

/** Retry delay while all instances that a call may use are in evacuated zones, and its random part, in milliseconds; an evacuation lasts for seconds. */
const evacuatedRetryAfterMs = {base: 1600, jitter: 300};

/** The instances of a service that a call was refused at. */
export type RefusedService = {
	/** Those that do not drain. */
	readonly instances: readonly Instance[];
	readonly isEvacuated: (zone: string) => boolean;
	/** Whether the home regions of the call permit an instance; undefined if it has none. */
	readonly isPermitted: ((instance: Instance) => boolean) | undefined;
};

/**
 * Names the cause of a refusal without an eligible instance: all zones are evacuated, or no instance in the home regions can take the call.
 *
 * @param randomBelow - returns a random integer from 0 up to, but not including, its argument
 */
export function nameRefusal(placement: Placement, {instances, isEvacuated, isPermitted}: RefusedService, randomBelow: (bound: number) => number): Placement {
	if (placement.kind !== 'refuse' || placement.reason !== 'no_upstream') {
		return placement;
	}

	const areEvacuated = (list: readonly Instance[]) => list.length > 0 && list.every(({zone}) => isEvacuated(zone));
	const permitted = isPermitted ? instances.filter(instance => isPermitted(instance)) : instances;
	const retryAfterMs = areEvacuated(permitted) ? evacuatedRetryAfterMs.base + randomBelow(evacuatedRetryAfterMs.jitter) : placement.retryAfterMs;
	if (areEvacuated(instances)) {
		return {kind: 'refuse', reason: 'all_zones_evacuated', retryAfterMs};
	}

	return {kind: 'refuse', reason: isPermitted ? 'no_home_instance' : 'no_upstream', retryAfterMs};
}
