/**
 * Predicts the time to first event of a call at an engine with continuous batching, from the engine's published timing.
 *
 * With many streams on few engines, the instance with the fewest calls is often not the one with the shortest wait.
 */
import type {EngineTiming} from '../directory/directory-types.ts';

/** Calls in flight at one instance, and those of their prompt tokens that the engine has not processed (prefilled) yet. */
export type InFlightCounts = {readonly calls: number; readonly unreadTokens: number};

/** The known load of one engine, over all gateways. */
export type EngineLoad = InFlightCounts & {
	/** Smoothed ratio of measured to predicted time to first event; 1 if the engine is as fast as published. */
	readonly slowness: number;
	/** How long work takes at the engine at this moment; 1, the default, is as usual. */
	readonly pace?: number;
};

/** The time in which a momentary pace returns to the usual one by about two thirds, in milliseconds. */
const paceDecayMs = 150;

const tokensPerKilotoken = 1000;

/**
 * Returns the duration of one decoding step, in milliseconds.
 *
 * @param timing - the published timing
 * @param decodingCalls - number of calls in the batch that generate tokens
 */
export function decodeStepMs(timing: EngineTiming, decodingCalls: number): number {
	const contextKilotokens = (timing.usualPromptTokens + (timing.usualAnswerTokens / 2)) / tokensPerKilotoken;
	return timing.stepMs + (decodingCalls * (timing.perCallMs + (timing.contextMsPerKilotoken * contextKilotokens)));
}

/**
 * Returns the mean time that a call occupies its slot while all slots of the engine are in use, in milliseconds.
 *
 * @param timing - the published timing
 */
export function meanSlotTimeMs(timing: EngineTiming): number {
	const fullBatchPrefillMs = timing.slots * timing.usualPromptTokens / timing.readTokensPerMs;
	return (timing.usualAnswerTokens * decodeStepMs(timing, timing.slots)) + fullBatchPrefillMs;
}

/**
 * Predicts the time to the first event of the response, in milliseconds.
 *
 * @param timing - the published timing
 * @param load - the current load of the engine
 * @param promptTokens - number of prompt tokens of the new call
 */
export function predictFirstEventMs(timing: EngineTiming, load: EngineLoad, promptTokens: number): number {
	const decodingCalls = Math.min(load.calls, timing.slots);
	const prefillMs = (load.unreadTokens + promptTokens) / timing.readTokensPerMs;
	const remainingPassMs = decodingCalls > 0 ? timing.stepsPerPass * decodeStepMs(timing, decodingCalls) / 2 : 0;
	const queuedAhead = load.calls - timing.slots + 1;
	const queueMs = queuedAhead > 0 ? queuedAhead * meanSlotTimeMs(timing) / timing.slots : 0;
	// The first event is sent at the end of the pass that follows the prefill.
	const decodeMs = (timing.stepsPerPass + 1) * decodeStepMs(timing, decodingCalls + 1);
	const usualMs = load.slowness * (prefillMs + remainingPassMs + queueMs + decodeMs);
	return load.pace === undefined || load.pace === 1 ? usualMs : usualMs * meanPace(load.pace, usualMs);
}

/** Returns the mean pace that is expected over a time from now on, in milliseconds: close to the usual one over a long time. */
function meanPace(pace: number, durationMs: number): number {
	const decays = Math.max(Number.MIN_VALUE, durationMs / paceDecayMs);
	return 1 + ((pace - 1) * (1 - Math.exp(-decays)) / decays);
}
