/**
 * Load shedding by urgency at one gateway: what it tells the counters beside the engines with its questions, what their answers mean for
 * a call, and when refused callers return. No I/O, no clock.
 */
import type {ServiceId} from '../ids/service-id.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import {limitByUrgency, type UrgencyLimit} from './limit-by-urgency.ts';
import {RetrySchedule} from './retry-schedule.ts';
import type {Placement, RefusalReason} from './select-instance.ts';
import {
	type CountByUrgency, maxReportedRefusals, toUrgency, UrgencyPressure, type UrgencyReport, type YieldShares,
} from './urgency-pressure.ts';

/** What is known of a call that is to be placed. */
export type SheddableCall = {
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Whether the caller returns after a refusal. */
	readonly isReturning: boolean;
	/** Whether the call was sent to no instance before. */
	readonly isFirstAttempt: boolean;
};

/** The refusals at one service. */
type ServiceState = {
	/** New calls that were refused since the last question, by urgency. */
	readonly refused: Map<number, number>;
	readonly schedule: RetrySchedule;
	/** Stands in for the counters of a plain service, beside which there are none. */
	readonly ownPressure: UrgencyPressure;
};

const rankSteps = 1000;

const noRefusals: readonly CountByUrgency[] = [];

/** The refusals for lack of capacity. With any other one, capacity that becomes free does not help. */
const capacityReasons: ReadonlySet<RefusalReason> = new Set<RefusalReason>(['overloaded', 'gives_way']);

/** Sheds the calls of one gateway. */
export class LoadShedding {
	private readonly services = new Map<ServiceId, ServiceState>();

	/** @param random - draws which calls of an urgency give way */
	constructor(private readonly random: RandomSource) {}

	/**
	 * Starts the placement of a call.
	 *
	 * @param service - the service that the call is for
	 * @param call - what is known of the call
	 */
	startCall(service: ServiceId, call: SheddableCall): CallShedding {
		let state = this.services.get(service);
		if (!state) {
			state = {refused: new Map(), schedule: new RetrySchedule(), ownPressure: new UrgencyPressure()};
			this.services.set(service, state);
		}

		return new CallShedding(state, call, this.random);
	}
}

/** Load shedding for the placement of one call. */
export class CallShedding {
	private readonly urgency: number;
	private readonly isNewCall: boolean;
	/** The answers of counters that told of calls that give way, and the number of all answers. */
	private readonly answers: YieldShares[] = [];
	private answerCount = 0;
	private hasReported = false;
	private rank: number | undefined;

	/**
	 * @param state - the refusals at the service
	 * @param call - what is known of the call
	 * @param random - draws whether the call gives way
	 */
	constructor(private readonly state: ServiceState, call: SheddableCall, private readonly random: RandomSource) {
		this.urgency = toUrgency(call.priority);
		this.isNewCall = call.isFirstAttempt && !call.isReturning;
	}

	/** Returns what to tell counters with a question; only the first one of a call counts it and tells of refusals. */
	createReport(): UrgencyReport {
		if (this.hasReported) {
			return {urgency: this.urgency, isNewCall: false, refused: noRefusals};
		}

		this.hasReported = true;
		const refused = this.state.refused.size === 0 ? noRefusals : [...this.state.refused];
		this.state.refused.clear();
		return {urgency: this.urgency, isNewCall: this.isNewCall, refused};
	}

	/**
	 * Takes the answer of a counter.
	 *
	 * @param yields - the calls that should give way; undefined if there are none
	 */
	addAnswer(yields: YieldShares | undefined): void {
		this.answerCount++;
		if (yields && yields.length > 0) {
			this.answers.push(yields);
		}
	}

	/**
	 * Takes the pressure at a plain service as this gateway sees it, in place of an answer.
	 *
	 * @param nowMs - the time, in milliseconds of a monotonic clock
	 */
	addOwnAnswer(nowMs: number): void {
		const {ownPressure} = this.state;
		ownPressure.record(this.createReport(), nowMs);
		this.addAnswer(ownPressure.yields(nowMs));
	}

	/** Returns the limit of the call; undefined if no calls give way. */
	limit(): UrgencyLimit | undefined {
		if (this.answers.length === 0) {
			return undefined;
		}

		this.rank ??= this.random.nextInt(rankSteps) / rankSteps;
		return limitByUrgency({yieldShare: this.meanYieldShare, isReturning: !this.isNewCall, rank: this.rank});
	}

	/**
	 * Records the placement, and replaces the return time of a refused caller while calls give way.
	 *
	 * @param leftMs - time left until the call expires, in milliseconds
	 */
	settle(placement: Placement, leftMs: number): Placement {
		if (placement.kind === 'place' || !capacityReasons.has(placement.reason)) {
			return placement;
		}

		if (placement.reason === 'overloaded' && this.isNewCall) {
			const {refused} = this.state;
			refused.set(this.urgency, Math.min(maxReportedRefusals, (refused.get(this.urgency) ?? 0) + 1));
		}

		return this.answers.length === 0
			? placement
			: {...placement, retryAfterMs: this.state.schedule.nextReturnMs(this.urgency, this.yieldingUrgencies, leftMs)};
	}

	private get meanYieldShare(): number {
		const shares = this.answers.map(yields => yields.find(([urgency]) => urgency === this.urgency)?.[1] ?? 0);
		return shares.reduce((sum, share) => sum + share, 0) / this.answerCount;
	}

	/** The urgencies of which calls give way. */
	private get yieldingUrgencies(): ReadonlySet<number> {
		return new Set(this.answers.flatMap(yields => yields.map(([urgency]) => urgency)));
	}
}
