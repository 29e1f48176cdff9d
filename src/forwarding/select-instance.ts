/**
 * Decides where a call goes, or that it is refused and when it may return. No I/O, no clock.
 *
 * It answers two loads: streams above what the engines carry, where only calls that can still be on time are worth a place,
 * and calls to plain services, where any place that works will do.
 */
import type {EngineTiming} from '../directory/directory-types.ts';
import {type EngineLoad, predictFirstEventMs, meanSlotTimeMs} from './engine-forecast.ts';

/** An instance that may take the call. */
export type Candidate = {
	readonly id: string;
	readonly isLocal: boolean;
	readonly load: EngineLoad;
	/** Calls that the instance runs at once. */
	readonly slots: number;
	/** Whether recent calls there failed. */
	readonly isSuspect: boolean;
	/** How long the instance's weights may still begin work, in milliseconds; without end unless a newer version is named. */
	readonly startWindowMs: number;
};

/** The call to place. */
export type CallRequirements = {
	readonly promptTokens: number;
	/** Time left until the answer counts as late, in milliseconds; negative when it is late already. */
	readonly aimLeftMs: number;
	/** Time left until the caller leaves, in milliseconds. */
	readonly deadlineLeftMs: number;
	/** Whether the caller has a part of the answer already, which is worth nothing without the rest. */
	readonly isResponseStarted: boolean;
};

/** What was decided. */
export type Placement =
	| {readonly kind: 'place'; readonly id: string; readonly predictedMs: number}
	| {readonly kind: 'refuse'; readonly reason: 'no_upstream' | 'overloaded'; readonly retryAfterMs: number};

/** Forecasts closer than this are the same, in milliseconds; the place is then drawn, since several entries choose at once. */
const tieToleranceMs = 12;

/** What a place in another zone must be better by, in milliseconds; its bytes cross a narrow link. */
const crossZonePenaltyMs = 45;

/** What a place with recent failures must be better by, in milliseconds. */
const suspectPenaltyMs = 300;

/** Share of the slots that late calls may use; a late answer is worth little and must not make others late. */
const lateCallSlotShare = 0.5;

/**
 * Shares of the time left within which a forecast counts as on time.
 *
 * `usual` keeps short waits for all. `wait` lets a call with a long prompt wait as well, which would never fit otherwise, up to `most`.
 */
const onTimeBudgetShares = {base: 0.65, extraWait: 0.3, max: 0.92};

/** When a call returns that found no engine at all, in milliseconds; engines come back after seconds. */
const noUpstreamRetryAfterMs = 1600;

/**
 * Shortest and longest time to return after a refusal for load, in milliseconds.
 *
 * A call that returns is late in any case, so that it returns when a place is likely rather than soon.
 */
const overloadRetryLimitsMs = {min: 700, max: 1600};

/** The time to return as a multiple of the time in which the excess is worked off. */
const excessRetryFactor = 6;

/** Times to return are spread by up to this much, in milliseconds, so that refused calls do not come back all at once. */
const retryJitterMs = 300;

/** When a call to a plain service returns after a refusal, in milliseconds; its whole time is about a second. */
const plainRetryAfterMs = 250;

/** Calls per slot at a plain service beyond which its queue would only grow. */
const maxPlainCallsPerSlot = 3;

/**
 * Places a call at an engine.
 *
 * @param timing - the engine's published timing
 * @param candidates - the instances that hold what the call needs
 * @param call - the call
 * @param randomBelow - returns a whole number below its argument
 */
export function selectEngineInstance(timing: EngineTiming, candidates: readonly Candidate[], call: CallRequirements, randomBelow: (bound: number) => number): Placement {
	const ranked = candidates.map(candidate => {
		const predictedMs = predictFirstEventMs(timing, candidate.load, call.promptTokens);
		return {candidate, predictedMs, costMs: predictedMs + penaltyMs(candidate)};
	}).filter(({candidate, predictedMs}) => predictedMs <= candidate.startWindowMs);
	if (ranked.length === 0) {
		return {kind: 'refuse', reason: 'no_upstream', retryAfterMs: noUpstreamRetryAfterMs + randomBelow(retryJitterMs)};
	}

	const limitMs = onTimeLimitMs(timing, call);
	const beforeDeadline = ranked.filter(({predictedMs}) => predictedMs < call.deadlineLeftMs);
	const onTime = beforeDeadline.filter(({predictedMs}) => call.isResponseStarted || predictedMs <= limitMs);
	const belowLateShare = beforeDeadline.filter(({candidate}) => candidate.load.calls < candidate.slots * lateCallSlotShare);
	const best = pickLowestCost(onTime, randomBelow) ?? pickLowestCost(belowLateShare, randomBelow);
	return best
		? {kind: 'place', id: best.candidate.id, predictedMs: best.predictedMs}
		: {kind: 'refuse', reason: 'overloaded', retryAfterMs: overloadRetryAfterMs(timing, candidates, randomBelow)};
}

/** Returns when a call that was refused for load may find a place, in milliseconds. */
function overloadRetryAfterMs(timing: EngineTiming, candidates: readonly Candidate[], randomBelow: (bound: number) => number): number {
	const excess = Math.max(1, Math.min(...candidates.map(({load, slots}) => load.calls - slots + 1)));
	const drainMs = excess * meanSlotTimeMs(timing) / timing.slots;
	return Math.min(overloadRetryLimitsMs.max, Math.max(overloadRetryLimitsMs.min, drainMs * excessRetryFactor)) + randomBelow(retryJitterMs);
}

/** Returns the longest forecast that counts as on time, in milliseconds. */
function onTimeLimitMs(timing: EngineTiming, {promptTokens, aimLeftMs}: CallRequirements): number {
	const unloadedMs = predictFirstEventMs(timing, {calls: 0, unreadTokens: 0, slowness: 1}, promptTokens);
	return Math.min(onTimeBudgetShares.max * aimLeftMs, Math.max(onTimeBudgetShares.base * aimLeftMs, unloadedMs + (onTimeBudgetShares.extraWait * aimLeftMs)));
}

/**
 * Places a call at a plain service: the fewest calls per slot, in the own zone first.
 *
 * @param candidates - the instances of the service
 * @param randomBelow - returns a whole number below its argument
 */
export function selectPlainInstance(candidates: readonly Candidate[], randomBelow: (bound: number) => number): Placement {
	const ranked = candidates.map(candidate => {
		const perSlot = candidate.load.calls / Math.max(1, candidate.slots);
		return {candidate, predictedMs: 0, costMs: (perSlot * 100) + penaltyMs(candidate)};
	});
	const best = pickLowestCost(ranked, randomBelow);
	if (!best) {
		return {kind: 'refuse', reason: 'no_upstream', retryAfterMs: plainRetryAfterMs};
	}

	if (best.candidate.load.calls >= best.candidate.slots * maxPlainCallsPerSlot) {
		return {kind: 'refuse', reason: 'overloaded', retryAfterMs: plainRetryAfterMs};
	}

	return {kind: 'place', id: best.candidate.id, predictedMs: 0};
}

function penaltyMs({isLocal, isSuspect}: Candidate): number {
	return (isLocal ? 0 : crossZonePenaltyMs) + (isSuspect ? suspectPenaltyMs : 0);
}

function pickLowestCost<Item extends {readonly costMs: number}>(items: readonly Item[], randomBelow: (bound: number) => number): Item | undefined {
	const lowest = Math.min(...items.map(({costMs}) => costMs));
	const tied = items.filter(({costMs}) => costMs <= lowest + tieToleranceMs);
	return tied.length === 0 ? undefined : tied[randomBelow(tied.length)];
}
