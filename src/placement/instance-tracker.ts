/** Tracks the load and health of each instance from this gateway's own calls, responses and failures. */
import type {Instance} from '../directory/directory-types.ts';
import type {EvacuationView} from '../directory/evacuations.ts';
import type {Logger} from '../runtime/logger.ts';
import type {ListeningClock} from '../runtime/pause-detector.ts';
import {misdirectedStatus} from '../forwarding/response-status.ts';
import {type ConnectionProbe, probeConnection} from '../links/probe-connection.ts';
import {ColdStarts} from './cold-starts.ts';
import {InFlightCalls} from './in-flight-calls.ts';
import {PaceRecords} from './pace-records.ts';
import {PathDelays} from './path-delays.ts';
import {findMoveReason, type MoveReason} from './find-move-reason.ts';
import type {EngineLoad, InFlightCounts} from './engine-forecast.ts';
import {type Barrier, findBarrier} from './instance-availability.ts';
import {type InstanceSignals, isFrom, type ResponseHead} from './instance-signals.ts';

/** How long the load reported in a response is used, in milliseconds. */
const reportedLoadTtlMs = 600;

/** Weight of the latest outcome in the moving average of failures. */
const failureWeight = 0.2;

/** Average failure share from which an instance is suspect. */
const suspectFailureShare = 0.25;

/** Half-life of the failure share while there are no calls, in milliseconds. */
const failureHalfLifeMs = 3000;

/** Weight of the latest time to first event in the slowness factor, and the bounds of the factor. */
const slownessWeight = 0.15;
const slownessBounds = {min: 0.8, max: 6};

/** Lower bound for predicted and measured times in the slowness factor, in milliseconds; shorter ones say little about speed. */
const minTimingMs = 40;

/** Time between probes of whether an unreachable instance accepts connections again, in milliseconds. */
const probeIntervalMs = 500;

/** How long an instance gets no calls after it refused one, in milliseconds: when busy, and when it is not the instance or version that the directory lists. */
const refusalPauseMs = {busy: 120, misdirected: 800};

/** How long an engine gets no calls after it started to load weights, in milliseconds, unless it reports earlier that it has loaded them. */
const loadingPauseMs = 4000;

const noEvacuations: EvacuationView = {evacuatedSinceMs: () => undefined};

/** Connections to one run of an instance that fail. */
type Outage = {readonly startedAtMs: number; readonly sinceMs: number};

type Health = {
	failureShare: number;
	failureShareAtMs: number;
	slowness: number;
	/** Undefined while the instance is reachable. */
	outage: Outage | undefined;
	pausedUntilMs: number;
	/** Load from the latest response that reported one; `others` excludes the calls of this gateway. */
	reported: {readonly others: number; readonly atMs: number} | undefined;
};

/** What closes instances beside their own health, and the clock for the delays of their paths. */
type InstanceLimits = {
	/** The limit on calls that start at cold instances. */
	readonly coldStarts?: ColdStarts;
	readonly evacuations?: EvacuationView;
	readonly clock?: ListeningClock;
};

/** Holds load and health by instance ID. */
export class InstanceTracker {
	/** Calls in flight at each instance. */
	readonly inFlight = new InFlightCalls();
	/** How long work takes at each instance at this moment. */
	readonly paces = new PaceRecords();
	/** How long messages are under way to each instance. */
	readonly paths: PathDelays;
	readonly coldStarts: ColdStarts;
	private readonly evacuations: EvacuationView;
	private readonly health = new Map<string, Health>();

	/**
	 * @param log - receives changes in the assessed health of an instance
	 * @param signals - what instances say of themselves
	 * @param limits - what closes instances beside their own health; by default, nothing does
	 */
	constructor(private readonly log: Logger, readonly signals: InstanceSignals, limits: InstanceLimits = {}) {
		this.coldStarts = limits.coldStarts ?? new ColdStarts();
		this.evacuations = limits.evacuations ?? noEvacuations;
		this.paths = new PathDelays(limits.clock);
	}

	/**
	 * Returns the known load of an instance, including the calls of other gateways.
	 *
	 * @param id - the instance ID
	 * @param others - the calls of other gateways, if they are known; otherwise those in the latest response are used
	 */
	getLoad(id: string, others: InFlightCounts = this.reportedLoadAt(id)): EngineLoad {
		const own = this.inFlight.countsAt(id);
		return {
			calls: own.calls + others.calls, unreadTokens: own.unreadTokens + others.unreadTokens, slowness: this.health.get(id)?.slowness ?? 1, pace: this.paces.paceAt(id, performance.now()),
		};
	}

	/**
	 * Returns why no call may start at an instance now; undefined if one may.
	 *
	 * @param instance - its entry in the directory
	 */
	barrierAt(instance: Instance): Barrier | undefined {
		const health = this.health.get(instance.id);
		const outage = health?.outage?.startedAtMs === instance.startedAtMs ? health.outage : undefined;
		return findBarrier(instance, {
			signal: this.signals.beliefAbout(instance),
			unreachableSinceMs: outage?.sinceMs,
			pausedUntilMs: health?.pausedUntilMs ?? 0,
			evacuatedSinceMs: this.evacuations.evacuatedSinceMs(instance.zone),
			coldUntilMs: this.coldStarts.closedUntilMs(instance),
		}, performance.now());
	}

	/**
	 * Returns why a call of which nothing was written has to leave an instance; undefined if it may be written.
	 *
	 * @param listed - the present entry in the directory; undefined if there is none
	 */
	findMoveReason(listed: Instance | undefined): MoveReason | undefined {
		return findMoveReason(listed !== undefined, listed && this.barrierAt(listed)?.reason);
	}

	/**
	 * Probes whether an instance accepts connections. One that closed itself and has no calls of this gateway is left alone and counts as silent.
	 *
	 * @param instance - the instance
	 */
	async probeConnection(instance: Instance): Promise<ConnectionProbe> {
		const state = this.signals.beliefAbout(instance)?.state;
		const isClosed = state === 'leaving' || state === 'quiet';
		return isClosed && this.inFlight.countsAt(instance.id).calls === 0 ? 'silent' : probeConnection(instance.address);
	}

	/**
	 * Returns whether too many recent calls to an instance failed.
	 *
	 * @param id - the instance ID
	 */
	isSuspect(id: string): boolean {
		const health = this.health.get(id);
		return health !== undefined && decayedFailureShare(health) >= suspectFailureShare;
	}

	/**
	 * Records the outcome of an attempt.
	 *
	 * @param id - the instance ID
	 * @param isSuccess - whether the instance returned a valid, complete response
	 */
	recordOutcome(id: string, isSuccess: boolean): void {
		const health = this.getOrCreateHealth(id);
		const wasSuspect = this.isSuspect(id);
		health.failureShare = (decayedFailureShare(health) * (1 - failureWeight)) + (isSuccess ? 0 : failureWeight);
		health.failureShareAtMs = performance.now();
		if (this.isSuspect(id) !== wasSuspect) {
			this.log.info({event: wasSuspect ? 'instance_trusted' : 'instance_suspect', instance: id, failureShare: health.failureShare.toFixed(2)}, 'failure share crossed threshold');
		}
	}

	/**
	 * Adjusts the slowness factor of an instance by a measured time to first event.
	 *
	 * @param id - the instance ID
	 * @param actualMs - the measured time, in milliseconds
	 * @param predictedMs - the predicted time, in milliseconds
	 */
	recordFirstEvent(id: string, actualMs: number, predictedMs: number): void {
		const health = this.getOrCreateHealth(id);
		const ratio = Math.max(actualMs, minTimingMs) / Math.max(predictedMs, minTimingMs);
		const slowness = health.slowness * (1 + (slownessWeight * (ratio - 1)));
		health.slowness = Math.min(slownessBounds.max, Math.max(slownessBounds.min, slowness));
		this.log.debug({
			event: 'stream_begun', instance: id, seenMs: Math.round(actualMs), predictedMs: Math.round(predictedMs), slowness: health.slowness.toFixed(2),
		}, 'received the first event of a stream');
	}

	/**
	 * Pauses an instance that refused a call.
	 *
	 * @param id - the instance ID
	 * @param status - the status of the refusal, which tells an instance that is busy from one that is not the listed instance or version
	 */
	recordRefusal(id: string, status: number): void {
		const health = this.getOrCreateHealth(id);
		health.pausedUntilMs = Math.max(health.pausedUntilMs, performance.now() + (status === misdirectedStatus ? refusalPauseMs.misdirected : refusalPauseMs.busy));
	}

	/**
	 * Pauses an engine that loads weights and accepts no calls meanwhile.
	 *
	 * @param id - the instance ID
	 */
	recordLoading(id: string): void {
		this.log.info({event: 'instance_changing', instance: id}, 'engine is loading weights and gets no calls');
		this.getOrCreateHealth(id).pausedUntilMs = performance.now() + loadingPauseMs;
	}

	/**
	 * Ends the pause of an engine that has loaded its weights.
	 *
	 * @param id - the instance ID
	 */
	recordLoaded(id: string): void {
		this.getOrCreateHealth(id).pausedUntilMs = 0;
	}

	/**
	 * Records what the head of a response tells of its instance.
	 *
	 * @param instance - the instance that the call was sent to
	 * @param head - the head of the response
	 */
	recordHead(instance: Instance, head: ResponseHead): void {
		const {load, coldMs} = head.headers;
		if (load) {
			this.recordReportedLoad(instance.id, load.calls);
		}

		if (!isFrom(instance, head)) {
			return;
		}

		if (coldMs !== undefined) {
			this.coldStarts.recordCold(instance, coldMs);
		}

		if (load?.pace !== undefined) {
			this.paces.recordOwn(instance.id, load.pace, performance.now());
		}
	}

	/**
	 * Records the load that an instance reported in a response.
	 *
	 * @param id - the instance ID
	 * @param calls - number of running and waiting calls
	 */
	recordReportedLoad(id: string, calls: number): void {
		this.getOrCreateHealth(id).reported = {others: Math.max(0, calls - this.inFlight.countsAt(id).calls), atMs: performance.now()};
	}

	/**
	 * Stops sending calls to an instance that refused a connection or stalled, until it accepts connections again.
	 *
	 * @param instance - the instance
	 * @param reason - the cause, for the log
	 */
	markUnreachable(instance: Instance, reason: string): void {
		const health = this.getOrCreateHealth(instance.id);
		if (health.outage?.startedAtMs !== instance.startedAtMs) {
			const outage = {startedAtMs: instance.startedAtMs, sinceMs: performance.now()};
			health.outage = outage;
			this.log.warn({
				event: 'instance_lost', instance: instance.id, address: instance.address, reason,
			}, 'instance is unreachable');
			void this.waitUntilReachable(instance, outage);
		}
	}

	/**
	 * Discards the health of all other instances.
	 *
	 * @param present - IDs of the instances to keep
	 */
	retainOnly(present: ReadonlySet<string>): void {
		this.signals.retainOnly(present);
		this.coldStarts.retainOnly(present);
		this.paces.retainOnly(present);
		this.paths.retainOnly(present);
		for (const id of this.health.keys()) {
			if (!present.has(id)) {
				this.health.delete(id);
			}
		}
	}

	/** Probes an instance until it accepts connections, is discarded or runs anew; the timer does not keep the process alive. */
	private async waitUntilReachable(instance: Instance, outage: Outage): Promise<void> {
		const probe = await this.probeConnection(instance);
		const health = this.health.get(instance.id);
		if (health?.outage !== outage) {
			return;
		}

		if (probe === 'accepts') {
			health.outage = undefined;
			this.log.info({event: 'instance_back', instance: instance.id}, 'instance accepts connections again');
			return;
		}

		setTimeout(() => {
			void this.waitUntilReachable(instance, outage);
		}, probeIntervalMs).unref();
	}

	/** Returns the calls of other gateways according to the latest response, if it is recent. */
	private reportedLoadAt(id: string): InFlightCounts {
		const reported = this.health.get(id)?.reported;
		const isFresh = reported && performance.now() - reported.atMs < reportedLoadTtlMs;
		return {calls: isFresh ? reported.others : 0, unreadTokens: 0};
	}

	private getOrCreateHealth(id: string): Health {
		let health = this.health.get(id);
		if (!health) {
			health = {
				failureShare: 0, failureShareAtMs: performance.now(), slowness: 1, outage: undefined, pausedUntilMs: 0, reported: undefined,
			};
			this.health.set(id, health);
		}

		return health;
	}
}

function decayedFailureShare({failureShare, failureShareAtMs}: Health): number {
	return failureShare * (0.5 ** ((performance.now() - failureShareAtMs) / failureHalfLifeMs));
}
