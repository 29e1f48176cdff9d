/** Lists of the instances that accept new calls, by service and zone, so that a call looks at a few of them only. */
import type {ServiceId} from '../ids/service-id.ts';
import type {Instance} from './directory-types.ts';

/** The instances of one service that accept new calls. */
export type AvailableInstances = {
	/** Those in the zone. */
	readonly local: readonly Instance[];
	/** Those in all other zones. */
	readonly remote: readonly Instance[];
};

const noInstances: AvailableInstances = {local: [], remote: []};

/** Groups instances for the gateways of one zone. */
export class AvailableInstancesIndex {
	private readonly byService = new Map<ServiceId, {readonly local: Instance[]; readonly remote: Instance[]}>();

	/**
	 * @param instances - all instances that may still run
	 * @param zone - the zone whose instances are local
	 */
	constructor(instances: readonly Instance[], zone: string) {
		for (const instance of instances.filter(({isDraining}) => !isDraining)) {
			const group = this.byService.get(instance.service) ?? {local: [], remote: []};
			this.byService.set(instance.service, group);
			group[instance.zone === zone ? 'local' : 'remote'].push(instance);
		}
	}

	/** Returns the instances of a service that accept new calls. */
	of(service: ServiceId): AvailableInstances {
		return this.byService.get(service) ?? noInstances;
	}
}

/** The zones whose instances accept no calls, and the number of changes of that list. */
export type ClosedZones = {readonly changes: number; readonly isEvacuated: (zone: string) => boolean};

/** Keeps the index of the last list of instances. */
export class AvailableInstancesCache {
	private last: {readonly key: readonly unknown[]; readonly index: AvailableInstancesIndex} | undefined;

	/** Returns the index of a list, which is the same array until an instance changes, without the instances of closed zones. */
	indexOf(instances: readonly Instance[], zone: string, closed: ClosedZones): AvailableInstancesIndex {
		const key = [instances, zone, closed.changes];
		if (!this.last || key.some((part, index) => part !== this.last!.key[index])) {
			this.last = {key, index: new AvailableInstancesIndex(instances.filter(instance => !closed.isEvacuated(instance.zone)), zone)};
		}

		return this.last.index;
	}
}
