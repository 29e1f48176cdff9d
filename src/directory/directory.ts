/** What this process believes of the published configuration, the versions of weights and the instances. */
import type {ServiceId} from '../ids/service-id.ts';
import type {Logger} from '../runtime/logger.ts';
import {RouteTable} from '../forwarding/route-table.ts';
import type {
	DirectoryChange, DirectoryChanges, Instance, PublishedConfiguration,
} from './directory-types.ts';

/**
 * How long an instance counts whose entry was missing after an outage of the source, in milliseconds.
 *
 * Living ones register again soon; those that left get no call for longer than leaving ones may.
 */
export const confirmMs = 1600;

/** Namings of a version that differ by less are the same, in milliseconds; messages between processes take time. */
const sameNamingMs = 100;

/** Versions of a model that are remembered. */
const maxNamings = 4;

/** Most keys whose last revision is remembered. */
const maxRevisions = 20_000;

/** How changes were learned. */
export type ChangeContext = {
	/** The process has just started, so that versions may have been named long ago. */
	readonly isFirstReading: boolean;
	/** These are the first changes after an outage of the source, in which entries may have lapsed although their instances live. */
	readonly isAfterOutage: boolean;
};

const liveChanges: ChangeContext = {isFirstReading: false, isAfterOutage: false};

type KnownInstance = {readonly instance: Instance; readonly revision: number; missingSinceMs?: number};

/** A version of weights and since when it is named; `isAssumed` when this process found it named already. */
export type KnownVersion = {readonly version: number; readonly sinceMs: number; readonly isAssumed: boolean};

/** How long ago a version was named that a starting process finds, in milliseconds: long enough that older ones soon stop. */
const assumedAgeMs = 5000;

/** The directory as one process passes it on to another. */
export type DirectorySnapshot = {
	readonly configuration?: PublishedConfiguration;
	readonly versions: ReadonlyArray<{readonly model: string; readonly version: number; readonly ageMs: number; readonly isAssumed: boolean}>;
	readonly instances?: readonly Instance[];
	readonly instancesRevision: number;
};

/** Holds the newest state; nothing in it ever goes back to an older revision. */
export class Directory {
	/** Revision up to which instances are known. */
	instancesRevision = 0;
	private routes: RouteTable | undefined;
	private readonly known = new Map<string, KnownInstance>();
	private readonly revisions = new Map<string, number>();
	private readonly named = new Map<string, readonly KnownVersion[]>();
	private readonly listeners = new Set<() => void>();
	/** Changes of instances up to this revision are in the state already. */
	private floor = 0;

	/** @param log - receives what is taken and refused */
	constructor(private readonly log: Logger) {}

	/** The lookups of the configuration in force; undefined before the first one. */
	get table(): RouteTable | undefined {
		return this.routes;
	}

	/** The version of the configuration in force; 0 before the first one. */
	get configurationVersion(): number {
		return this.routes?.configuration.version ?? 0;
	}

	/** The newest version of weights by model. */
	get versions(): ReadonlyMap<string, KnownVersion> {
		return new Map([...this.named].map(([model, versions]) => [model, versions.at(-1)!]));
	}

	/**
	 * Returns all versions of a model that were named, oldest first.
	 *
	 * @param model - the model
	 */
	versionsOf(model: string): readonly KnownVersion[] {
		return this.named.get(model) ?? [];
	}

	/** All instances that may be alive. */
	get instances(): readonly Instance[] {
		const nowMs = performance.now();
		return [...this.known.values()].filter(known => isPresent(known, nowMs)).map(({instance}) => instance);
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
		const known = this.known.get(id);
		return known && isPresent(known, performance.now()) ? known.instance : undefined;
	}

	/**
	 * Returns the instances of a service that take new calls.
	 *
	 * @param service - the service
	 */
	takingCalls(service: ServiceId): Instance[] {
		return this.instances.filter(instance => instance.service === service && !instance.isDraining);
	}

	/**
	 * Takes changes over.
	 *
	 * @param changes - what changed and up to which revision
	 * @param context - how the changes were learned
	 */
	apply({changes}: DirectoryChanges, context: ChangeContext = liveChanges): void {
		for (const {revision, change} of changes) {
			this.applyOne(revision, change, context);
		}

		this.changed();
	}

	/**
	 * Takes a whole reading of the instances over; instances that it lacks are gone, or unconfirmed right after an outage.
	 *
	 * @param reading - all instances and the revision of the reading
	 * @param context - how the reading was learned
	 */
	replaceInstances(reading: DirectoryChanges, context: ChangeContext = liveChanges): void {
		const present = new Set<string>();
		for (const {revision, change} of reading.changes) {
			this.applyOne(revision, change, context);
			if (change.kind === 'instance') {
				present.add(change.instance.id);
			}
		}

		for (const [id, {revision}] of this.known) {
			if (!present.has(id) && revision <= reading.revision) {
				this.remove(id, reading.revision, context);
			}
		}

		this.noteInstancesRevision(reading.revision);
		this.changed();
	}

	/**
	 * Raises the revision up to which instances are known.
	 *
	 * @param revision - the revision of the newest answer
	 */
	noteInstancesRevision(revision: number): void {
		this.instancesRevision = Math.max(this.instancesRevision, revision);
	}

	/**
	 * Returns what a process lacks that knows the given state.
	 *
	 * @param configurationVersion - the version that it has in force
	 * @param instancesRevision - the revision up to which it knows the instances
	 */
	snapshot(configurationVersion: number, instancesRevision: number): DirectorySnapshot {
		const nowMs = performance.now();
		return {
			...(this.configurationVersion > configurationVersion ? {configuration: this.routes?.configuration} : {}),
			versions: [...this.named].flatMap(([model, versions]) => versions.map(({version, sinceMs, isAssumed}) => ({
				model, version, ageMs: nowMs - sinceMs, isAssumed,
			}))),
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
		return {
			...rest, ...(configuration
				? {
					configuration: {
						version: configuration.version, limits: configuration.limits, services: configuration.services, routes: [],
					},
				}
				: {}),
		};
	}

	/**
	 * Takes what another process knows over, where it is newer.
	 *
	 * @param snapshot - the other process's answer
	 */
	adopt(snapshot: DirectorySnapshot): void {
		if (snapshot.configuration) {
			this.setConfiguration(snapshot.configuration, 'peer');
		}

		for (const {model, version, ageMs, isAssumed} of snapshot.versions) {
			this.setVersion(model, {version, sinceMs: performance.now() - ageMs, isAssumed});
		}

		if (snapshot.instances && snapshot.instancesRevision > this.instancesRevision) {
			this.adoptInstances(snapshot.instances, snapshot.instancesRevision);
		}

		this.changed();
	}

	private adoptInstances(instances: readonly Instance[], revision: number): void {
		const ids = new Set(instances.map(({id}) => id));
		for (const id of [...this.known.keys()].filter(known => !ids.has(known))) {
			this.known.delete(id);
			this.log.info({
				event: 'instance_gone', instance: id, revision, from: 'peer',
			}, 'instance gone');
		}

		for (const instance of instances) {
			this.setInstance(instance, revision, 'peer');
		}

		this.floor = Math.max(this.floor, revision);
		this.instancesRevision = revision;
	}

	private applyOne(revision: number, change: DirectoryChange, context: ChangeContext): void {
		switch (change.kind) {
			case 'configuration': {
				this.setConfiguration(change.configuration, 'source');
				return;
			}

			case 'version': {
				const ageMs = context.isFirstReading ? assumedAgeMs : 0;
				this.setVersion(change.model, {version: change.version, sinceMs: performance.now() - ageMs, isAssumed: context.isFirstReading});
				return;
			}

			case 'instance': {
				if (this.isNews(change.instance.id, revision)) {
					this.setInstance(change.instance, revision, 'source');
				}

				return;
			}

			case 'instance-gone': {
				if (this.isNews(change.id, revision)) {
					this.remove(change.id, revision, context);
				}

				return;
			}

			case 'unreadable': {
				this.log.warn({
					event: 'entry_unreadable', key: change.key, reason: change.reason, revision,
				}, 'an entry of the directory cannot be used');
			}
		}
	}

	private isNews(id: string, revision: number): boolean {
		if (revision <= Math.max(this.floor, this.revisions.get(id) ?? 0)) {
			return false;
		}

		if (this.revisions.size >= maxRevisions) {
			this.floor = Math.max(this.floor, ...this.revisions.values());
			this.revisions.clear();
		}

		this.revisions.set(id, revision);
		return true;
	}

	private setConfiguration(configuration: PublishedConfiguration, from: string): void {
		const before = this.configurationVersion;
		if (configuration.version > before) {
			this.routes = new RouteTable(configuration);
			this.log.info({
				event: 'configuration_taken', version: configuration.version, before, from, routes: configuration.routes.length,
			}, 'configuration in force');
		} else if (configuration.version < before) {
			this.log.warn({
				event: 'configuration_refused', version: configuration.version, inForce: before, from,
			}, 'an older configuration stays out of force');
		}
	}

	/** An observed naming replaces an assumed one; of two alike the earlier counts, since a bound runs from it. */
	private setVersion(model: string, naming: KnownVersion): void {
		const versions = this.named.get(model) ?? [];
		const known = versions.find(({version}) => version === naming.version);
		const isBetter = !known || (known.isAssumed && !naming.isAssumed) || (known.isAssumed === naming.isAssumed && naming.sinceMs < known.sinceMs - sameNamingMs);
		if (!isBetter) {
			return;
		}

		const others = versions.filter(({version}) => version !== naming.version);
		this.named.set(model, [...others, naming].toSorted((a, b) => a.version - b.version).slice(-maxNamings));
		this.log.info({
			event: 'version_named', model, version: naming.version, newestBefore: versions.at(-1)?.version, ageMs: Math.round(performance.now() - naming.sinceMs), isAssumed: naming.isAssumed,
		}, 'version of weights named');
	}

	private setInstance(instance: Instance, revision: number, from: string): void {
		const before = this.known.get(instance.id)?.instance;
		this.known.set(instance.id, {instance, revision});
		if (before?.isDraining !== instance.isDraining || before.startedAtMs !== instance.startedAtMs || JSON.stringify(before.held) !== JSON.stringify(instance.held)) {
			const {id, service, address, zone, isDraining, held} = instance;
			this.log.info({
				event: 'instance_seen', instance: id, service, address, zone, isDraining, held, revision, from,
			}, 'instance registered or changed');
		}
	}

	private remove(id: string, revision: number, {isAfterOutage}: ChangeContext): void {
		const known = this.known.get(id);
		if (!known) {
			return;
		}

		if (isAfterOutage && !known.instance.isDraining) {
			known.missingSinceMs ??= performance.now();
			this.log.info({event: 'instance_unconfirmed', instance: id, revision}, 'instance missing after an outage');
			return;
		}

		this.known.delete(id);
		this.log.info({
			event: 'instance_gone', instance: id, revision, from: 'source',
		}, 'instance gone');
	}

	private changed(): void {
		for (const listener of this.listeners) {
			listener();
		}
	}
}

function isPresent({missingSinceMs}: KnownInstance, nowMs: number): boolean {
	return missingSinceMs === undefined || nowMs - missingSinceMs < confirmMs;
}
