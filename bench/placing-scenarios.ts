/** Selection policies and scenarios of the simulation in `placing-model.ts`. */
import type {EngineTiming} from '../src/directory/directory-types.ts';
import {meanSlotTimeMs} from '../src/placement/engine-forecast.ts';
import {engineSamples} from '../src/placement/sample-instances.ts';
import {selectEngineInstance} from '../src/placement/select-instance.ts';
import type {CallKind, PlacementPolicy, PlacingScenario} from './placing-types.ts';

/** The selection that the gateway uses. */
export const currentPolicy: PlacementPolicy = ({timing, candidates, promptTokens, aimLeftMs, deadlineLeftMs, urgencyLimit, randomBelow}) =>
	selectEngineInstance(timing, candidates, {
		promptTokens, aimLeftMs, deadlineLeftMs, isResponseStarted: false, urgencyLimit,
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
		name: 'long', priority: 0, share: 55.2, promptTokens: 1330, answerTokens: 105, aimMs: 503, onTimeValue: 2.4, lateValue: 0.6,
	},
	{
		name: 'middle', priority: 1, share: 42.1, promptTokens: 827, answerTokens: 105, aimMs: 402, onTimeValue: 2, lateValue: 0.49,
	},
	{
		name: 'short', priority: 2, share: 39.7, promptTokens: 647, answerTokens: 70, aimMs: 402, onTimeValue: 1.5, lateValue: 0.37,
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
		name: 'long', priority: 0, share: 341, promptTokens: 1330, answerTokens: 75, aimMs: 803, onTimeValue: 2.2, lateValue: 0.56,
	},
	{
		name: 'middle', priority: 1, share: 250, promptTokens: 827, answerTokens: 75, aimMs: 602, onTimeValue: 1.9, lateValue: 0.47,
	},
	{
		name: 'short', priority: 2, share: 189, promptTokens: 647, answerTokens: 70, aimMs: 502, onTimeValue: 1.7, lateValue: 0.43,
	},
];

/** What a gateway asks before each call. */
export const asksCounters: Partial<PlacingScenario> = {askedEngines: engineSamples.map(({local, remote}) => local + remote), broadcastDelayMs: 3};

/** A fleet of hundreds of VMs. */
export const largeFleet: Partial<PlacingScenario> = {
	entries: 99, engines: 109, timing: largeFleetTiming, kinds: largeFleetCallKinds, maxPauseMs: 600, seconds: 10,
};

/** Published timing of engines whose calls of three kinds differ widely in value. */
const steepTiming: EngineTiming = {
	...defaultTiming, slots: 12, stepMs: 6.73, perCallMs: 0.0294, contextMsPerKilotoken: 0.0172, readTokensPerMs: 30.6, usualPromptTokens: 942, usualAnswerTokens: 90,
};

/** Published timing of engines whose calls of three kinds are of similar value. */
const flatTiming: EngineTiming = {
	...defaultTiming, slots: 12, usualPromptTokens: 980, usualAnswerTokens: 98,
};

/** A fleet whose more urgent calls are worth several times as much as the less urgent ones. */
export const steepFleet: Partial<PlacingScenario> = {
	engines: 36, entries: 36, timing: steepTiming, maxPauseMs: 300, deadlineMs: 6000, kinds: [
		{
			name: 'first', priority: 0, share: 155, promptTokens: 1330, answerTokens: 105, aimMs: 403, onTimeValue: 3.7, lateValue: 0.37,
		},
		{
			name: 'second', priority: 1, share: 186, promptTokens: 827, answerTokens: 105, aimMs: 402, onTimeValue: 1.7, lateValue: 0.42,
		},
		{
			name: 'third', priority: 2, share: 132, promptTokens: 647, answerTokens: 50, aimMs: 802, onTimeValue: 0.51, lateValue: 0.19,
		},
	],
};

/** A fleet whose calls are of similar value. */
export const flatFleet: Partial<PlacingScenario> = {
	engines: 36, entries: 14, timing: flatTiming, maxPauseMs: 400, deadlineMs: 6000, kinds: [
		{
			name: 'first', priority: 0, share: 171, promptTokens: 1330, answerTokens: 110, aimMs: 503, onTimeValue: 2.4, lateValue: 0.6,
		},
		{
			name: 'second', priority: 1, share: 125, promptTokens: 827, answerTokens: 105, aimMs: 402, onTimeValue: 2, lateValue: 0.5,
		},
		{
			name: 'third', priority: 2, share: 122, promptTokens: 647, answerTokens: 70, aimMs: 402, onTimeValue: 1.5, lateValue: 0.36,
		},
	],
};

/** Demand of a fleet over four zones in two regions: how much arrives at each entry. */
export const unevenDemands: Readonly<Record<string, Partial<PlacingScenario>>> = {
	even: {},
	swinging: {entryWeight: (entry, ms) => 1 + (0.8 * Math.sin((ms / 700) + ((entry % 4) * Math.PI / 2)))},
	moving: {entryWeight: (entry, ms) => (Math.floor(ms / 3000) % 4 === entry % 4 ? 6 : 1)},
	'one gateway gets 3 of 5 calls': {entryWeight: entry => (entry === 0 ? 54 : 1)},
};

/**
 * Returns the calls per second that a fleet is offered at a load.
 *
 * @param load - multiple of what the engines can serve
 */
export function callsAtLoad(load: number, {engines, timing}: Pick<PlacingScenario, 'engines' | 'timing'>): number {
	return load * engines * timing.slots * 1000 / meanSlotTimeMs(timing);
}

/** Creates a scenario of the first deployment, with overrides. */
export function createScenario(overrides: Partial<PlacingScenario> = {}): PlacingScenario {
	return {
		seed: 1, policy: currentPolicy, timing: defaultTiming, kinds: defaultCallKinds, callsPerSecond: 137, entries: 6, engines: 11, slowEngines: 0, slowness: 1,
		seconds: 20, broadcastIntervalMs: 480, broadcastsChanges: true, broadcastDelayMs: 4, askedEngines: [], givesWay: false, deadlineMs: 6033, maxPauseMs: 400, ...overrides,
	};
}
