/** What this process knows of the work and the health of each instance: its own calls, other entries' counts, answers and silence. */
import type {Instance} from '../directory/directory-types.ts';
import type {Logger} from '../runtime/logger.ts';
import {parseAddress} from '../links/http-listener.ts';
import type {EngineLoad} from './engine-forecast.ts';
import {acceptsConnections} from './upstream-exchange.ts';

/** Counts of another entry are used for this long, in milliseconds. */
const peerCountMs = 1000;

/** A load that an answer reported is used for this long when no other entry tells its counts, in milliseconds. */
const reportedLoadMs = 600;

/** Weight of the newest outcome in the share of failures. */
const failureWeight = 0.2;

/** Share of failures from which an instance is suspect. */
const suspectShare = 0.25;

/** The share of failures halves in this time without calls, in milliseconds. */
const failureHalfLifeMs = 3000;

/** Weight of the newest first token in the slowness, and its bounds. */
const slownessWeight = 0.15;
const slownessBounds = {min: 0.8, max: 6};

/** A forecast shorter than this says little about speed, in milliseconds. */
const leastForecastMs = 40;

/** Time between two looks whether a lost instance accepts connections again, in milliseconds. */
const probeIntervalMs = 500;

/** How long an instance that refused a call as busy gets no other one, in milliseconds. */
const busyMs = 120;

/** A call of this process at an instance. */
export type OpenUse = {readonly instance: string; readonly promptTokens: number; hasStarted: boolean};

/** Calls and unread prompt tokens of one entry at one instance. */
export type UseCount = {readonly calls: number; readonly unreadTokens: number};

type Health = {
	failureShare: number;
	failureAtMs: number;
	slowness: number;
	isLost: boolean;
	busyUntilMs: number;
	reported: {readonly others: number; readonly atMs: number} | undefined;
};

/** Tracks use and health by instance id. */
export class InstanceUse {
	private readonly open = new Map<string, Set<OpenUse>>();
	private readonly health = new Map<string, Health>();
	private readonly peerCounts = new Map<string, {readonly counts: ReadonlyMap<string, UseCount>; readonly atMs: number}>();

	/** @param log - receives changes of belief */
	constructor(private readonly log: Logger) {}

	/** Calls and unread tokens of this process by instance. */
	get counts(): Map<string, UseCount> {
		return new Map([...this.open].filter(([, uses]) => uses.size > 0).map(([id, uses]) => [id, countOf(uses)]));
	}

	/**
	 * Notes a call that is about to be sent.
	 *
	 * @param instance - where it goes
	 * @param promptTokens - its prompt
	 */
	begin(instance: string, promptTokens: number): OpenUse {
		const use: OpenUse = {instance, promptTokens, hasStarted: false};
		const uses = this.open.get(instance) ?? new Set();
		uses.add(use);
		this.open.set(instance, uses);
		return use;
	}

	/**
	 * Notes that a call is no longer at its instance.
	 *
	 * @param use - the call
	 */
	end(use: OpenUse): void {
		const uses = this.open.get(use.instance);
		uses?.delete(use);
		if (uses?.size === 0) {
			this.open.delete(use.instance);
		}
	}

	/**
	 * Takes the counts of another entry over.
	 *
	 * @param entry - its VM
	 * @param counts - its calls by instance
	 */
	setPeerCounts(entry: string, counts: ReadonlyMap<string, UseCount>): void {
		this.peerCounts.set(entry, {counts, atMs: performance.now()});
	}

	/**
	 * Returns the work at an instance as far as it is known.
	 *
	 * @param id - the instance
	 */
	loadOf(id: string): EngineLoad {
		const own = countOf(this.open.get(id) ?? new Set());
		const others = this.othersAt(id);
		return {
			calls: own.calls + others.calls, unreadTokens: own.unreadTokens + others.unreadTokens, slowness: this.health.get(id)?.slowness ?? 1,
		};
	}

	/**
	 * Tells whether an instance may get a call now.
	 *
	 * @param id - the instance
	 */
	isUsable(id: string): boolean {
		const health = this.health.get(id);
		return !health || (!health.isLost && health.busyUntilMs <= performance.now());
	}

	/**
	 * Tells whether recent calls to an instance failed.
	 *
	 * @param id - the instance
	 */
	isSuspect(id: string): boolean {
		const health = this.health.get(id);
		return health !== undefined && decayedShare(health) >= suspectShare;
	}

	/**
	 * Notes how a call ended.
	 *
	 * @param id - the instance
	 * @param worked - whether the instance answered it as it should
	 */
	recordOutcome(id: string, worked: boolean): void {
		const health = this.healthOf(id);
		const wasSuspect = this.isSuspect(id);
		health.failureShare = (decayedShare(health) * (1 - failureWeight)) + (worked ? 0 : failureWeight);
		health.failureAtMs = performance.now();
		if (this.isSuspect(id) !== wasSuspect) {
			this.log.info({event: wasSuspect ? 'instance_trusted' : 'instance_suspect', instance: id, failureShare: health.failureShare.toFixed(2)}, 'recent failures of an instance');
		}
	}

	/**
	 * Notes how a first token came against its forecast.
	 *
	 * @param id - the instance
	 * @param seenMs - time to the first token, in milliseconds
	 * @param predictedMs - the forecast, in milliseconds
	 */
	recordFirstToken(id: string, seenMs: number, predictedMs: number): void {
		const health = this.healthOf(id);
		const ratio = Math.max(seenMs, leastForecastMs) / Math.max(predictedMs, leastForecastMs);
		const corrected = health.slowness * (1 + (slownessWeight * (ratio - 1)));
		health.slowness = Math.min(slownessBounds.max, Math.max(slownessBounds.min, corrected));
	}

	/**
	 * Notes that an instance refused a call.
	 *
	 * @param id - the instance
	 */
	recordBusy(id: string): void {
		this.healthOf(id).busyUntilMs = performance.now() + busyMs;
	}

	/**
	 * Takes the load that an answer reported over.
	 *
	 * @param id - the instance
	 * @param calls - calls that run and wait there
	 */
	recordLoad(id: string, calls: number): void {
		const own = this.open.get(id)?.size ?? 0;
		this.healthOf(id).reported = {others: Math.max(0, calls - own), atMs: performance.now()};
	}

	/**
	 * Takes an instance out that does not accept connections or went silent, until it accepts one.
	 *
	 * @param instance - the instance
	 * @param reason - what was seen
	 */
	recordLost(instance: Instance, reason: string): void {
		const health = this.healthOf(instance.id);
		if (!health.isLost) {
			health.isLost = true;
			this.log.warn({
				event: 'instance_lost', instance: instance.id, address: instance.address, reason,
			}, 'instance taken out');
			void this.probe(instance);
		}
	}

	/**
	 * Forgets instances that are gone.
	 *
	 * @param present - ids of all that may be alive
	 */
	retain(present: ReadonlySet<string>): void {
		for (const id of this.health.keys()) {
			if (!present.has(id)) {
				this.health.delete(id);
			}
		}
	}

	/** A timer that keeps nothing alive looks again until the instance answers or is gone. */
	private async probe(instance: Instance): Promise<void> {
		const {host, port} = parseAddress(instance.address);
		const accepts = await acceptsConnections(host, port);
		const health = this.health.get(instance.id);
		if (!health) {
			return;
		}

		if (accepts) {
			health.isLost = false;
			this.log.info({event: 'instance_back', instance: instance.id}, 'instance accepts connections again');
			return;
		}

		setTimeout(() => {
			void this.probe(instance);
		}, probeIntervalMs).unref();
	}

	private othersAt(id: string): UseCount {
		const nowMs = performance.now();
		let isTold = false;
		let calls = 0;
		let unreadTokens = 0;
		for (const {counts, atMs} of this.peerCounts.values()) {
			if (nowMs - atMs < peerCountMs) {
				isTold = true;
				calls += counts.get(id)?.calls ?? 0;
				unreadTokens += counts.get(id)?.unreadTokens ?? 0;
			}
		}

		const reported = this.health.get(id)?.reported;
		if (!isTold && reported && nowMs - reported.atMs < reportedLoadMs) {
			return {calls: reported.others, unreadTokens: 0};
		}

		return {calls, unreadTokens};
	}

	private healthOf(id: string): Health {
		let health = this.health.get(id);
		if (!health) {
			health = {
				failureShare: 0, failureAtMs: performance.now(), slowness: 1, isLost: false, busyUntilMs: 0, reported: undefined,
			};
			this.health.set(id, health);
		}

		return health;
	}
}

function countOf(uses: ReadonlySet<OpenUse>): UseCount {
	let unreadTokens = 0;
	for (const use of uses) {
		unreadTokens += use.hasStarted ? 0 : use.promptTokens;
	}

	return {calls: uses.size, unreadTokens};
}

function decayedShare({failureShare, failureAtMs}: Health): number {
	return failureShare * (0.5 ** ((performance.now() - failureAtMs) / failureHalfLifeMs));
}
