/** This process's copy of the directory: the published configuration, the versions of weights and the instances. */
import type {RouteTable} from '../forwarding/route-table.ts';
import type {ServiceId} from '../ids/service-id.ts';
import {noEra, type StoreEra} from '../ids/store-era.ts';
import type {DirectoryRevisions, DirectoryState} from '../messages/peers-exchange.ts';
import {ElapsedClock} from '../runtime/elapsed-clock.ts';
import type {Logger} from '../runtime/logger.ts';
import {ConfigurationInForce, type ConfigurationPart} from './configuration-in-force.ts';
import type {
	DirectoryChange, DirectoryChanges, HeldModel, Instance, InstanceChanges,
} from './directory-types.ts';
import {type AvailableInstances, AvailableInstancesCache} from './available-instances.ts';
import {Evacuations, type SharedEvacuations} from './evacuations.ts';
import {chooseRevisions, describeState, lacksChanges} from './directory-state.ts';
import {InstanceTable} from './instance-table.ts';
import {type KnownVersion, NamedVersions, type NamedVersion} from './named-versions.ts';
import {
	compareRevisions, createStoreRevision, eraOf, type StoreRevision,
} from './store-revision.ts';

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
export type DirectorySnapshot = ConfigurationPart & {
	readonly versions: readonly NamedVersion[];
	readonly instances?: InstanceChanges;
	readonly evacuations?: SharedEvacuations | undefined;
};

/** Holds the newest known state. No part of it ever reverts to an older version or revision. */
export class Directory {
	readonly evacuations: Evacuations;
	private readonly configurations: ConfigurationInForce;
	private readonly namedVersions: NamedVersions;
	private readonly instanceTable: InstanceTable;
	private readonly listeners = new Set<() => void>();
	private knownEra = noEra;
	/** The state that the listeners were last called for. */
	private notifiedState: readonly unknown[] = [];
	private readonly available = new AvailableInstancesCache();

	/**
	 * @param log - logs changes
	 * @param clock - bounds the time at which versions were named
	 */
	constructor(private readonly log: Logger, readonly clock = new ElapsedClock()) {
		this.namedVersions = new NamedVersions(log);
		this.evacuations = new Evacuations(log, () => {
			this.notifyListeners();
		});
		clock.onJump(jumpMs => {
			this.namedVersions.moveBack(jumpMs);
		});
		this.instanceTable = new InstanceTable(log, service => this.table === undefined || this.table.findService(service) !== undefined);
		this.configurations = new ConfigurationInForce(log, () => {
			this.instanceTable.refresh();
		});
	}

	/** The route table of the current configuration; undefined before the first one. */
	get table(): RouteTable | undefined {
		return this.configurations.table;
	}

	/** The version of the current configuration; 0 before the first one. */
	get configurationVersion(): number {
		return this.configurations.version;
	}

	/** The highest era of the source that this process has learned of. */
	get era(): StoreEra {
		return this.knownEra;
	}

	/** The revision up to which the instances are known, in the era {@link instancesEra}. */
	get instancesRevision(): number {
		return this.instanceTable.eras.revision.revision;
	}

	/** The era in which the instances are known. */
	get instancesEra(): StoreEra {
		return this.instanceTable.eras.era;
	}

	/** The revision of the last change of the instances, in the era {@link instancesEra}. */
	get lastInstanceChange(): number {
		return this.instanceTable.eras.lastChange.revision;
	}

	/** What other processes compare with theirs, to know whether they lack a change. */
	get state(): DirectoryState {
		return describeState(this.configurationVersion, this.instanceTable.eras, this.evacuations.lastChange);
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

	/** Returns whether another process knows a change of the instances, in the present era of the source or in an earlier one, that this one lacks. */
	lacksInstances(state: DirectoryState): boolean {
		return lacksChanges(this.instanceTable.eras, state);
	}

	/** Returns what to request from another process: the differences, or all if it knows of an earlier era what this one lacks. */
	revisionsToRequest(state: DirectoryState): DirectoryRevisions {
		return chooseRevisions(this.configurationVersion, this.instanceTable.eras, state);
	}

	/** Records an era of the source. From then on, responses of earlier ones are ignored. */
	observeEra(era: StoreEra, from: string): void {
		if (era > this.knownEra) {
			this.log.info({
				event: 'store_era_risen', era, before: this.knownEra, from, instancesRevision: this.instancesRevision, configuration: this.configurationVersion,
			}, 'the directory source came back from an older copy; keeping what is known until it is written again');
			this.knownEra = era;
		}
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
		return this.available.indexOf(this.instances, zone, this.evacuations).of(service);
	}

	/**
	 * Applies changes from the source.
	 *
	 * @param context - the circumstances; by default it is unknown when versions were named
	 */
	apply({changes, era = this.knownEra}: DirectoryChanges, context: ChangeContext = unknownContext): void {
		for (const {revision, change} of changes) {
			this.applyChange(createStoreRevision(era, revision), change, context);
		}

		this.notifyListeners();
	}

	/**
	 * Applies a full read of the instances. Instances that it lacks are removed, or become unconfirmed right after an outage or a rise of the era.
	 *
	 * @param snapshot - all instances, and the revision of the read
	 * @param context - the circumstances; by default it is unknown when versions were named
	 */
	replaceInstances(snapshot: DirectoryChanges, context: ChangeContext = unknownContext): void {
		const {era = this.knownEra} = snapshot;
		const {eras} = this.instanceTable;
		const at = createStoreRevision(era, snapshot.revision);
		this.observeEra(era, 'source');
		const isRise = era > eras.era && eras.revision.revision > 0;
		// Whatever the source lists at first, its copy may have held.
		eras.enter(era, era === noEra ? 0 : snapshot.revision);
		const presentIds = new Set<string>();
		for (const {revision, change} of snapshot.changes) {
			this.applyChange(createStoreRevision(era, revision), change, context);
			if (change.kind === 'instance') {
				presentIds.add(change.instance.id);
			}
		}

		this.instanceTable.removeMissing(presentIds, at, context.isAfterOutage);
		eras.advance(at);
		if (isRise) {
			// The other processes are to learn of the era even if no entry has changed.
			eras.recordChange(at);
		}

		this.notifyListeners();
	}

	/**
	 * Raises the revision up to which the instances are known; a lower one, or one of another era, has no effect.
	 *
	 * @param revision - the revision of the newest response
	 */
	advanceInstancesRevision(revision: number, era: StoreEra = this.knownEra): void {
		this.instanceTable.eras.advance(createStoreRevision(era, revision));
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
	 * @param instancesRevision - the revision up to which the other process knows the instances; 0 requests all of them
	 * @param era - the era of that revision
	 */
	snapshot(configurationVersion: number, instancesRevision: number, era: StoreEra = noEra): DirectorySnapshot {
		const since = createStoreRevision(era, instancesRevision);
		const {revision} = this.instanceTable.eras;
		const hasNews = revision.revision > 0 && (instancesRevision === 0 || compareRevisions(revision, since) > 0);
		return {
			...this.configurations.since(configurationVersion),
			versions: this.shareableVersions,
			evacuations: this.evacuations.shareable,
			...(hasNews ? {instances: this.instanceTable.changesSince(since)} : {}),
		};
	}

	/**
	 * Returns the services of the configuration if it is newer, without routes and keys, and all named versions.
	 *
	 * @param configurationVersion - the configuration version of the requesting process
	 */
	servicesSnapshot(configurationVersion: number): DirectorySnapshot {
		return {versions: this.shareableVersions, ...this.configurations.servicesSince(configurationVersion)};
	}

	/**
	 * Merges the parts of another process's directory that are newer than the own ones.
	 *
	 * @param createdAfterMs - the earliest time of {@link clock} at which the other process may have created the message, since ages in it
	 * count from then
	 */
	mergeFromPeer(snapshot: DirectorySnapshot, createdAfterMs: number): void {
		const {configuration, configurationDelta} = snapshot;
		this.configurations.merge({configuration, configurationDelta});

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
			this.observeEra(eraOf(snapshot.instances), 'peer');
			this.instanceTable.applyChanges(snapshot.instances, createdMs);
		}

		this.notifyListeners();
	}

	private applyChange(revision: StoreRevision, change: DirectoryChange, context: ChangeContext): void {
		switch (change.kind) {
			case 'configuration': {
				this.configurations.set(change.configuration, 'source');
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
					event: 'entry_unreadable', key: change.key, reason: change.reason, ...revision,
				}, 'ignoring a directory entry that cannot be read');
			}
		}
	}

	/** Calls the listeners if anything has changed since the last time. */
	private notifyListeners(): void {
		const state = [this.table, this.instances, this.namedVersions.changes, this.evacuations.changes] as const;
		if (state.every((part, index) => part === this.notifiedState[index])) {
			return;
		}

		this.notifiedState = state;
		for (const listener of this.listeners) {
			listener();
		}
	}
}
