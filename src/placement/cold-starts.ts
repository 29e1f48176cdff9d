/**
 * Limits the calls that start at cold instances: each start is claimed right before the call is sent, from the stager beside the instance,
 * or from the even share of this gateway if there is no stager or it does not answer.
 *
 * Addresses the load on instances that have just started and crash under more calls than they can take; other calls pay nothing.
 */
import type {Instance, ServiceInfo} from '../directory/directory-types.ts';
import {maxColdMs} from '../directory/cold-entry.ts';
import {digestOf} from '../ids/digest.ts';
import {createSilentLogger, type Logger} from '../runtime/logger.ts';
import {
	type ColdLimits, defaultColdLimits, type GrantSpacing, splitColdRate, startValidityMs,
} from './cold-quota.ts';
import {EvenShare, type GatewayShare} from './even-share.ts';
import type {StartDecision} from './start-limiter.ts';

/** Who decided about a start. */
export type StartSource = 'stager' | 'share';

/** A start that was allowed; it may be used for a short time. */
export type StartPermit = {readonly isValid: () => boolean};

/** Asks the stager beside an instance for a start; resolves within a bounded time, with undefined if it does not answer. */
export type StartAuthority = {readonly claim: (instance: Instance, spacing: GrantSpacing) => Promise<StartDecision | undefined>};

/** Dependencies of {@link ColdStarts}. */
export type ColdStartsOptions = {
	readonly log: Logger;
	readonly authority: StartAuthority;
	readonly limits: ColdLimits;
	/** Returns the place of this gateway among all gateways. */
	readonly share: () => GatewayShare;
	/** Returns a random number from 0 to 1. */
	readonly random: () => number;
	/** When this process started, by the wall clock. */
	readonly startedAtMs: number;
	/** Called for each decision about a start. */
	readonly onDecision?: (source: StartSource, isAllowed: boolean) => void;
};

/** Minimum time between two claims at an instance, in milliseconds, and how long others wait for the answer to one that is under way. */
const minClosedMs = 5;
const claimTimeoutMs = 30;

/** Number of hexadecimal digits that an offset is derived from. */
const offsetDigits = 8;

/** Options of a gateway that is alone and reaches no stager. */
const aloneOptions: ColdStartsOptions = {
	log: createSilentLogger(), authority: {claim: async () => undefined}, limits: defaultColdLimits, share: () => ({rank: 0, known: 1, count: 1}), random: () => 0, startedAtMs: 0,
};

/** What is known of one run of an instance. */
type ColdRun = {
	readonly startedAtMs: number;
	/** Until when the run is cold according to its last response that told so, in milliseconds of the monotonic clock. */
	saidUntilMs: number;
	/** The same, according to what it said to other gateways. */
	toldUntilMs: number;
	/** Until when the run gets no calls because no start is left, in milliseconds of the monotonic clock. */
	closedUntilMs: number;
	readonly share: EvenShare;
};

/** Holds the cold instances and claims starts there. */
export class ColdStarts {
	private readonly runs = new Map<string, ColdRun>();

	/** @param options - dependencies; by default, those of a gateway that is alone */
	constructor(private readonly options: ColdStartsOptions = aloneOptions) {}

	/**
	 * Returns until when an instance is cold, in milliseconds of the monotonic clock; in the past if it is not.
	 *
	 * @param instance - its entry in the directory
	 * @param service - the service of the instance
	 * @param nowMs - the time by the same clock
	 */
	coldUntilMs(instance: Instance, service: ServiceInfo | undefined, nowMs: number): number {
		const startMs = service?.cold?.startMs ?? 0;
		// The clock of the VM that noted the start may run ahead.
		const startLeftMs = startMs > 0 ? Math.min(startMs, instance.startedAtMs + startMs - Date.now()) : 0;
		const run = this.runOf(instance);
		return Math.max(instance.coldUntilMs ?? 0, run?.saidUntilMs ?? 0, run?.toldUntilMs ?? 0, startLeftMs > 0 ? nowMs + startLeftMs : 0);
	}

	/**
	 * Returns until when an instance gets no calls because no start is left; in the past if it may be asked for one.
	 *
	 * @param instance - its entry in the directory
	 */
	closedUntilMs(instance: Instance): number {
		return this.runs.size === 0 ? 0 : (this.runOf(instance)?.closedUntilMs ?? 0);
	}

	/** Returns whether a call has to claim its start at an instance. */
	needsClaim(instance: Instance, service: ServiceInfo | undefined): boolean {
		const nowMs = performance.now();
		return service?.cold !== undefined && this.coldUntilMs(instance, service, nowMs) > nowMs;
	}

	/**
	 * Claims a start at a cold instance, and closes the instance to other calls of this gateway until the next start is expected.
	 *
	 * @param instance - the instance that a call was placed at
	 * @param service - its service
	 * @param id - the call, for the log
	 * @returns undefined if the call may not start there now
	 */
	async claim(instance: Instance, service: ServiceInfo, id: string | undefined): Promise<StartPermit | undefined> {
		const {log, limits, onDecision} = this.options;
		const claimedAtMs = performance.now();
		const quota = splitColdRate(service.cold!.callsPerSecond, limits);
		const run = this.getOrCreateRun(instance);
		run.closedUntilMs = claimedAtMs + claimTimeoutMs;
		const answer = service.engine ? await this.options.authority.claim(instance, quota.granted) : undefined;
		const {isAllowed, waitMs} = answer ?? run.share.tryStart(Date.now(), this.options.share(), service.engine ? quota.unansweredPerSecond : quota.alonePerSecond);
		run.closedUntilMs = performance.now() + Math.max(minClosedMs, waitMs);
		const source = answer ? 'stager' : 'share';
		onDecision?.(source, isAllowed);
		const fields = {
			id, instance: instance.id, source, waitMs: Math.round(waitMs),
		};
		if (isAllowed) {
			log.debug({event: 'cold_start_granted', ...fields}, 'a call may start at a cold instance');
			return {isValid: () => performance.now() - claimedAtMs < startValidityMs};
		}

		log.info({event: 'cold_start_refused', ...fields}, 'no start is left at a cold instance');
		return undefined;
	}

	/**
	 * Records what an instance says of its cold time.
	 *
	 * @param instance - its entry in the directory
	 * @param coldMs - how much longer it is cold, in milliseconds; 0 if it is not
	 */
	recordCold(instance: Instance, coldMs: number): void {
		if (coldMs <= 0 && !this.runOf(instance)) {
			return;
		}

		const nowMs = performance.now();
		const run = this.getOrCreateRun(instance);
		if (coldMs > 0 && run.saidUntilMs <= nowMs) {
			this.options.log.info({event: 'instance_cold', instance: instance.id, coldMs}, 'an instance states that it is cold and takes few calls');
		}

		run.saidUntilMs = coldMs > 0 ? nowMs + Math.min(maxColdMs, coldMs) : 0;
	}

	/**
	 * Returns until when an instance is cold according to its last response to this gateway, in milliseconds of the monotonic clock.
	 *
	 * @param instance - its entry in the directory
	 */
	saidColdUntilMs(instance: Instance): number {
		return this.runOf(instance)?.saidUntilMs ?? 0;
	}

	/**
	 * Records what an instance said of its cold time to another gateway.
	 *
	 * @param instance - its entry in the directory
	 * @param coldMs - how much longer it is cold, in milliseconds
	 */
	recordTold(instance: Instance, coldMs: number): void {
		const run = this.getOrCreateRun(instance);
		run.toldUntilMs = Math.max(run.toldUntilMs, performance.now() + Math.min(maxColdMs, coldMs));
	}

	/**
	 * Discards what is known of other instances.
	 *
	 * @param present - IDs of the instances to keep
	 */
	retainOnly(present: ReadonlySet<string>): void {
		for (const id of this.runs.keys()) {
			if (!present.has(id)) {
				this.runs.delete(id);
			}
		}
	}

	private runOf({id, startedAtMs}: Instance): ColdRun | undefined {
		const run = this.runs.get(id);
		return run?.startedAtMs === startedAtMs ? run : undefined;
	}

	private getOrCreateRun(instance: Instance): ColdRun {
		const {random, startedAtMs} = this.options;
		const known = this.runOf(instance);
		if (known) {
			return known;
		}

		const run: ColdRun = {
			startedAtMs: instance.startedAtMs, saidUntilMs: 0, toldUntilMs: 0, closedUntilMs: 0, share: new EvenShare(startedAtMs, random(), cycleOffsetOf(instance.id)),
		};
		this.runs.set(instance.id, run);
		return run;
	}
}

/** Returns a number from 0 to 1 that all gateways derive from the ID of an instance. */
function cycleOffsetOf(id: string): number {
	return Number.parseInt(digestOf(id).slice(0, offsetDigits), 16) / (16 ** offsetDigits);
}
