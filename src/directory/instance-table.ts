/** The table of instances that may still run, fed by the directory source, by peers and by the stagers of engines. */
import {isDeepStrictEqual} from 'node:util';
import type {ServiceId} from '../ids/service-id.ts';
import type {Logger} from '../runtime/logger.ts';
import {withColdEnd, withColdLeft} from './cold-entry.ts';
import type {HeldModel, Instance, InstanceChanges} from './directory-types.ts';
import {EraHistory} from './era-history.ts';
import {
	type KnownInstance, mayBeAlive, missingAfterEntry, timesOutAtMs,
} from './known-instance.ts';
import {type ReportedModel, withReportedModel} from './instance-states.ts';
import {RemovalLog} from './removal-log.ts';
import {
	compareRevisions, eraOf, noStoreRevision, type StoreRevision,
} from './store-revision.ts';
import {WrittenRevisions} from './written-revisions.ts';

/** Holds each instance at its newest revision and ignores changes with an older one. */
export class InstanceTable {
	/** How far the instances are known. */
	readonly eras = new EraHistory();
	private readonly removals = new RemovalLog();
	private readonly known = new Map<string, KnownInstance>();
	private readonly written = new WrittenRevisions(this.eras);
	/** Loaded models that stagers reported, by address of the engine. */
	private readonly reportedByAddress = new Map<string, ReportedModel>();
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
	put(instance: Instance, revision: StoreRevision, from = 'source'): void {
		if (!this.accept(instance.id, revision, instance)) {
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

		this.eras.recordChange(revision);
		this.store(merged, revision, from, missingAfterEntry(known, revision));
	}

	/**
	 * Removes an instance, unless a newer revision is known.
	 *
	 * @param id - the id of the instance
	 * @param revision - the revision at which the entry was removed
	 * @param isAfterOutage - whether the entry may have expired although the instance still runs
	 * @param from - who told of the removal, for the log
	 */
	remove(id: string, revision: StoreRevision, isAfterOutage: boolean, from = 'source'): void {
		if (this.accept(id, revision)) {
			this.drop(id, revision, isAfterOutage, from);
		}
	}

	/**
	 * Removes the instances that a full read lacks. Those that were last written in an earlier era become unconfirmed, since the source
	 * may have lost their entries.
	 *
	 * @param presentIds - the ids of the instances in the read
	 * @param revision - the revision of the read
	 * @param isAfterOutage - whether entries may have expired although their instances still run
	 */
	removeMissing(presentIds: ReadonlySet<string>, revision: StoreRevision, isAfterOutage: boolean): void {
		this.removals.startAt(revision);
		const nowMs = performance.now();
		for (const [id, known] of this.known) {
			if (presentIds.has(id)) {
				this.confirm(id, revision);
			} else if (compareRevisions(known.revision, revision) <= 0) {
				const mayBeLost = eraOf(known.revision) < eraOf(revision) && mayBeAlive(known, nowMs);
				this.drop(id, revision, isAfterOutage || mayBeLost);
			}
		}
	}

	/**
	 * Returns what changed after a revision; the whole list if that is not known any more, or if it is of another era.
	 *
	 * @param since - the revision up to which the requesting process knows the instances; 0 if it knows none
	 */
	changesSince(since: StoreRevision): InstanceChanges {
		const {era, revision, copyRevision, earlier} = this.eras;
		const isOtherEra = eraOf(since) !== era;
		const removed = since.revision === 0 || isOtherEra ? undefined : this.removals.since(since);
		const after = removed ? since : noStoreRevision;
		const isAfter = (at: StoreRevision) => compareRevisions(at, after) > 0;
		const nowMs = performance.now();
		const known = [...this.known.values()];
		const alive = known.filter(item => mayBeAlive(item, nowMs));
		const timedOut = known.filter(item => !mayBeAlive(item, nowMs) && isAfter(item.missing!.revision));
		// The copy that a source came back from may list instances that have left.
		const listed = removed ?? (isOtherEra || earlier.length > 0 ? this.removals.latest : []);
		return {
			since: removed ? since.revision : undefined,
			...revision,
			instances: alive.filter(item => isAfter(item.revision)).map(({instance, revision}) => ({...withColdLeft(instance, nowMs), ...revision})),
			gone: [...listed, ...timedOut.map(({instance, missing}) => ({id: instance.id, ...missing!.revision}))],
			unconfirmed: alive.flatMap(({instance, missing}) => (missing && isAfter(missing.revision) ? [{id: instance.id, ...missing.revision, ageMs: nowMs - missing.sinceMs}] : [])),
			...(copyRevision > 0 ? {copyRevision} : {}),
			...(earlier.length > 0 ? {earlier} : {}),
		};
	}

	/**
	 * Applies the changes that a peer knows, unless they leave a gap to what this process knows. Of a list that is not newer, only what
	 * this process does not know of earlier eras is applied.
	 *
	 * @param createdAfterMs - the earliest monotonic time at which the peer may have created the message, since ages in it count from then
	 */
	applyChanges(changes: InstanceChanges, createdAfterMs: number): void {
		const {eras} = this;
		const {since, revision, era} = changes;
		const isNewer = compareRevisions(changes, eras.revision) > 0;
		if (since !== undefined && (!isNewer || eraOf(changes) !== eras.era || since > eras.revision.revision)) {
			return;
		}

		const isNews = (at: StoreRevision) => isNewer || !eras.covers(at);
		const news = {
			instances: changes.instances.filter(item => isNews(item)), gone: changes.gone.filter(item => isNews(item)), unconfirmed: changes.unconfirmed.filter(item => isNews(item)),
		};
		this.enterEraOf(changes);
		if (isNewer && since === undefined) {
			this.removeUnlisted(changes, createdAfterMs);
		}

		if (isNewer) {
			eras.advance({era, revision});
		}

		this.applyNews(news, isNewer, createdAfterMs);
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
		const timeouts = [...this.known.values()].map(known => timesOutAtMs(known));
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

	/** Takes the era of a message, and what it tells of earlier ones. */
	private enterEraOf({era, revision, copyRevision = 0, earlier = [], since}: InstanceChanges): void {
		const {eras} = this;
		const its = eraOf({era, revision});
		const isRise = its > eras.era && eras.revision.revision > 0;
		eras.enter(its, copyRevision);
		if (since === undefined) {
			eras.addEarlier([...earlier, {
				era: its, copyRevision, revision, lastChange: revision,
			}]);
		}

		if (isRise) {
			eras.recordChange({era, revision});
		}
	}

	private applyNews({instances, gone, unconfirmed}: Pick<InstanceChanges, 'instances' | 'gone' | 'unconfirmed'>, isNewer: boolean, createdAfterMs: number): void {
		const unconfirmedIds = new Set(unconfirmed.map(({id}) => id));
		for (const {revision, era, ...instance} of instances) {
			const isUnlisted = eraOf({era, revision}) < this.eras.era && !this.known.has(instance.id);
			this.put(instance, {era, revision}, 'peer');
			if (isNewer && !unconfirmedIds.has(instance.id)) {
				this.confirm(instance.id, this.eras.revision);
			} else if (isUnlisted && !isNewer) {
				// The source has not listed it in the present era.
				this.markMissing(instance.id, this.eras.revision, this.eras.enteredAtMs);
			}
		}

		for (const {id, revision, era} of gone) {
			this.remove(id, {era, revision}, false, 'peer');
		}

		for (const {id, revision, era, ageMs} of unconfirmed) {
			this.markMissing(id, {era, revision}, createdAfterMs - ageMs);
		}
	}

	private accept(id: string, revision: StoreRevision, instance?: Instance): boolean {
		return this.written.accept({id, revision, instance}, this.known.get(id)?.instance);
	}

	private store(instance: Instance, revision: StoreRevision, from: string, missing?: KnownInstance['missing']): void {
		const before = this.known.get(instance.id)?.instance;
		this.known.set(instance.id, {instance, revision, ...(missing ? {missing} : {})});
		this.running = undefined;
		const isColdnessNew = before?.coldUntilMs !== instance.coldUntilMs;
		if (isColdnessNew || before?.isDraining !== instance.isDraining || before.startedAtMs !== instance.startedAtMs || JSON.stringify(before.held) !== JSON.stringify(instance.held)) {
			const {id, service, address, zone, isDraining, held} = instance;
			const {coldLeftMs} = withColdLeft(instance, performance.now());
			this.log.info({
				event: 'instance_seen', instance: id, service, address, zone, isDraining, held, coldLeftMs, ...revision, from,
			}, 'instance registered or changed');
		}
	}

	private drop(id: string, revision: StoreRevision, isAfterOutage: boolean, from = 'source'): void {
		const known = this.known.get(id);
		this.eras.recordChange(revision);
		if (isAfterOutage && known && !known.instance.isDraining) {
			this.markMissing(id, revision, performance.now());
			return;
		}

		this.removals.add(id, revision);
		this.delete(id, revision, from);
	}

	private markMissing(id: string, revision: StoreRevision, sinceMs: number): void {
		const known = this.known.get(id);
		if (known === undefined || known.missing !== undefined || compareRevisions(known.revision, revision) >= 0) {
			return;
		}

		known.missing = {sinceMs, revision};
		this.eras.recordChange(revision);
		this.running = undefined;
		this.log.info({event: 'instance_unconfirmed', instance: id, ...revision}, 'instance not listed after an outage; keeping it until confirmed or timed out');
	}

	/** Records that an entry which was missing is listed again, at whatever revision it was written. */
	private confirm(id: string, revision: StoreRevision): void {
		const known = this.known.get(id);
		if (known?.missing && compareRevisions(known.missing.revision, revision) < 0) {
			this.eras.recordChange(revision);
			this.store(known.instance, known.revision, 'confirmed');
		}
	}

	/** Removes the instances that the whole list of a peer lacks; those of an earlier era may be unknown to it, and become unconfirmed. */
	private removeUnlisted({instances, gone, revision, era}: InstanceChanges, createdAfterMs: number): void {
		const at = {era, revision};
		const listed = new Set(instances.map(({id}) => id));
		const goneEras = new Map(gone.map(removal => [removal.id, eraOf(removal)]));
		for (const [id, known] of [...this.known].filter(([id]) => !listed.has(id))) {
			const its = eraOf(known.revision);
			const isKnownToBeGone = (goneEras.get(id) ?? its) > its;
			if (its < eraOf(at) && !isKnownToBeGone && !known.instance.isDraining && mayBeAlive(known, createdAfterMs)) {
				this.markMissing(id, at, createdAfterMs);
			} else {
				this.delete(id, at, 'peer');
			}
		}

		this.removals.restart(at);
	}

	private delete(id: string, revision: StoreRevision, from: string): void {
		if (this.known.delete(id)) {
			this.accept(id, revision);
			this.running = undefined;
			this.log.info({
				event: 'instance_gone', instance: id, ...revision, from,
			}, 'instance removed');
		}
	}
}
