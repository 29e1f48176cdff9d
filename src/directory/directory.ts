/** This process's copy of the directory: the published configuration, the versions of weights and the instances. */
import {RouteTable} from '../forwarding/route-table.ts';
import type {ServiceId} from '../ids/service-id.ts';
import type {DirectoryState} from '../messages/peers-exchange.ts';
import {ElapsedClock} from '../runtime/elapsed-clock.ts';
import type {Logger} from '../runtime/logger.ts';
import {applyDelta, type ConfigurationDelta, RecentConfigurations} from './configuration-delta.ts';
import type {
	DirectoryChange, DirectoryChanges, HeldModel, Instance, InstanceChanges, PublishedConfiguration,
} from './directory-types.ts';
import {type AvailableInstances, AvailableInstancesIndex} from './available-instances.ts';
import {Evacuations, type SharedEvacuations} from './evacuations.ts';
import {InstanceTable} from './instance-table.ts';
import {type KnownVersion, NamedVersions, type NamedVersion} from './named-versions.ts';

/** The circumstances in which changes were received. */
export type ChangeContext = {
	/** The earliest time of the directory's clock at which the versions in the changes may have been named; `-Infinity` if it is unknown, as after a first read. */
	readonly namedAfterMs: number;
	/** Whether these are the first changes after an outage of the source, during which entries may have expired although their instances still run. */
	readonly isAfterOutage: boolean;
};

/** The circumstances of changes of which nothing else is known. */
const unknownContext: ChangeContext = {namedAfterMs: Number.NEGATIVE_INFINITY, isAfterOutage: false};

/** The parts of the directory that one process sends to another. */
export type DirectorySnapshot = {
	/** The whole configuration, if the requesting process does not have a recent one. */
	readonly configuration?: PublishedConfiguration;
	/** Otherwise what changed since the one that it has. */
	readonly configurationDelta?: ConfigurationDelta;
	readonly versions: readonly NamedVersion[];
	readonly instances?: InstanceChanges;
	readonly evacuations?: SharedEvacuations | undefined;
};

/** Holds the newest known state. No part of it ever reverts to an older version or revision. */
export class Directory {
	readonly evacuations: Evacuations;
	private routeTable: RouteTable | undefined;
	private readonly namedVersions: NamedVersions;
	private readonly instanceTable: InstanceTable;
	private readonly listeners = new Set<() => void>();
	private readonly recentConfigurations = new RecentConfigurations();
	/** The state that the listeners were last called for. */
	private notifiedState: readonly unknown[] = [];
	/** The index of the last list of instances. */
	private available: {readonly key: readonly unknown[]; readonly index: AvailableInstancesIndex} | undefined;

	/**
	 * @param log - logs changes
	 * @param clock - bounds the time at which versions were named
	 */
	constructor(private readonly log: Logger, readonly clock = new ElapsedClock()) {
		this.namedVersions = new NamedVersions(log);
		this.evacuations = new Evacuations(log);
		clock.onJump(jumpMs => {
			this.namedVersions.moveBack(jumpMs);
		});
		this.instanceTable = new InstanceTable(log, service => this.routeTable === undefined || this.routeTable.findService(service) !== undefined);
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

	/** The revision of the last change of the instances. */
	get lastInstanceChange(): number {
		return this.instanceTable.lastChange;
	}

	/** What other processes compare with theirs, to know whether they lack a change. */
	get state(): DirectoryState {
		const {configurationVersion, lastInstanceChange, evacuations: {lastChange}} = this;
		return {configurationVersion, lastInstanceChange, ...(lastChange === undefined ? {} : {lastEvacuationChange: lastChange})};
	}

	/** Increases whenever a version of weights is named, or the bounds of the time when it was named change. */
	get versionChanges(): number {
		return this.namedVersions.changes;
	}

	/** All named versions in the form that is sent to other processes. */
	get shareableVersions(): NamedVersion[] {
		this.clock.check();
		return this.namedVersions.shareable;
	}

	/** The newest named version of weights by model. */
	get versions(): ReadonlyMap<string, KnownVersion> {
		this.clock.check();
		return this.namedVersions.newest;
	}

	/** All instances that may still run. */
	get instances(): readonly Instance[] {
		return this.instanceTable.instances;
	}

	/** Returns the named versions of a model, oldest first. */
	versionsOf(model: string): readonly KnownVersion[] {
		this.clock.check();
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
	 * Returns the instances of a service that accept new calls: those that are not draining, and not in an evacuated zone.
	 *
	 * @param zone - the zone whose instances are listed as local ones
	 */
	availableInstances(service: ServiceId, zone: string): AvailableInstances {
		const {instances, evacuations} = this;
		const key = [instances, zone, evacuations.changes];
		if (!this.available || key.some((part, index) => part !== this.available!.key[index])) {
			this.available = {key, index: new AvailableInstancesIndex(instances.filter(instance => !evacuations.isEvacuated(instance.zone)), zone)};
		}

		return this.available.index.of(service);
	}

	/**
	 * Applies changes from the source.
	 *
	 * @param context - the circumstances; by default it is unknown when versions were named
	 */
	apply({changes}: DirectoryChanges, context: ChangeContext = unknownContext): void {
		for (const {revision, change} of changes) {
			this.applyChange(revision, change, context);
		}

		this.notifyListeners();
	}

	/**
	 * Applies a full read of the instances. Instances that it lacks are removed, or become unconfirmed right after an outage.
	 *
	 * @param snapshot - all instances, and the revision of the read
	 * @param context - the circumstances; by default it is unknown when versions were named
	 */
	replaceInstances(snapshot: DirectoryChanges, context: ChangeContext = unknownContext): void {
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
			...this.configurationSince(configurationVersion),
			versions: this.shareableVersions,
			evacuations: this.evacuations.shareable,
			...(this.instancesRevision > instancesRevision ? {instances: this.instanceTable.changesSince(instancesRevision)} : {}),
		};
	}

	/**
	 * Returns the services of the configuration if it is newer, without routes and keys, and all named versions.
	 *
	 * @param configurationVersion - the configuration version of the requesting process
	 */
	servicesSnapshot(configurationVersion: number): DirectorySnapshot {
		const versions = this.shareableVersions;
		const configuration = this.routeTable?.configuration;
		if (!configuration || configuration.version <= configurationVersion) {
			return {versions};
		}

		const {version, limits, services} = configuration;
		return {
			versions, configuration: {
				version, limits, services, routes: [],
			},
		};
	}

	/**
	 * Merges the parts of another process's directory that are newer than the own ones.
	 *
	 * @param createdAfterMs - the earliest time of {@link clock} at which the other process may have created the message, since ages in it
	 * count from then
	 */
	mergeFromPeer(snapshot: DirectorySnapshot, createdAfterMs: number): void {
		const {configuration, configurationDelta} = snapshot;
		if (configuration) {
			this.setConfiguration(configuration, 'peer');
		} else if (configurationDelta?.base === this.configurationVersion) {
			this.setConfiguration(applyDelta(this.routeTable!.configuration, configurationDelta), 'peer');
		}

		this.clock.check();
		const nowMs = performance.now();
		const createdMs = this.clock.toMonotonicMs(createdAfterMs);
		for (const {model, version, minAgeMs, maxAgeMs = Number.POSITIVE_INFINITY} of snapshot.versions) {
			this.namedVersions.record(model, {version, earliestMs: createdMs - maxAgeMs, latestMs: nowMs - minAgeMs});
		}

		if (snapshot.evacuations) {
			this.evacuations.merge(snapshot.evacuations, createdMs);
		}

		if (snapshot.instances) {
			this.instanceTable.applyChanges(snapshot.instances, createdMs);
		}

		this.notifyListeners();
	}

	private applyChange(revision: number, change: DirectoryChange, context: ChangeContext): void {
		switch (change.kind) {
			case 'configuration': {
				this.setConfiguration(change.configuration, 'source');
				if (change.leftOut && change.leftOut.length > 0) {
					this.log.warn({
						event: 'configuration_parts_left_out', version: change.configuration.version, reasons: change.leftOut,
					}, 'parts of a configuration cannot be used; the rest is in force');
				}

				return;
			}

			case 'version': {
				const earliestMs = this.clock.toMonotonicMs(context.namedAfterMs);
				this.namedVersions.record(change.model, {version: change.version, earliestMs, latestMs: performance.now()});
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

			case 'evacuation':
			case 'evacuation-ended': {
				this.evacuations.record(change.zone, change.kind === 'evacuation', revision);
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
			if (this.routeTable) {
				this.recentConfigurations.add(this.routeTable.configuration);
			}

			this.routeTable = new RouteTable(configuration);
			this.instanceTable.refresh();
			this.log.info({
				event: 'configuration_taken', version: configuration.version, before, from, routes: configuration.routes.length,
			}, 'applied a new configuration');
		} else if (configuration.version < before) {
			this.log.warn({
				event: 'configuration_refused', version: configuration.version, inForce: before, from,
			}, 'ignoring an older configuration');
		}
	}

	/** Returns the configuration if it is newer than a version: what changed since, or the whole. */
	private configurationSince(version: number): Pick<DirectorySnapshot, 'configuration' | 'configurationDelta'> {
		const current = this.routeTable?.configuration;
		if (!current || current.version <= version) {
			return {};
		}

		const delta = this.recentConfigurations.changesSince(version, current);
		return delta ? {configurationDelta: delta} : {configuration: current};
	}

	/** Calls the listeners if anything has changed since the last time. */
	private notifyListeners(): void {
		const state = [this.routeTable, this.instances, this.namedVersions.changes, this.evacuations.changes] as const;
		if (state.every((part, index) => part === this.notifiedState[index])) {
			return;
		}

		this.notifiedState = state;
		for (const listener of this.listeners) {
			listener();
		}
	}
}
