/** What this process believes of the published configuration, the versions of weights and the instances. */
import type {ServiceId} from '../ids/service-id.ts';
import type {Logger} from '../runtime/logger.ts';
import {RouteTable} from '../forwarding/route-table.ts';
import type {
	DirectoryChange, DirectoryChanges, Instance, PublishedConfiguration,
} from './directory-types.ts';

/** How long an instance counts that was missing after an outage of the source, in milliseconds; living ones register again within 2 s. */
export const confirmMs = 2500;

/** Most keys whose last revision is remembered. */
const maxRevisions = 20_000;

type KnownInstance = {readonly instance: Instance; readonly revision: number; missingSinceMs?: number};

/** A version of weights and since when it is known. */
export type KnownVersion = {readonly version: number; readonly sinceMs: number};

/** The directory as one process passes it on to another. */
export type DirectorySnapshot = {
	readonly configuration?: PublishedConfiguration;
	readonly versions: ReadonlyArray<{readonly model: string; readonly version: number; readonly ageMs: number}>;
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
	private readonly knownVersions = new Map<string, KnownVersion>();
	private readonly listeners = new Set<() => void>();
	/** Changes of instances up to this revision are in the state already. */
	private floor = 0;
	private graceUntilMs = 0;

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

	/** Versions of weights by model. */
	get versions(): ReadonlyMap<string, KnownVersion> {
		return this.knownVersions;
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

	/** Notes that the source answers again after an outage: entries may have lapsed meanwhile although their instances live. */
	noteRegained(): void {
		this.graceUntilMs = performance.now() + confirmMs;
	}

	/**
	 * Takes changes over.
	 *
	 * @param changes - what changed and up to which revision
	 */
	apply({changes}: DirectoryChanges): void {
		for (const {revision, change} of changes) {
			this.applyOne(revision, change);
		}

		this.changed();
	}

	/**
	 * Takes a whole reading of the instances over; instances that it lacks are gone, or unconfirmed right after an outage.
	 *
	 * @param reading - all instances and the revision of the reading
	 */
	replaceInstances(reading: DirectoryChanges): void {
		const present = new Set<string>();
		for (const {revision, change} of reading.changes) {
			this.applyOne(revision, change);
			if (change.kind === 'instance') {
				present.add(change.instance.id);
			}
		}

		for (const [id, {revision}] of this.known) {
			if (!present.has(id) && revision <= reading.revision) {
				this.remove(id, reading.revision);
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
			versions: [...this.knownVersions].map(([model, {version, sinceMs}]) => ({model, version, ageMs: nowMs - sinceMs})),
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

		for (const {model, version, ageMs} of snapshot.versions) {
			this.setVersion(model, version, performance.now() - ageMs);
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

	private applyOne(revision: number, change: DirectoryChange): void {
		switch (change.kind) {
			case 'configuration': {
				this.setConfiguration(change.configuration, 'source');
				return;
			}

			case 'version': {
				this.setVersion(change.model, change.version, performance.now());
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
					this.remove(change.id, revision);
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

	private setVersion(model: string, version: number, sinceMs: number): void {
		const known = this.knownVersions.get(model);
		if (!known || version > known.version || (version === known.version && sinceMs < known.sinceMs)) {
			this.knownVersions.set(model, {version, sinceMs});
			this.log.info({
				event: 'version_named', model, version, before: known?.version, ageMs: Math.round(performance.now() - sinceMs),
			}, 'version of weights named');
		}
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

	private remove(id: string, revision: number): void {
		const known = this.known.get(id);
		if (!known) {
			return;
		}

		if (performance.now() < this.graceUntilMs && !known.instance.isDraining) {
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
