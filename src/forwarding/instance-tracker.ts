/** What this process knows of the work and the health of each instance: its own calls, other entries' counts, answers and silence. */
import type {Instance} from '../directory/directory-types.ts';
import type {Logger} from '../runtime/logger.ts';
import {parseAddress} from '../links/http-listener.ts';
import {InFlightCalls} from './in-flight-calls.ts';
import type {EngineLoad, InFlightCounts} from './engine-forecast.ts';
import {acceptsConnections} from './upstream-exchange.ts';

/** A load that an answer reported is used for this long when no other entry tells its counts, in milliseconds. */
const reportedLoadTtlMs = 600;

/** Weight of the newest outcome in the share of failures. */
const failureWeight = 0.2;

/** Share of failures from which an instance is suspect. */
const suspectFailureShare = 0.25;

/** The share of failures halves in this time without calls, in milliseconds. */
const failureHalfLifeMs = 3000;

/** Weight of the newest first event in the slowness, and its bounds. */
const slownessWeight = 0.15;
const slownessBounds = {min: 0.8, max: 6};

/** A forecast shorter than this says little about speed, in milliseconds. */
const minPredictionMs = 40;

/** Time between two looks whether a lost instance accepts connections again, in milliseconds. */
const probeIntervalMs = 500;

/** How long an instance that refused a call gets no other one, in milliseconds: one that was full, and one that is not what its entry says. */
const refusalPauseMs = {busy: 120, misdirected: 800};

/** How long an engine that loads gets no call unless it is told to be ready before, in milliseconds. */
const loadingPauseMs = 4000;

type Health = {
	failureShare: number;
	failureShareAtMs: number;
	slowness: number;
	isUnreachable: boolean;
	pausedUntilMs: number;
	reported: {readonly others: number; readonly atMs: number} | undefined;
};

/** Tracks use and health by instance id. */
export class InstanceTracker {
	/** The calls at each instance. */
	readonly inFlight = new InFlightCalls();
	private readonly health = new Map<string, Health>();

	/** @param log - receives changes of belief */
	constructor(private readonly log: Logger) {}

	/**
	 * Returns the work at an instance as far as it is known.
	 *
	 * @param id - the instance
	 */
	getLoad(id: string): EngineLoad {
		const own = this.inFlight.ownCountsAt(id);
		const others = this.inFlight.peerCountsAt(id) ?? this.reportedLoadAt(id);
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
		return !health || (!health.isUnreachable && health.pausedUntilMs <= performance.now());
	}

	/**
	 * Tells whether recent calls to an instance failed.
	 *
	 * @param id - the instance
	 */
	isSuspect(id: string): boolean {
		const health = this.health.get(id);
		return health !== undefined && decayedFailureShare(health) >= suspectFailureShare;
	}

	/**
	 * Notes how a call ended.
	 *
	 * @param id - the instance
	 * @param isSuccess - whether the instance answered it as it should
	 */
	recordOutcome(id: string, isSuccess: boolean): void {
		const health = this.getOrCreateHealth(id);
		const wasSuspect = this.isSuspect(id);
		health.failureShare = (decayedFailureShare(health) * (1 - failureWeight)) + (isSuccess ? 0 : failureWeight);
		health.failureShareAtMs = performance.now();
		if (this.isSuspect(id) !== wasSuspect) {
			this.log.info({event: wasSuspect ? 'instance_trusted' : 'instance_suspect', instance: id, failureShare: health.failureShare.toFixed(2)}, 'recent failures of an instance');
		}
	}

	/**
	 * Notes how a first event came against its forecast.
	 *
	 * @param id - the instance
	 * @param actualMs - time to the first event, in milliseconds
	 * @param predictedMs - the forecast, in milliseconds
	 */
	recordFirstEvent(id: string, actualMs: number, predictedMs: number): void {
		const health = this.getOrCreateHealth(id);
		const ratio = Math.max(actualMs, minPredictionMs) / Math.max(predictedMs, minPredictionMs);
		const slowness = health.slowness * (1 + (slownessWeight * (ratio - 1)));
		health.slowness = Math.min(slownessBounds.max, Math.max(slownessBounds.min, slowness));
		this.log.debug({
			event: 'stream_begun', instance: id, seenMs: Math.round(actualMs), predictedMs: Math.round(predictedMs), slowness: health.slowness.toFixed(2),
		}, 'first event of a stream');
	}

	/**
	 * Notes that an instance refused a call.
	 *
	 * @param id - the instance
	 * @param isMisdirected - whether it is another instance, or holds other weights, than its entry says
	 */
	recordRefusal(id: string, isMisdirected: boolean): void {
		const health = this.getOrCreateHealth(id);
		health.pausedUntilMs = Math.max(health.pausedUntilMs, performance.now() + (isMisdirected ? refusalPauseMs.misdirected : refusalPauseMs.busy));
	}

	/**
	 * Notes that an engine loads something and accepts no calls meanwhile.
	 *
	 * @param id - the instance
	 */
	recordLoading(id: string): void {
		this.log.info({event: 'instance_changing', instance: id}, 'an engine loads, and gets no calls meanwhile');
		this.getOrCreateHealth(id).pausedUntilMs = performance.now() + loadingPauseMs;
	}

	/**
	 * Notes that an engine has loaded.
	 *
	 * @param id - the instance
	 */
	recordLoaded(id: string): void {
		this.getOrCreateHealth(id).pausedUntilMs = 0;
	}

	/**
	 * Takes the load that an answer reported over.
	 *
	 * @param id - the instance
	 * @param calls - calls that run and wait there
	 */
	recordReportedLoad(id: string, calls: number): void {
		this.getOrCreateHealth(id).reported = {others: Math.max(0, calls - this.inFlight.ownCountsAt(id).calls), atMs: performance.now()};
	}

	/**
	 * Takes an instance out that does not accept connections or went silent, until it accepts one.
	 *
	 * @param instance - the instance
	 * @param reason - what was seen
	 */
	markUnreachable(instance: Instance, reason: string): void {
		const health = this.getOrCreateHealth(instance.id);
		if (!health.isUnreachable) {
			health.isUnreachable = true;
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
	retainOnly(present: ReadonlySet<string>): void {
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
			health.isUnreachable = false;
			this.log.info({event: 'instance_back', instance: instance.id}, 'instance accepts connections again');
			return;
		}

		setTimeout(() => {
			void this.probe(instance);
		}, probeIntervalMs).unref();
	}

	/** The work of others that the last answer reported. */
	private reportedLoadAt(id: string): InFlightCounts {
		const reported = this.health.get(id)?.reported;
		const isFresh = reported && performance.now() - reported.atMs < reportedLoadTtlMs;
		return {calls: isFresh ? reported.others : 0, unreadTokens: 0};
	}

	private getOrCreateHealth(id: string): Health {
		let health = this.health.get(id);
		if (!health) {
			health = {
				failureShare: 0, failureShareAtMs: performance.now(), slowness: 1, isUnreachable: false, pausedUntilMs: 0, reported: undefined,
			};
			this.health.set(id, health);
		}

		return health;
	}
}

function decayedFailureShare({failureShare, failureShareAtMs}: Health): number {
	return failureShare * (0.5 ** ((performance.now() - failureShareAtMs) / failureHalfLifeMs));
}
