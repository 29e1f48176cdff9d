/**
 * Decides where a call goes, or that it is refused and when it may return. No I/O, no clock.
 *
 * It answers two loads: streams above what the engines carry, where only calls that can still be on time are worth a place,
 * and calls to plain services, where any place that works will do.
 */
import type {EngineTiming} from '../directory/directory-types.ts';
import {type EngineLoad, firstEventMs, slotTimeMs} from './engine-forecast.ts';

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
	readonly beginWithinMs: number;
};

/** The call to place. */
export type PlacedCall = {
	readonly promptTokens: number;
	/** Time left until the answer counts as late, in milliseconds; negative when it is late already. */
	readonly aimLeftMs: number;
	/** Time left until the caller leaves, in milliseconds. */
	readonly deadlineLeftMs: number;
	/** Whether the caller has a part of the answer already, which is worth nothing without the rest. */
	readonly hasBegun: boolean;
};

/** What was decided. */
export type Placement =
	| {readonly kind: 'place'; readonly id: string; readonly predictedMs: number}
	| {readonly kind: 'refuse'; readonly reason: 'no_upstream' | 'overloaded'; readonly retryAfterMs: number};

/** Forecasts closer than this are the same, in milliseconds; the place is then drawn, since several entries choose at once. */
const sameForecastMs = 12;

/** What a place in another zone must be better by, in milliseconds; its bytes cross a narrow link. */
const remotePenaltyMs = 45;

/** What a place with recent failures must be better by, in milliseconds. */
const suspectPenaltyMs = 300;

/** Share of the slots that late calls may use; a late answer is worth little and must not make others late. */
const lateShare = 0.5;

/**
 * Shares of the time left within which a forecast counts as on time.
 *
 * `usual` keeps short waits for all. `wait` lets a call with a long prompt wait as well, which would never fit otherwise, up to `most`.
 */
const onTimeShares = {usual: 0.65, wait: 0.3, most: 0.92};

/** When a call returns that found no engine at all, in milliseconds; engines come back after seconds. */
const noUpstreamRetryMs = 1600;

/**
 * Shortest and longest time to return after a refusal for load, in milliseconds.
 *
 * A call that returns is late in any case, so that it returns when a place is likely rather than soon.
 */
const overloadRetryMs = {min: 700, max: 1600};

/** The time to return as a multiple of the time in which the excess is worked off. */
const retryPerExcess = 6;

/** Times to return are spread by up to this much, in milliseconds, so that refused calls do not come back all at once. */
const retrySpreadMs = 300;

/** When a call to a plain service returns after a refusal, in milliseconds; its whole time is about a second. */
const plainRetryMs = 250;

/** Calls per slot at a plain service beyond which its queue would only grow. */
const plainQueuePerSlot = 3;

/**
 * Places a call at an engine.
 *
 * @param timing - the engine's published timing
 * @param candidates - the instances that hold what the call needs
 * @param call - the call
 * @param draw - returns a whole number below its argument
 */
export function placeAtEngine(timing: EngineTiming, candidates: readonly Candidate[], call: PlacedCall, draw: (bound: number) => number): Placement {
	const forecasts = candidates.map(candidate => {
		const predictedMs = firstEventMs(timing, candidate.load, call.promptTokens);
		return {candidate, predictedMs, costMs: predictedMs + penaltyMs(candidate)};
	}).filter(({candidate, predictedMs}) => predictedMs <= candidate.beginWithinMs);
	if (forecasts.length === 0) {
		return {kind: 'refuse', reason: 'no_upstream', retryAfterMs: noUpstreamRetryMs + draw(retrySpreadMs)};
	}

	const limitMs = onTimeLimitMs(timing, call);
	const inTime = forecasts.filter(({predictedMs}) => predictedMs < call.deadlineLeftMs);
	const onTime = inTime.filter(({predictedMs}) => call.hasBegun || predictedMs <= limitMs);
	const withRoom = inTime.filter(({candidate}) => candidate.load.calls < candidate.slots * lateShare);
	const best = drawLowest(onTime, draw) ?? drawLowest(withRoom, draw);
	return best
		? {kind: 'place', id: best.candidate.id, predictedMs: best.predictedMs}
		: {kind: 'refuse', reason: 'overloaded', retryAfterMs: overloadRetryAfterMs(timing, candidates, draw)};
}

/** Returns when a call that was refused for load may find a place, in milliseconds. */
function overloadRetryAfterMs(timing: EngineTiming, candidates: readonly Candidate[], draw: (bound: number) => number): number {
	const excess = Math.max(1, Math.min(...candidates.map(({load, slots}) => load.calls - slots + 1)));
	const freeMs = excess * slotTimeMs(timing) / timing.slots;
	return Math.min(overloadRetryMs.max, Math.max(overloadRetryMs.min, freeMs * retryPerExcess)) + draw(retrySpreadMs);
}

/** Returns the longest forecast that counts as on time, in milliseconds. */
function onTimeLimitMs(timing: EngineTiming, {promptTokens, aimLeftMs}: PlacedCall): number {
	const aloneMs = firstEventMs(timing, {calls: 0, unreadTokens: 0, slowness: 1}, promptTokens);
	return Math.min(onTimeShares.most * aimLeftMs, Math.max(onTimeShares.usual * aimLeftMs, aloneMs + (onTimeShares.wait * aimLeftMs)));
}

/**
 * Places a call at a plain service: the fewest calls per slot, in the own zone first.
 *
 * @param candidates - the instances of the service
 * @param draw - returns a whole number below its argument
 */
export function placeAtService(candidates: readonly Candidate[], draw: (bound: number) => number): Placement {
	const ranked = candidates.map(candidate => {
		const perSlot = candidate.load.calls / Math.max(1, candidate.slots);
		return {candidate, predictedMs: 0, costMs: (perSlot * 100) + penaltyMs(candidate)};
	});
	const best = drawLowest(ranked, draw);
	if (!best) {
		return {kind: 'refuse', reason: 'no_upstream', retryAfterMs: plainRetryMs};
	}

	if (best.candidate.load.calls >= best.candidate.slots * plainQueuePerSlot) {
		return {kind: 'refuse', reason: 'overloaded', retryAfterMs: plainRetryMs};
	}

	return {kind: 'place', id: best.candidate.id, predictedMs: 0};
}

function penaltyMs({isLocal, isSuspect}: Candidate): number {
	return (isLocal ? 0 : remotePenaltyMs) + (isSuspect ? suspectPenaltyMs : 0);
}

function drawLowest<Item extends {readonly costMs: number}>(items: readonly Item[], draw: (bound: number) => number): Item | undefined {
	const lowest = Math.min(...items.map(({costMs}) => costMs));
	const equal = items.filter(({costMs}) => costMs <= lowest + sameForecastMs);
	return equal.length === 0 ? undefined : equal[draw(equal.length)];
}
