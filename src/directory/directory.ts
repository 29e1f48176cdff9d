/** What this process believes of the published configuration, the versions of weights and the instances. */
import {RouteTable} from '../forwarding/route-table.ts';
import type {ServiceId} from '../ids/service-id.ts';
import type {Logger} from '../runtime/logger.ts';
import type {
	DirectoryChange, DirectoryChanges, HeldModel, Instance, PublishedConfiguration,
} from './directory-types.ts';
import {InstanceTable} from './instance-table.ts';
import {type KnownVersion, NamedVersions, type NamedVersion} from './named-versions.ts';

/** How changes were learned. */
export type ChangeContext = {
	/** The process has just started, so that versions may have been named long ago. */
	readonly isInitialRead: boolean;
	/** These are the first changes after an outage of the source, in which entries may have lapsed although their instances live. */
	readonly isAfterOutage: boolean;
};

const watchContext: ChangeContext = {isInitialRead: false, isAfterOutage: false};

/** How long ago a version was named that a starting process finds, in milliseconds: long enough that older ones soon stop. */
const assumedAgeMs = 5000;

/** The directory as one process passes it on to another. */
export type DirectorySnapshot = {
	readonly configuration?: PublishedConfiguration;
	readonly versions: readonly NamedVersion[];
	readonly instances?: readonly Instance[];
	readonly instancesRevision: number;
};

/** Holds the newest state; nothing in it ever goes back to an older revision. */
export class Directory {
	private routeTable: RouteTable | undefined;
	private readonly namedVersions: NamedVersions;
	private readonly instanceTable: InstanceTable;
	private readonly listeners = new Set<() => void>();

	/** @param log - receives what is taken and refused */
	constructor(private readonly log: Logger) {
		this.namedVersions = new NamedVersions(log);
		this.instanceTable = new InstanceTable(log);
	}

	/** The lookups of the configuration in force; undefined before the first one. */
	get table(): RouteTable | undefined {
		return this.routeTable;
	}

	/** The version of the configuration in force; 0 before the first one. */
	get configurationVersion(): number {
		return this.routeTable?.configuration.version ?? 0;
	}

	/** Revision up to which instances are known. */
	get instancesRevision(): number {
		return this.instanceTable.revision;
	}

	/** The newest version of weights by model. */
	get versions(): ReadonlyMap<string, KnownVersion> {
		return this.namedVersions.newest;
	}

	/** All instances that may be alive. */
	get instances(): readonly Instance[] {
		return this.instanceTable.instances;
	}

	/**
	 * Returns all versions of a model that were named, oldest first.
	 *
	 * @param model - the model
	 */
	versionsOf(model: string): readonly KnownVersion[] {
		return this.namedVersions.versionsOf(model);
	}

	/**
	 * Adds a listener that is called after each change.
	 *
	 * @param listener - is called without arguments
	 */
	onChange(listener: () => void): void {
		this.listeners.add(listener);
	}

	/**
	 * Returns an instance that may be alive.
	 *
	 * @param id - its id
	 */
	instance(id: string): Instance | undefined {
		return this.instanceTable.get(id);
	}

	/**
	 * Returns the instances of a service that take new calls.
	 *
	 * @param service - the service
	 */
	availableInstances(service: ServiceId): Instance[] {
		return this.instances.filter(instance => instance.service === service && !instance.isDraining);
	}

	/**
	 * Takes changes over.
	 *
	 * @param changes - what changed and up to which revision
	 * @param context - how the changes were learned
	 */
	apply({changes}: DirectoryChanges, context: ChangeContext = watchContext): void {
		for (const {revision, change} of changes) {
			this.applyChange(revision, change, context);
		}

		this.notifyListeners();
	}

	/**
	 * Takes a whole reading of the instances over; instances that it lacks are gone, or unconfirmed right after an outage.
	 *
	 * @param snapshot - all instances and the revision of the reading
	 * @param context - how the reading was learned
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
	 * Raises the revision up to which instances are known.
	 *
	 * @param revision - the revision of the newest answer
	 */
	advanceInstancesRevision(revision: number): void {
		this.instanceTable.revision = Math.max(this.instanceTable.revision, revision);
	}

	/**
	 * Takes over what the process beside an engine tells of it.
	 *
	 * @param address - the engine
	 * @param startedAtMs - its start, in milliseconds since 1970
	 * @param held - what it holds
	 */
	recordHeldModel(address: string, startedAtMs: number, held: HeldModel): void {
		this.instanceTable.recordHeldModel(address, startedAtMs, held);
		this.notifyListeners();
	}

	/**
	 * Returns what a process lacks that knows the given state.
	 *
	 * @param configurationVersion - the version that it has in force
	 * @param instancesRevision - the revision up to which it knows the instances
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
	 * Returns the services of a newer configuration, without routes and keys.
	 *
	 * @param configurationVersion - the version that the asking process has
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

	/**
	 * Takes what another process knows over, where it is newer.
	 *
	 * @param snapshot - the other process's answer
	 */
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
				}, 'an entry of the directory cannot be used');
			}
		}
	}

	private setConfiguration(configuration: PublishedConfiguration, from: string): void {
		const before = this.configurationVersion;
		if (configuration.version > before) {
			this.routeTable = new RouteTable(configuration);
			this.log.info({
				event: 'configuration_taken', version: configuration.version, before, from, routes: configuration.routes.length,
			}, 'configuration in force');
		} else if (configuration.version < before) {
			this.log.warn({
				event: 'configuration_refused', version: configuration.version, inForce: before, from,
			}, 'an older configuration stays out of force');
		}
	}

	private notifyListeners(): void {
		for (const listener of this.listeners) {
			listener();
		}
	}
}
