/** This process's copy of the directory: the published configuration, the versions of weights and the instances. */
import {RouteTable} from '../forwarding/route-table.ts';
import type {ServiceId} from '../ids/service-id.ts';
import type {Logger} from '../runtime/logger.ts';
import type {
	DirectoryChange, DirectoryChanges, HeldModel, Instance, PublishedConfiguration,
} from './directory-types.ts';
import {type AvailableInstances, AvailableInstancesIndex} from './available-instances.ts';
import {InstanceTable} from './instance-table.ts';
import {type KnownVersion, NamedVersions, type NamedVersion} from './named-versions.ts';

/** The circumstances in which changes were received. */
export type ChangeContext = {
	/** Whether this is the first read after the start, so versions may have been named long before. */
	readonly isInitialRead: boolean;
	/** Whether these are the first changes after an outage of the source, during which entries may have expired although their instances still run. */
	readonly isAfterOutage: boolean;
};

const watchContext: ChangeContext = {isInitialRead: false, isAfterOutage: false};

/** Assumed age of versions that the first read finds, in milliseconds; large enough that older versions expire soon. */
const assumedAgeMs = 5000;

/** The parts of the directory that one process sends to another. */
export type DirectorySnapshot = {
	readonly configuration?: PublishedConfiguration;
	readonly versions: readonly NamedVersion[];
	readonly instances?: readonly Instance[];
	readonly instancesRevision: number;
};

/** Holds the newest known state. No part of it ever reverts to an older version or revision. */
export class Directory {
	private routeTable: RouteTable | undefined;
	private readonly namedVersions: NamedVersions;
	private readonly instanceTable: InstanceTable;
	private readonly listeners = new Set<() => void>();
	/** The index of the last list of instances. */
	private available: {readonly instances: readonly Instance[]; readonly zone: string; readonly index: AvailableInstancesIndex} | undefined;

	constructor(private readonly log: Logger) {
		this.namedVersions = new NamedVersions(log);
		this.instanceTable = new InstanceTable(log);
	}

	/** The route table of the current configuration; undefined before the first one. */
	get table(): RouteTable | undefined {
		return this.routeTable;
	}

	/** The version of the current configuration; 0 before the first one. */
	get configurationVersion(): number {
		return this.routeTable?.configuration.version ?? 0;
	}

	/** The revision up to which the instances are known. */
	get instancesRevision(): number {
		return this.instanceTable.revision;
	}

	/** The newest named version of weights by model. */
	get versions(): ReadonlyMap<string, KnownVersion> {
		return this.namedVersions.newest;
	}

	/** All instances that may still run. */
	get instances(): readonly Instance[] {
		return this.instanceTable.instances;
	}

	/** Returns the named versions of a model, oldest first. */
	versionsOf(model: string): readonly KnownVersion[] {
		return this.namedVersions.versionsOf(model);
	}

	/** Adds a listener that is called after each update. */
	onChange(listener: () => void): void {
		this.listeners.add(listener);
	}

	/** Returns the instance with this id if it may still run. */
	instance(id: string): Instance | undefined {
		return this.instanceTable.get(id);
	}

	/**
	 * Returns the instances of a service that accept new calls: those that are not draining.
	 *
	 * @param zone - the zone whose instances are listed as local ones
	 */
	availableInstances(service: ServiceId, zone: string): AvailableInstances {
		const {instances} = this;
		if (this.available?.instances !== instances || this.available.zone !== zone) {
			this.available = {instances, zone, index: new AvailableInstancesIndex(instances, zone)};
		}

		return this.available.index.of(service);
	}

	/**
	 * Applies changes from the source.
	 *
	 * @param context - the circumstances; by default those of a regular watch
	 */
	apply({changes}: DirectoryChanges, context: ChangeContext = watchContext): void {
		for (const {revision, change} of changes) {
			this.applyChange(revision, change, context);
		}

		this.notifyListeners();
	}

	/**
	 * Applies a full read of the instances. Instances that it lacks are removed, or become unconfirmed right after an outage.
	 *
	 * @param snapshot - all instances, and the revision of the read
	 * @param context - the circumstances; by default those of a regular watch
	 */
	replaceInstances(snapshot: DirectoryChanges, context: ChangeContext = watchContext): void {
		const presentIds = new Set<string>();
		for (const {revision, change} of snapshot.changes) {
			this.applyChange(revision, change, context);
			if (change.kind === 'instance') {
				presentIds.add(change.instance.id);
			}
		}

		this.instanceTable.removeMissing(presentIds, snapshot.revision, context.isAfterOutage);
		this.advanceInstancesRevision(snapshot.revision);
		this.notifyListeners();
	}

	/**
	 * Raises the revision up to which the instances are known; a lower one has no effect.
	 *
	 * @param revision - the revision of the newest response
	 */
	advanceInstancesRevision(revision: number): void {
		this.instanceTable.revision = Math.max(this.instanceTable.revision, revision);
	}

	/**
	 * Records the model that an engine has loaded, as reported by its stager before the directory lists it.
	 *
	 * @param address - the address of the engine
	 * @param startedAtMs - the start of the engine, in milliseconds since 1970
	 * @param held - the loaded layers of the model
	 */
	recordHeldModel(address: string, startedAtMs: number, held: HeldModel): void {
		this.instanceTable.recordHeldModel(address, startedAtMs, held);
		this.notifyListeners();
	}

	/**
	 * Returns the parts of the directory that are newer than those of another process, and all named versions.
	 *
	 * @param configurationVersion - the configuration version of the other process
	 * @param instancesRevision - the revision up to which the other process knows the instances
	 */
	snapshot(configurationVersion: number, instancesRevision: number): DirectorySnapshot {
		return {
			...(this.configurationVersion > configurationVersion ? {configuration: this.routeTable?.configuration} : {}),
			versions: this.namedVersions.shareable,
			...(this.instancesRevision > instancesRevision ? {instances: this.instances} : {}),
			instancesRevision: this.instancesRevision,
		};
	}

	/**
	 * Returns the services of the configuration if it is newer, without routes and keys, and all named versions.
	 *
	 * @param configurationVersion - the configuration version of the requesting process
	 */
	servicesSnapshot(configurationVersion: number): DirectorySnapshot {
		const {configuration, ...rest} = this.snapshot(configurationVersion, Number.POSITIVE_INFINITY);
		if (!configuration) {
			return rest;
		}

		const {version, limits, services} = configuration;
		return {
			...rest, configuration: {
				version, limits, services, routes: [],
			},
		};
	}

	/** Merges the parts of another process's directory that are newer than the own ones. */
	mergeFromPeer(snapshot: DirectorySnapshot): void {
		if (snapshot.configuration) {
			this.setConfiguration(snapshot.configuration, 'peer');
		}

		for (const {model, version, ageMs, isAssumed} of snapshot.versions) {
			this.namedVersions.record(model, {version, sinceMs: performance.now() - ageMs, isAssumed});
		}

		if (snapshot.instances && snapshot.instancesRevision > this.instancesRevision) {
			this.instanceTable.replaceAll(snapshot.instances, snapshot.instancesRevision);
		}

		this.notifyListeners();
	}

	private applyChange(revision: number, change: DirectoryChange, context: ChangeContext): void {
		switch (change.kind) {
			case 'configuration': {
				this.setConfiguration(change.configuration, 'source');
				return;
			}

			case 'version': {
				const ageMs = context.isInitialRead ? assumedAgeMs : 0;
				this.namedVersions.record(change.model, {version: change.version, sinceMs: performance.now() - ageMs, isAssumed: context.isInitialRead});
				return;
			}

			case 'instance': {
				this.instanceTable.put(change.instance, revision);
				return;
			}

			case 'instance-gone': {
				this.instanceTable.remove(change.id, revision, context.isAfterOutage);
				return;
			}

			case 'unreadable': {
				this.log.warn({
					event: 'entry_unreadable', key: change.key, reason: change.reason, revision,
				}, 'ignoring a directory entry that cannot be read');
			}
		}
	}

	private setConfiguration(configuration: PublishedConfiguration, from: string): void {
		const before = this.configurationVersion;
		if (configuration.version > before) {
			this.routeTable = new RouteTable(configuration);
			this.log.info({
				event: 'configuration_taken', version: configuration.version, before, from, routes: configuration.routes.length,
			}, 'applied a new configuration');
		} else if (configuration.version < before) {
			this.log.warn({
				event: 'configuration_refused', version: configuration.version, inForce: before, from,
			}, 'ignoring an older configuration');
		}
	}

	private notifyListeners(): void {
		for (const listener of this.listeners) {
			listener();
		}
	}
}
