/**
 * Predicts when an engine that batches continuously gives the first event of a call's answer, from its published timing.
 *
 * The forecast answers the load of many streams on few engines, where a place with the least calls is not the one with the least waiting.
 */
import type {EngineTiming} from '../directory/directory-types.ts';

/** Calls at one instance and their prompt tokens that are not read yet. */
export type InFlightCounts = {readonly calls: number; readonly unreadTokens: number};

/** What is known of the work at one engine, from all entries. */
export type EngineLoad = InFlightCounts & {
	/** How much slower than published the engine is; 1 is as published. */
	readonly slowness: number;
};

const tokensPerKilotoken = 1000;

/**
 * Returns the time of one token step, in milliseconds.
 *
 * @param timing - the published timing
 * @param decodingCalls - calls that write at once
 */
export function decodeStepMs(timing: EngineTiming, decodingCalls: number): number {
	const contextKilotokens = (timing.usualPromptTokens + (timing.usualAnswerTokens / 2)) / tokensPerKilotoken;
	return timing.stepMs + (decodingCalls * (timing.perCallMs + (timing.contextMsPerKilotoken * contextKilotokens)));
}

/**
 * Returns the mean time that a call holds its slot on a full engine, in milliseconds.
 *
 * @param timing - the published timing
 */
export function meanSlotTimeMs(timing: EngineTiming): number {
	const fullBatchPrefillMs = timing.slots * timing.usualPromptTokens / timing.readTokensPerMs;
	return (timing.usualAnswerTokens * decodeStepMs(timing, timing.slots)) + fullBatchPrefillMs;
}

/**
 * Predicts the time to the first event of the answer, in milliseconds.
 *
 * @param timing - the published timing
 * @param load - the work at the engine
 * @param promptTokens - the prompt of the call to place
 */
export function predictFirstEventMs(timing: EngineTiming, load: EngineLoad, promptTokens: number): number {
	const decodingCalls = Math.min(load.calls, timing.slots);
	const prefillMs = (load.unreadTokens + promptTokens) / timing.readTokensPerMs;
	const currentPassMs = decodingCalls > 0 ? timing.stepsPerPass * decodeStepMs(timing, decodingCalls) / 2 : 0;
	const queuedAhead = load.calls - timing.slots + 1;
	const queueMs = queuedAhead > 0 ? queuedAhead * meanSlotTimeMs(timing) / timing.slots : 0;
	// An event goes out at the end of the pass after the one that read the prompt.
	const decodeMs = (timing.stepsPerPass + 1) * decodeStepMs(timing, decodingCalls + 1);
	return load.slowness * (prefillMs + currentPassMs + queueMs + decodeMs);
}
