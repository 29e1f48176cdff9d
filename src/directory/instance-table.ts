/** The instances that may be alive, as the source, peers and the processes beside engines tell them. */
import type {Logger} from '../runtime/logger.ts';
import type {HeldModel, Instance} from './directory-types.ts';

/**
 * How long an instance counts whose entry was missing after an outage of the source, in milliseconds.
 *
 * Living ones register again soon; those that left get no call for longer than leaving ones may.
 */
export const confirmationTimeoutMs = 1600;

/** Most keys whose last revision is remembered. */
const maxRevisions = 20_000;

type ReportedModel = {readonly startedAtMs: number; readonly held: HeldModel};

type KnownInstance = {readonly instance: Instance; readonly revision: number; missingSinceMs?: number};

/** Holds each instance at its newest revision; an older one never comes back. */
export class InstanceTable {
	/** Revision up to which instances are known. */
	revision = 0;
	private readonly known = new Map<string, KnownInstance>();
	private readonly revisions = new Map<string, number>();
	/** What engines are told to hold, by their address. */
	private readonly reportedByAddress = new Map<string, ReportedModel>();
	/** Changes up to this revision are in the table already. */
	private revisionFloor = 0;

	/** @param log - receives each change */
	constructor(private readonly log: Logger) {}

	/** All instances that may be alive; of several at one address only the one that started last can be. */
	get instances(): readonly Instance[] {
		const nowMs = performance.now();
		const candidates = [...this.known.values()].filter(known => mayBeAlive(known, nowMs)).map(({instance}) => instance);
		const latestStarts = new Map<string, number>();
		for (const {address, startedAtMs} of candidates) {
			latestStarts.set(address, Math.max(startedAtMs, latestStarts.get(address) ?? startedAtMs));
		}

		return candidates.filter(({address, startedAtMs}) => latestStarts.get(address) === startedAtMs);
	}

	/**
	 * Returns an instance that may be alive.
	 *
	 * @param id - its id
	 */
	get(id: string): Instance | undefined {
		const known = this.known.get(id);
		return known && mayBeAlive(known, performance.now()) ? known.instance : undefined;
	}

	/**
	 * Takes an entry over, unless a newer one is known.
	 *
	 * @param instance - the entry
	 * @param revision - when it was written
	 */
	put(instance: Instance, revision: number): void {
		if (this.acceptRevision(instance.id, revision)) {
			this.store(instance, revision, 'source');
		}
	}

	/**
	 * Takes the removal of an entry over, unless a newer one is known.
	 *
	 * @param id - the instance
	 * @param revision - when it was removed
	 * @param isAfterOutage - whether it may have lapsed although the instance lives
	 */
	remove(id: string, revision: number, isAfterOutage: boolean): void {
		if (this.acceptRevision(id, revision)) {
			this.drop(id, revision, isAfterOutage);
		}
	}

	/**
	 * Drops the instances that a whole reading lacks.
	 *
	 * @param presentIds - ids in the reading
	 * @param revision - the revision of the reading
	 * @param isAfterOutage - whether entries may have lapsed although their instances live
	 */
	removeMissing(presentIds: ReadonlySet<string>, revision: number, isAfterOutage: boolean): void {
		for (const [id, known] of this.known) {
			if (!presentIds.has(id) && known.revision <= revision) {
				this.drop(id, revision, isAfterOutage);
			}
		}
	}

	/**
	 * Takes the whole table of a peer over that knows a newer revision.
	 *
	 * @param instances - the peer's instances
	 * @param revision - up to which it knows them
	 */
	replaceAll(instances: readonly Instance[], revision: number): void {
		const ids = new Set(instances.map(({id}) => id));
		for (const id of [...this.known.keys()].filter(known => !ids.has(known))) {
			this.known.delete(id);
			this.log.info({
				event: 'instance_gone', instance: id, revision, from: 'peer',
			}, 'instance gone');
		}

		for (const instance of instances) {
			this.store(instance, revision, 'peer');
		}

		this.revisionFloor = Math.max(this.revisionFloor, revision);
		this.revision = revision;
	}

	/**
	 * Takes over what the process beside an engine tells of it; the published list follows later.
	 *
	 * @param address - the engine
	 * @param startedAtMs - its start, in milliseconds since 1970
	 * @param held - what it holds
	 */
	recordHeldModel(address: string, startedAtMs: number, held: HeldModel): void {
		this.reportedByAddress.set(address, {startedAtMs, held});
		const known = [...this.known.values()].find(({instance}) => instance.address === address);
		if (known) {
			this.store(known.instance, known.revision, 'stager');
		}
	}

	private acceptRevision(id: string, revision: number): boolean {
		if (revision <= Math.max(this.revisionFloor, this.revisions.get(id) ?? 0)) {
			return false;
		}

		if (this.revisions.size >= maxRevisions) {
			this.revisionFloor = Math.max(this.revisionFloor, ...this.revisions.values());
			this.revisions.clear();
		}

		this.revisions.set(id, revision);
		return true;
	}

	private store(published: Instance, revision: number, from: string): void {
		const instance = withReportedModel(published, this.reportedByAddress.get(published.address));
		const before = this.known.get(instance.id)?.instance;
		this.known.set(instance.id, {instance, revision});
		if (before?.isDraining !== instance.isDraining || before.startedAtMs !== instance.startedAtMs || JSON.stringify(before.held) !== JSON.stringify(instance.held)) {
			const {id, service, address, zone, isDraining, held} = instance;
			this.log.info({
				event: 'instance_seen', instance: id, service, address, zone, isDraining, held, revision, from,
			}, 'instance registered or changed');
		}
	}

	private drop(id: string, revision: number, isAfterOutage: boolean): void {
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
}

/** Versions in an engine only grow during one run of it, so that the greater one is the newer. */
function withReportedModel(instance: Instance, reported: ReportedModel | undefined): Instance {
	const isSameRun = reported?.startedAtMs === instance.startedAtMs;
	const publishedVersion = instance.held.find(({model}) => model === reported?.held.model)?.version ?? 0;
	return reported && isSameRun && reported.held.version > publishedVersion
		? {...instance, held: [...instance.held.filter(({model}) => model !== reported.held.model), reported.held]}
		: instance;
}

function mayBeAlive({missingSinceMs}: KnownInstance, nowMs: number): boolean {
	return missingSinceMs === undefined || nowMs - missingSinceMs < confirmationTimeoutMs;
}
