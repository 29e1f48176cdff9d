/** The table of instances that may still run, fed by the directory source, by peers and by the stagers of engines. */
import {isDeepStrictEqual} from 'node:util';
import type {ServiceId} from '../ids/service-id.ts';
import type {Logger} from '../runtime/logger.ts';
import {withColdEnd, withColdLeft} from './cold-entry.ts';
import type {HeldModel, Instance, InstanceChanges} from './directory-types.ts';
import {RemovalLog} from './removal-log.ts';

/**
 * How long an instance is kept after its entry was missing at the end of an outage of the source, in milliseconds.
 *
 * Running instances soon register again. The limit bounds how long an instance that has left is still sent calls, to no longer than a leaving one may be.
 */
export const confirmationTimeoutMs = 1600;

/** Maximum number of instances whose last revision is stored. */
const maxRevisions = 20_000;

type ReportedModel = {readonly startedAtMs: number; readonly held: HeldModel};

type KnownInstance = {
	readonly instance: Instance;
	readonly revision: number;
	/** When a read after an outage first lacked the entry, and the revision of the read. */
	missing?: {readonly sinceMs: number; readonly revision: number};
};

/** Holds each instance at its newest revision and ignores changes with an older one. */
export class InstanceTable {
	/** The revision up to which the instances are known. */
	revision = 0;
	/** The revision of the last change. */
	lastChange = 0;
	private readonly removals = new RemovalLog();
	private readonly known = new Map<string, KnownInstance>();
	private readonly revisions = new Map<string, number>();
	/** Loaded models that stagers reported, by address of the engine. */
	private readonly reportedByAddress = new Map<string, ReportedModel>();
	/** Changes up to this revision are ignored, since the table already contains them. */
	private revisionFloor = 0;
	/** The list of running instances, until an entry changes or an unconfirmed one times out. */
	private running: {readonly untilMs: number; readonly list: readonly Instance[]} | undefined;

	/** @param isKnownService - returns whether the configuration names a service; an entry of another writer may name any */
	constructor(private readonly log: Logger, private readonly isKnownService: (service: ServiceId) => boolean = () => true) {}

	/**
	 * All instances of known services that may still run; the same array until one changes. Of several with the same address, only the one
	 * that started last can run.
	 */
	get instances(): readonly Instance[] {
		const nowMs = performance.now();
		if (!this.running || nowMs >= this.running.untilMs) {
			this.running = {untilMs: this.nextTimeoutMs(nowMs), list: this.listRunning(nowMs)};
		}

		return this.running.list;
	}

	/** Applies a change of the known services. */
	refresh(): void {
		this.running = undefined;
	}

	/** Returns the instance with this id if it may still run. */
	get(id: string): Instance | undefined {
		const known = this.known.get(id);
		return known && mayBeAlive(known, performance.now()) ? known.instance : undefined;
	}

	/**
	 * Adds or updates an instance, unless a newer revision is known.
	 *
	 * @param revision - the revision at which the entry was written
	 * @param from - who told of the entry, for the log
	 */
	put(instance: Instance, revision: number, from = 'source'): void {
		if (!this.acceptRevision(instance.id, revision)) {
			return;
		}

		this.removals.forget(instance.id);
		const known = this.known.get(instance.id);
		const timed = withColdEnd(instance, known?.instance, performance.now());
		const merged = withReportedModel(timed, this.reportedByAddress.get(instance.address));
		if (known && !known.missing && isDeepStrictEqual(known.instance, merged)) {
			// Only fields of the entry that are not used here have changed, so that other processes need not fetch it again.
			this.known.set(instance.id, {instance: known.instance, revision});
			return;
		}

		this.lastChange = Math.max(this.lastChange, revision);
		this.store(merged, revision, from);
	}

	/**
	 * Removes an instance, unless a newer revision is known.
	 *
	 * @param id - the id of the instance
	 * @param revision - the revision at which the entry was removed
	 * @param isAfterOutage - whether the entry may have expired although the instance still runs
	 * @param from - who told of the removal, for the log
	 */
	remove(id: string, revision: number, isAfterOutage: boolean, from = 'source'): void {
		if (this.acceptRevision(id, revision)) {
			this.drop(id, revision, isAfterOutage, from);
		}
	}

	/**
	 * Removes the instances that a full read lacks.
	 *
	 * @param presentIds - the ids of the instances in the read
	 * @param revision - the revision of the read
	 * @param isAfterOutage - whether entries may have expired although their instances still run
	 */
	removeMissing(presentIds: ReadonlySet<string>, revision: number, isAfterOutage: boolean): void {
		this.removals.startAt(revision);
		for (const [id, known] of this.known) {
			if (!presentIds.has(id) && known.revision <= revision) {
				this.drop(id, revision, isAfterOutage);
			}
		}
	}

	/**
	 * Returns what changed after a revision; the whole list if that is not known any more.
	 *
	 * @param since - the revision up to which the requesting process knows the instances; 0 if it knows none
	 */
	changesSince(since: number): InstanceChanges {
		const removed = since === 0 ? undefined : this.removals.since(since);
		const after = removed ? since : 0;
		const nowMs = performance.now();
		const known = [...this.known.values()];
		const alive = known.filter(item => mayBeAlive(item, nowMs));
		const timedOut = known.filter(item => !mayBeAlive(item, nowMs) && item.missing!.revision > after);
		return {
			since: removed ? since : undefined,
			revision: this.revision,
			instances: alive.filter(({revision}) => revision > after).map(({instance, revision}) => ({...withColdLeft(instance, nowMs), revision})),
			gone: [...removed ?? [], ...timedOut.map(({instance, missing}) => ({id: instance.id, revision: missing!.revision}))],
			unconfirmed: alive.flatMap(({instance, missing}) => (missing && missing.revision > after ? [{id: instance.id, revision: missing.revision, ageMs: nowMs - missing.sinceMs}] : [])),
		};
	}

	/**
	 * Applies the changes that a peer knows, unless they leave a gap to what this process knows.
	 *
	 * @param createdAfterMs - the earliest monotonic time at which the peer may have created the message, since ages in it count from then
	 */
	applyChanges(changes: InstanceChanges, createdAfterMs: number): void {
		if (changes.revision <= this.revision || (changes.since ?? 0) > this.revision) {
			return;
		}

		if (changes.since === undefined) {
			this.removeUnlisted(changes);
		}

		for (const {revision, ...instance} of changes.instances) {
			this.put(instance, revision, 'peer');
		}

		for (const {id, revision} of changes.gone) {
			this.remove(id, revision, false, 'peer');
		}

		for (const {id, revision, ageMs} of changes.unconfirmed) {
			this.markMissing(id, revision, createdAfterMs - ageMs);
		}

		this.revision = changes.revision;
	}

	/**
	 * Records the model that an engine has loaded, as reported by its stager; the directory lists it later.
	 *
	 * @param address - the address of the engine
	 * @param startedAtMs - the start of the engine, in milliseconds since 1970
	 * @param held - the loaded layers of the model
	 */
	recordHeldModel(address: string, startedAtMs: number, held: HeldModel): void {
		this.reportedByAddress.set(address, {startedAtMs, held});
		const known = [...this.known.values()].find(({instance}) => instance.address === address && instance.startedAtMs === startedAtMs);
		if (known) {
			// The stager may run on after its engine has left, so its word confirms no instance.
			this.store(withReportedModel(known.instance, this.reportedByAddress.get(address)), known.revision, 'stager', known.missing);
		}
	}

	/** Returns when the next unconfirmed instance times out, in milliseconds of the monotonic clock; infinite if there is none. */
	private nextTimeoutMs(nowMs: number): number {
		const timeouts = [...this.known.values()].flatMap(({missing}) => (missing ? [missing.sinceMs + confirmationTimeoutMs] : []));
		return Math.min(...timeouts.filter(atMs => atMs > nowMs));
	}

	private listRunning(nowMs: number): readonly Instance[] {
		const candidates = [...this.known.values()].filter(known => mayBeAlive(known, nowMs)).map(({instance}) => instance).filter(({service}) => this.isKnownService(service));
		const latestStarts = new Map<string, number>();
		for (const {address, startedAtMs} of candidates) {
			latestStarts.set(address, Math.max(startedAtMs, latestStarts.get(address) ?? startedAtMs));
		}

		return candidates.filter(({address, startedAtMs}) => latestStarts.get(address) === startedAtMs);
	}

	/** Returns whether a change is newer than the last one of the instance, and stores its revision if so. */
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

	private store(instance: Instance, revision: number, from: string, missing?: KnownInstance['missing']): void {
		const before = this.known.get(instance.id)?.instance;
		this.known.set(instance.id, {instance, revision, ...(missing ? {missing} : {})});
		this.running = undefined;
		const isColdnessNew = before?.coldUntilMs !== instance.coldUntilMs;
		if (isColdnessNew || before?.isDraining !== instance.isDraining || before.startedAtMs !== instance.startedAtMs || JSON.stringify(before.held) !== JSON.stringify(instance.held)) {
			const {id, service, address, zone, isDraining, held} = instance;
			const {coldLeftMs} = withColdLeft(instance, performance.now());
			this.log.info({
				event: 'instance_seen', instance: id, service, address, zone, isDraining, held, coldLeftMs, revision, from,
			}, 'instance registered or changed');
		}
	}

	private drop(id: string, revision: number, isAfterOutage: boolean, from = 'source'): void {
		const known = this.known.get(id);
		this.lastChange = Math.max(this.lastChange, revision);
		if (isAfterOutage && known && !known.instance.isDraining) {
			this.markMissing(id, revision, performance.now());
			return;
		}

		this.removals.add(id, revision);
		this.delete(id, revision, from);
	}

	private markMissing(id: string, revision: number, sinceMs: number): void {
		const known = this.known.get(id);
		if (known === undefined || known.missing !== undefined || known.revision >= revision) {
			return;
		}

		known.missing = {sinceMs, revision};
		this.lastChange = Math.max(this.lastChange, revision);
		this.running = undefined;
		this.log.info({event: 'instance_unconfirmed', instance: id, revision}, 'instance not listed after an outage; keeping it until confirmed or timed out');
	}

	/** Removes the instances that the whole list of a peer lacks. */
	private removeUnlisted({instances, revision}: InstanceChanges): void {
		const listed = new Set(instances.map(({id}) => id));
		for (const id of [...this.known.keys()].filter(known => !listed.has(known))) {
			this.delete(id, revision, 'peer');
		}

		this.removals.restart(revision);
	}

	private delete(id: string, revision: number, from: string): void {
		if (this.known.delete(id)) {
			this.running = undefined;
			this.log.info({
				event: 'instance_gone', instance: id, revision, from,
			}, 'instance removed');
		}
	}
}

/** Merges the reported model into the published instance. Versions only increase during one run of an engine, so the higher version is the newer one. */
function withReportedModel(instance: Instance, reported: ReportedModel | undefined): Instance {
	const isSameRun = reported?.startedAtMs === instance.startedAtMs;
	const publishedVersion = instance.held.find(({model}) => model === reported?.held.model)?.version ?? 0;
	return reported && isSameRun && reported.held.version > publishedVersion
		? {...instance, held: [...instance.held.filter(({model}) => model !== reported.held.model), reported.held]}
		: instance;
}

function mayBeAlive({missing}: KnownInstance, nowMs: number): boolean {
	return missing === undefined || nowMs - missing.sinceMs < confirmationTimeoutMs;
}
