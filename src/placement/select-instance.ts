/**
 * Selects the instance for a call, or refuses the call with a retry delay. No I/O, no clock.
 *
 * Engines may get more streams than they can serve; then only calls that can still meet their target time are worth a slot.
 * Plain services have no timing model, and any instance that works will do.
 */
import type {EngineTiming} from '../directory/directory-types.ts';
import {type EngineLoad, meanSlotTimeMs, predictFirstEventMs} from './engine-forecast.ts';
import type {UrgencyLimit} from './limit-by-urgency.ts';

/** An instance that is eligible for the call. */
export type Candidate = {
	readonly id: string;
	/** Whether the instance is in the zone of this gateway. */
	readonly isLocal: boolean;
	/** Whether the instance is in the region of this gateway; undefined if that is not known. */
	readonly isSameRegion?: boolean | undefined;
	readonly load: EngineLoad;
	/** Number of calls that the instance runs concurrently. */
	readonly slots: number;
	/** Whether too many recent calls to the instance failed. */
	readonly isSuspect: boolean;
	/** Cost of using up what other calls need that may run only in the region of the instance, in milliseconds; see {@link HomeDemand}. */
	readonly homeReserveMs?: number;
	/** How long calls may still start on the version that the instance holds, in milliseconds; infinite unless a newer version was announced. */
	readonly startWindowMs: number;
	/** Recent delay of messages to the instance and back, in milliseconds; 0, the default, if none was seen. */
	readonly pathDelayMs?: number;
	/** Share of the slots that may be used, from 0 to 1; less than 1, the default, while the instance warms up or its zone is returned to. */
	readonly warmShare?: number;
};

/** What the selection needs to know about a call. */
export type CallRequirements = {
	readonly promptTokens: number;
	/** Time left to meet the target time to first byte of the route, in milliseconds; negative if the call is late. */
	readonly aimLeftMs: number;
	/** Time left until the call expires, in milliseconds. */
	readonly deadlineLeftMs: number;
	/** Whether a part of the response has been sent to the caller; that part is useless without the rest. */
	readonly isResponseStarted: boolean;
	/** What the call may use of an instance while more urgent calls are refused; absent if they are not. */
	readonly urgencyLimit?: UrgencyLimit | undefined;
};

/** Why no instance is selected: none is eligible, none of those in the home regions of the call, all are in evacuated zones, none has a place in time, or the call gives way to more urgent ones. */
export type RefusalReason = 'no_upstream' | 'no_home_instance' | 'all_zones_evacuated' | 'overloaded' | 'gives_way';

/** The selected instance, or a refusal. */
export type Placement =
	| {readonly kind: 'place'; readonly id: string; readonly predictedMs: number}
	| {readonly kind: 'refuse'; readonly reason: RefusalReason; readonly retryAfterMs: number};

/** Costs within this range count as equal, in milliseconds. The instance is then drawn at random, because several gateways choose at the same time. */
const tieToleranceMs = 12;

/**
 * Cost added to an instance in another zone, in milliseconds, because its traffic crosses a narrow link: in the same region, in another one,
 * and where regions tell no more than zones. Traffic between regions costs more, so that it is left to waits that are longer.
 */
const zonePenaltiesMs = {sameRegion: 30, otherRegion: 60, unknown: 45};

/** Usual time of a call to a plain service, in milliseconds, by which the pace of an instance is weighed against its distance and its load. */
const plainWorkMs = 60;

/** Cost added to an instance with recent failures, in milliseconds. */
const suspectPenaltyMs = 300;

/** Bounds of the delay of the path to an engine that adds to its cost, in milliseconds; shorter ones are usual, and longer ones may only be the lack of an answer. */
const pathCostMs = {from: 100, to: 600};

/** Cost added to an instance that uses its share of slots while it warms up, in milliseconds. */
const warmingPenaltyMs = 150;

/** Share of the slots of an instance that late calls may use; a late response is worth little and must not delay others. */
const lateCallSlotShare = 0.5;

/**
 * Shares of the time left to the target within which a prediction counts as on time.
 *
 * `base` keeps waits short for all calls. A call with a long prompt would never fit into it, so that its prefill time plus `extraWait`
 * is allowed instead, up to `max`.
 */
const onTimeBudgetShares = {base: 0.65, extraWait: 0.3, max: 0.92};

/** A service counts as full if at least this many sampled instances use at least this share of their slots. */
const fullService = {minCandidates: 7, usedShare: 0.95};

/** Retry delay if there is no eligible engine, in milliseconds; engines take seconds to come back. */
const noUpstreamRetryAfterMs = 1600;

/**
 * Bounds of the retry delay after a refusal for overload, in milliseconds.
 *
 * A retried call misses its target in any case, so that the delay is long enough to make a free slot likely.
 */
const overloadRetryLimitsMs = {min: 700, max: 1600};

/** Retry delay as a multiple of the time that the excess calls need to drain. */
const excessRetryFactor = 6;

/** Upper bound of the random jitter of retry delays, in milliseconds, so that refused calls do not all return at once. */
const retryJitterMs = 300;

/** Retry delay for calls to a plain service, in milliseconds; their whole deadline is about a second. */
const plainRetryAfterMs = 250;

/** Calls per slot from which a plain service refuses further calls, because its queue would only grow. */
const maxPlainCallsPerSlot = 3;

/**
 * Selects an engine instance by predicted time to first event, or refuses the call.
 *
 * @param timing - the published timing of the engines
 * @param candidates - the eligible instances
 * @param call - the requirements of the call
 * @param randomBelow - returns a random integer from 0 up to, but not including, its argument
 */
export function selectEngineInstance(timing: EngineTiming, candidates: readonly Candidate[], call: CallRequirements, randomBelow: (bound: number) => number): Placement {
	const ranked = candidates.map(candidate => {
		const predictedMs = predictFirstEventMs(timing, candidate.load, call.promptTokens);
		return {candidate, predictedMs, costMs: predictedMs + penaltyMs(candidate) + warmingMs(candidate) + busyPathMs(candidate)};
	}).filter(({candidate, predictedMs}) => predictedMs <= candidate.startWindowMs);
	if (ranked.length === 0) {
		return {kind: 'refuse', reason: 'no_upstream', retryAfterMs: noUpstreamRetryAfterMs + randomBelow(retryJitterMs)};
	}

	const limitMs = onTimeLimitMs(timing, call);
	const beforeDeadline = ranked.filter(({predictedMs, candidate}) => predictedMs < call.deadlineLeftMs && hasRoomFor(candidate, call.urgencyLimit));
	const onTime = beforeDeadline.filter(({predictedMs}) => call.isResponseStarted || predictedMs <= limitMs);
	const belowLateShare = beforeDeadline.filter(({candidate}) => candidate.load.calls < usableSlots(candidate) * (call.urgencyLimit?.lateSlotShare ?? lateCallSlotShare));
	const best = pickLowestCost(onTime, randomBelow) ?? pickLowestCost(belowLateShare, randomBelow);
	return best
		? {kind: 'place', id: best.candidate.id, predictedMs: best.predictedMs}
		: {kind: 'refuse', reason: refusalReason(call.urgencyLimit), retryAfterMs: overloadRetryAfterMs(timing, candidates, randomBelow)};
}

/**
 * Returns whether further instances are worth asking before the placement is used.
 *
 * Not if the selected instance has a free slot, so that the call starts there without waiting for another one to end. Nor if a call that
 * gives way has found no room at as many as show that. Nor if the
 * candidates are enough to show that the service is full: the last free slots are then found by so many gateways at once that calls wait
 * there, and make others late.
 *
 * @param candidates - the instances that the placement was selected from
 */
export function shouldAskMore(placement: Placement, candidates: readonly Candidate[]): boolean {
	const selected = placement.kind === 'place' ? candidates.find(({id}) => id === placement.id) : undefined;
	if (selected && hasFreeSlot(selected)) {
		return false;
	}

	if (placement.kind === 'refuse' && placement.reason === 'gives_way' && candidates.length >= fullService.minCandidates) {
		return false;
	}

	let calls = 0;
	let slots = 0;
	for (const candidate of candidates) {
		calls += candidate.load.calls;
		slots += candidate.slots;
	}

	return candidates.length < fullService.minCandidates || calls < fullService.usedShare * slots;
}

/** Returns the retry delay after a refusal for overload, in milliseconds. */
function overloadRetryAfterMs(timing: EngineTiming, candidates: readonly Candidate[], randomBelow: (bound: number) => number): number {
	const excess = Math.max(1, Math.min(...candidates.map(({load, slots}) => load.calls - slots + 1)));
	const drainMs = excess * meanSlotTimeMs(timing) / timing.slots;
	return Math.min(overloadRetryLimitsMs.max, Math.max(overloadRetryLimitsMs.min, drainMs * excessRetryFactor)) + randomBelow(retryJitterMs);
}

/** Returns the longest prediction that counts as on time, in milliseconds. */
function onTimeLimitMs(timing: EngineTiming, {promptTokens, aimLeftMs}: CallRequirements): number {
	const unloadedMs = predictFirstEventMs(timing, {calls: 0, unreadTokens: 0, slowness: 1}, promptTokens);
	return Math.min(onTimeBudgetShares.max * aimLeftMs, Math.max(onTimeBudgetShares.base * aimLeftMs, unloadedMs + (onTimeBudgetShares.extraWait * aimLeftMs)));
}

/**
 * Selects the instance of a plain service with the fewest calls per slot, preferring the zone of this gateway, or refuses the call.
 *
 * @param candidates - the eligible instances
 * @param randomBelow - returns a random integer from 0 up to, but not including, its argument
 * @param urgencyLimit - as in {@link CallRequirements}
 */
export function selectPlainInstance(candidates: readonly Candidate[], randomBelow: (bound: number) => number, urgencyLimit?: UrgencyLimit): Placement {
	const ranked = candidates.map(candidate => {
		const perSlot = candidate.load.calls / Math.max(1, usableSlots(candidate));
		const {pace = 1} = candidate.load;
		return {candidate, predictedMs: 0, costMs: (pace * perSlot * 100) + ((pace - 1) * plainWorkMs) + penaltyMs(candidate)};
	});
	const best = pickLowestCost(ranked, randomBelow);
	if (!best) {
		return {kind: 'refuse', reason: 'no_upstream', retryAfterMs: plainRetryAfterMs};
	}

	if (best.candidate.load.calls >= best.candidate.slots * Math.min(maxPlainCallsPerSlot, urgencyLimit?.slotShare ?? maxPlainCallsPerSlot)) {
		return {kind: 'refuse', reason: refusalReason(urgencyLimit), retryAfterMs: plainRetryAfterMs};
	}

	return {kind: 'place', id: best.candidate.id, predictedMs: 0};
}

function hasRoomFor(candidate: Candidate, limit: UrgencyLimit | undefined): boolean {
	return limit === undefined || candidate.load.calls < usableSlots(candidate) * limit.slotShare;
}

function refusalReason(limit: UrgencyLimit | undefined): 'overloaded' | 'gives_way' {
	return limit?.givesWay ? 'gives_way' : 'overloaded';
}

function zonePenaltyMs(isSameRegion: boolean | undefined): number {
	if (isSameRegion === undefined) {
		return zonePenaltiesMs.unknown;
	}

	return isSameRegion ? zonePenaltiesMs.sameRegion : zonePenaltiesMs.otherRegion;
}

function penaltyMs({isLocal, isSameRegion, isSuspect, homeReserveMs = 0}: Candidate): number {
	return (isLocal ? 0 : zonePenaltyMs(isSameRegion)) + (isSuspect ? suspectPenaltyMs : 0) + homeReserveMs;
}

/** Returns whether an instance can begin a call at once, with the share of its slots that may be used. */
export function hasFreeSlot(candidate: Candidate): boolean {
	return candidate.load.calls < usableSlots(candidate);
}

function usableSlots({slots, warmShare = 1}: Candidate): number {
	return slots * warmShare;
}

function warmingMs(candidate: Candidate): number {
	return !hasFreeSlot(candidate) && usableSlots(candidate) < candidate.slots ? warmingPenaltyMs : 0;
}

function busyPathMs({pathDelayMs = 0}: Candidate): number {
	return Math.max(0, Math.min(pathCostMs.to, pathDelayMs) - pathCostMs.from);
}

function pickLowestCost<Item extends {readonly costMs: number}>(items: readonly Item[], randomBelow: (bound: number) => number): Item | undefined {
	const lowest = Math.min(...items.map(({costMs}) => costMs));
	const tied = items.filter(({costMs}) => costMs <= lowest + tieToleranceMs);
	return tied.length === 0 ? undefined : tied[randomBelow(tied.length)];
}
