/** Selection policies and scenarios of the simulation in `placing-model.ts`. */
import type {EngineTiming} from '../src/directory/directory-types.ts';
import {engineSamples} from '../src/placement/instance-selector.ts';
import {selectEngineInstance} from '../src/placement/select-instance.ts';
import type {CallKind, PlacementPolicy, PlacingScenario} from './placing-types.ts';

/** The selection that the gateway uses. */
export const currentPolicy: PlacementPolicy = ({timing, candidates, promptTokens, aimLeftMs, deadlineLeftMs, randomBelow}) =>
	selectEngineInstance(timing, candidates, {
		promptTokens, aimLeftMs, deadlineLeftMs, isResponseStarted: false,
	}, randomBelow);

/** Selects a random engine regardless of load; never refuses. */
export const randomPolicy: PlacementPolicy = ({candidates, randomBelow}) => ({kind: 'place', id: candidates[randomBelow(candidates.length)]!.id, predictedMs: 0});

/** Selects the engine with the fewest calls in flight regardless of their size; never refuses. */
export const fewestCallsPolicy: PlacementPolicy = ({candidates, randomBelow}) => {
	const fewest = Math.min(...candidates.map(({load}) => load.calls));
	const tied = candidates.filter(({load}) => load.calls === fewest);
	return {kind: 'place', id: tied[randomBelow(tied.length)]!.id, predictedMs: 0};
};

/** The call kinds of a deployment with three kinds of streams. */
export const defaultCallKinds: readonly CallKind[] = [
	{
		name: 'long', share: 55.2, promptTokens: 1330, answerTokens: 105, aimMs: 503, onTimeValue: 2.4, lateValue: 0.6,
	},
	{
		name: 'middle', share: 42.1, promptTokens: 827, answerTokens: 105, aimMs: 402, onTimeValue: 2, lateValue: 0.49,
	},
	{
		name: 'short', share: 39.7, promptTokens: 647, answerTokens: 70, aimMs: 402, onTimeValue: 1.5, lateValue: 0.37,
	},
];

/** The published engine timing of that deployment. */
export const defaultTiming: EngineTiming = {
	slots: 16, stepMs: 8.87, perCallMs: 0.0388, contextMsPerKilotoken: 0.0227, readTokensPerMs: 19.1, stepsPerPass: 5,
	usualPromptTokens: 977, usualAnswerTokens: 94, layers: 16, chunkCount: 96, chunkBytes: 24_576, models: ['m'],
};

/** The published engine timing of a deployment of hundreds of VMs with smaller and slower engines. */
export const largeFleetTiming: EngineTiming = {
	...defaultTiming, slots: 8, stepMs: 13.3, perCallMs: 0.0582, contextMsPerKilotoken: 0.0341, readTokensPerMs: 12.7, usualPromptTokens: 1003, usualAnswerTokens: 72,
};

/** The call kinds of that deployment. */
const largeFleetCallKinds: readonly CallKind[] = [
	{
		name: 'long', share: 341, promptTokens: 1330, answerTokens: 75, aimMs: 803, onTimeValue: 2.2, lateValue: 0.56,
	},
	{
		name: 'middle', share: 250, promptTokens: 827, answerTokens: 75, aimMs: 602, onTimeValue: 1.9, lateValue: 0.47,
	},
	{
		name: 'short', share: 189, promptTokens: 647, answerTokens: 70, aimMs: 502, onTimeValue: 1.7, lateValue: 0.43,
	},
];

/** What a gateway asks before each call. */
export const asksCounters: Partial<PlacingScenario> = {askedEngines: engineSamples.map(({local, remote}) => local + remote), broadcastDelayMs: 3};

/** A fleet of hundreds of VMs. */
export const largeFleet: Partial<PlacingScenario> = {
	entries: 99, engines: 109, timing: largeFleetTiming, kinds: largeFleetCallKinds, maxPauseMs: 600, seconds: 10,
};

/** Creates a scenario of the first deployment, with overrides. */
export function createScenario(overrides: Partial<PlacingScenario> = {}): PlacingScenario {
	return {
		seed: 1, policy: currentPolicy, timing: defaultTiming, kinds: defaultCallKinds, callsPerSecond: 137, entries: 6, engines: 11, slowEngines: 0, slowness: 1,
		seconds: 20, broadcastIntervalMs: 480, broadcastsChanges: true, broadcastDelayMs: 4, askedEngines: [], deadlineMs: 6033, maxPauseMs: 400, ...overrides,
	};
}
