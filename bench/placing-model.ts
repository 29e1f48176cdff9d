/**
 * Seeded discrete-event simulation of callers, entries (gateways) and batching engines. Runs the real selection code on a virtual clock.
 *
 * An entry knows its own calls in flight immediately and those of other entries after a delay. A caller retries once after a refusal.
 */
import {BatchingEngine} from '../standins/batching-engine.ts';
import type {EngineTiming} from '../src/directory/directory-types.ts';
import type {EngineLoad} from '../src/forwarding/engine-forecast.ts';
import {type Candidate, type Placement, selectEngineInstance} from '../src/forwarding/select-instance.ts';
import {RandomSource} from '../src/runtime/random-source.ts';
import {EventQueue} from './event-queue.ts';

export type CallKind = {
	readonly name: string;
	/** Relative share of the calls; the shares need not add up to 1. */
	readonly share: number;
	/** Mean length of the prompt and of the response, in tokens. */
	readonly promptTokens: number;
	readonly answerTokens: number;
	/** Target time to first byte, in milliseconds. */
	readonly aimMs: number;
	/** Value of a call of average size if its response is on time, and if it is late. */
	readonly onTimeValue: number;
	readonly lateValue: number;
};

/** Selects an engine for a call, or refuses the call. */
export type PlacementPolicy = (input: {
	readonly timing: EngineTiming;
	readonly candidates: readonly Candidate[];
	readonly promptTokens: number;
	readonly answerTokens: number;
	readonly aimLeftMs: number;
	readonly deadlineLeftMs: number;
	readonly randomBelow: (bound: number) => number;
}) => Placement;

/** The parameters of a simulation run. */
export type PlacingScenario = {
	readonly seed: number;
	readonly policy: PlacementPolicy;
	readonly timing: EngineTiming;
	readonly kinds: readonly CallKind[];
	/** Calls per second that arrive at all entries together. */
	readonly callsPerSecond: number;
	readonly entries: number;
	readonly engines: number;
	/** Number of engines that are slower than their published timing, and the factor by which they are slower. */
	readonly slowEngines: number;
	readonly slowness: number;
	readonly seconds: number;
	/** Interval at which each entry sends all its load counts to the other entries, in milliseconds. */
	readonly broadcastIntervalMs: number;
	/** Whether an entry also sends each change of a count immediately. */
	readonly broadcastsChanges: boolean;
	/** Network delay of the load counts between entries, in milliseconds. */
	readonly broadcastDelayMs: number;
	readonly deadlineMs: number;
	/** Longest pause between two events of a stream that still counts as on time, in milliseconds. */
	readonly maxPauseMs: number;
};

/** The result of a call, including its retry. `maxValue` is the value of an on-time response, `answerMs` the time to first byte (0 if refused). */
export type CallResult = {readonly kind: string; readonly value: number; readonly maxValue: number; readonly outcome: 'on time' | 'late' | 'refused' | 'refused again'; readonly answerMs: number};

/** The load that one entry causes at each engine, and the last counts received from the other entries. */
type Entry = {readonly ownLoads: Load[]; remoteLoads: Load[][]};

/** Calls in flight, and those of their prompt tokens that the engine has not processed yet. */
type Load = {calls: number; unreadTokens: number};

type Call = {
	readonly kind: CallKind; readonly promptTokens: number; readonly answerTokens: number; readonly valueFactor: number; readonly arrivedAtMs: number; readonly deadlineAtMs: number;
	retries: number;
};

const msPerSecond = 1000;

/** One-way network latency between caller and entry, and between entry and engine, in milliseconds. */
const callerLatencyMs = 3;
const engineLatencyMs = 1.5;

/** Tokens per event of a stream. */
const tokensPerEvent = 5;

/** A call's value relative to the value of its kind: a fixed share plus a share that is proportional to its size, up to a maximum factor. */
const fixedValueShare = 0.3;
const maxValueFactor = 4;

/** Weight of a response token relative to a prompt token when the size of a call is computed. */
const answerTokenWeight = 10;

/** Duration of the warm-up, in milliseconds. Calls that arrive earlier are not counted, because the engines are not in steady state yet. */
const warmUpMs = 3000;

/** Engine parameters that are not published: prompt tokens per prefill pass, queue length, and the prefill time spent on attention. */
const engineLimits = {prefillChunkTokens: 2048, maxQueuedCalls: 32, attentionMsPerMillionPairs: 1.47};

/** Simulates one scenario. */
export class PlacingModel {
	private nowMs = 0;
	private readonly events = new EventQueue();
	private readonly random: RandomSource;
	private readonly engines: BatchingEngine[];
	private readonly entries: Entry[];
	private readonly results: CallResult[] = [];

	constructor(private readonly scenario: PlacingScenario) {
		this.random = new RandomSource(scenario.seed);
		this.engines = Array.from({length: scenario.engines}, (item, index) => new BatchingEngine({
			...engineLimits, timing: scenario.timing, slowness: index < scenario.slowEngines ? scenario.slowness : 1,
			after: (ms, run) => {
				this.scheduleAfter(ms, run);
			},
		}));
		this.entries = Array.from({length: scenario.entries}, () => ({ownLoads: this.createLoads(), remoteLoads: []}));
	}

	/** Runs the simulation to its end and returns the results of the calls that arrived after the warm-up. */
	run(): readonly CallResult[] {
		this.scheduleArrival();
		this.scheduleBroadcast();
		for (let event = this.events.pop(); event; event = this.events.pop()) {
			this.nowMs = event.atMs;
			event.run();
		}

		return this.results;
	}

	private scheduleAfter(ms: number, run: () => void): void {
		this.events.push(this.nowMs + ms, run);
	}

	private createLoads(): Load[] {
		return Array.from({length: this.scenario.engines}, () => ({calls: 0, unreadTokens: 0}));
	}

	private get isOver(): boolean {
		return this.nowMs > this.scenario.seconds * msPerSecond;
	}

	private scheduleArrival(): void {
		this.scheduleAfter(this.drawExponential(msPerSecond / this.scenario.callsPerSecond), () => {
			if (!this.isOver) {
				this.sendToRandomEntry(this.createCall());
				this.scheduleArrival();
			}
		});
	}

	private scheduleBroadcast(): void {
		this.scheduleAfter(this.scenario.broadcastIntervalMs, () => {
			const counts = this.entries.map(({ownLoads}) => ownLoads.map(load => ({...load})));
			this.scheduleAfter(this.scenario.broadcastDelayMs, () => {
				for (const [index, entry] of this.entries.entries()) {
					entry.remoteLoads = counts.filter((item, other) => other !== index).map(loads => loads.map(load => ({...load})));
				}
			});
			if (!this.isOver) {
				this.scheduleBroadcast();
			}
		});
	}

	/** Sends the changed load at one engine to the other entries. */
	private broadcastChange(entry: Entry, index: number): void {
		if (!this.scenario.broadcastsChanges) {
			return;
		}

		const loadSnapshot = {...entry.ownLoads[index]!};
		const entryIndex = this.entries.indexOf(entry);
		this.scheduleAfter(this.scenario.broadcastDelayMs, () => {
			for (const [otherIndex, other] of this.entries.entries()) {
				if (otherIndex !== entryIndex && other.remoteLoads.length > 0) {
					other.remoteLoads[entryIndex < otherIndex ? entryIndex : entryIndex - 1]![index] = loadSnapshot;
				}
			}
		});
	}

	private createCall(): Call {
		const {kinds, deadlineMs} = this.scenario;
		let remaining = this.random.nextInt(msPerSecond) / msPerSecond * kinds.reduce((sum, {share}) => sum + share, 0);
		const kind = kinds.find(({share}) => {
			remaining -= share;
			return remaining < 0;
		}) ?? kinds.at(-1)!;
		const promptTokens = Math.max(1, Math.round(Math.min(3 * kind.promptTokens, this.drawExponential(kind.promptTokens))));
		const answerTokens = Math.max(tokensPerEvent, Math.round(Math.min(2.5 * kind.answerTokens, this.drawExponential(kind.answerTokens))));
		const relativeSize = (promptTokens + (answerTokenWeight * answerTokens)) / (kind.promptTokens + (answerTokenWeight * kind.answerTokens));
		return {
			kind, promptTokens, answerTokens, retries: 0, arrivedAtMs: this.nowMs, deadlineAtMs: this.nowMs + deadlineMs,
			valueFactor: Math.min(maxValueFactor, fixedValueShare + ((1 - fixedValueShare) * relativeSize)),
		};
	}

	private drawExponential(mean: number): number {
		return -mean * Math.log((this.random.nextInt(1_000_000) + 1) / 1_000_001);
	}

	private sendToRandomEntry(call: Call): void {
		const entry = this.entries[this.random.nextInt(this.entries.length)]!;
		this.scheduleAfter(callerLatencyMs, () => {
			this.place(call, entry);
		});
	}

	private place(call: Call, entry: Entry): void {
		const {policy, timing} = this.scenario;
		const placement = policy({
			timing,
			candidates: this.engines.map((item, index) => this.createCandidate(entry, index)),
			promptTokens: call.promptTokens,
			answerTokens: call.answerTokens,
			aimLeftMs: call.arrivedAtMs + call.kind.aimMs - this.nowMs,
			deadlineLeftMs: call.deadlineAtMs - this.nowMs,
			randomBelow: bound => this.random.nextInt(bound),
		});
		if (placement.kind === 'refuse') {
			this.handleRefusal(call, placement.retryAfterMs);
			return;
		}

		this.send(call, entry, Number(placement.id));
	}

	private createCandidate(entry: Entry, index: number): Candidate {
		const load: EngineLoad = {
			calls: entry.ownLoads[index]!.calls + entry.remoteLoads.reduce((sum, loads) => sum + loads[index]!.calls, 0),
			unreadTokens: entry.ownLoads[index]!.unreadTokens + entry.remoteLoads.reduce((sum, loads) => sum + loads[index]!.unreadTokens, 0),
			slowness: index < this.scenario.slowEngines ? this.scenario.slowness : 1,
		};
		return {
			id: String(index), isLocal: true, load, slots: this.scenario.timing.slots, isSuspect: false, startWindowMs: Number.POSITIVE_INFINITY,
		};
	}

	private send(call: Call, entry: Entry, index: number): void {
		const load = entry.ownLoads[index]!;
		const {promptTokens, answerTokens} = call;
		let lastTokenAtMs = 0;
		let longestPauseMs = 0;
		let firstTokenAtMs = 0;
		load.calls++;
		load.unreadTokens += promptTokens;
		this.broadcastChange(entry, index);
		this.scheduleAfter(engineLatencyMs, () => {
			const cancel = this.engines[index]!.submit({
				promptTokens, answerTokens, onTokens: written => {
					if (firstTokenAtMs === 0) {
						firstTokenAtMs = this.nowMs;
						load.unreadTokens -= promptTokens;
						this.broadcastChange(entry, index);
					} else {
						longestPauseMs = Math.max(longestPauseMs, this.nowMs - lastTokenAtMs);
					}

					lastTokenAtMs = this.nowMs;
					if (written >= answerTokens) {
						load.calls--;
						this.broadcastChange(entry, index);
						this.recordServed(call, firstTokenAtMs, longestPauseMs);
					}
				},
			});
			if (!cancel) {
				load.calls--;
				load.unreadTokens -= promptTokens;
				this.handleRefusal(call, msPerSecond);
			}
		});
	}

	private recordServed(call: Call, firstTokenAtMs: number, longestPauseMs: number): void {
		const answerMs = firstTokenAtMs + engineLatencyMs + callerLatencyMs - call.arrivedAtMs;
		const isOnTime = answerMs <= call.kind.aimMs && longestPauseMs <= this.scenario.maxPauseMs;
		this.recordResult(call, isOnTime ? 'on time' : 'late', answerMs);
	}

	private handleRefusal(call: Call, retryAfterMs: number): void {
		const retryAtMs = this.nowMs + callerLatencyMs + retryAfterMs;
		if (call.retries > 0 || retryAtMs >= call.deadlineAtMs) {
			this.recordResult(call, call.retries > 0 ? 'refused again' : 'refused', 0);
			return;
		}

		call.retries++;
		this.scheduleAfter(callerLatencyMs + retryAfterMs, () => {
			this.sendToRandomEntry(call);
		});
	}

	private recordResult({kind, valueFactor, arrivedAtMs}: Call, outcome: CallResult['outcome'], answerMs: number): void {
		if (arrivedAtMs < warmUpMs) {
			return;
		}

		const valueByOutcome = {
			'on time': kind.onTimeValue, late: kind.lateValue, refused: 0, 'refused again': 0,
		};
		this.results.push({
			kind: kind.name, maxValue: valueFactor * kind.onTimeValue, value: valueFactor * valueByOutcome[outcome], outcome, answerMs,
		});
	}
}

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

/** Creates a scenario of that deployment, with overrides. */
export function createScenario(overrides: Partial<PlacingScenario> = {}): PlacingScenario {
	return {
		seed: 1, policy: currentPolicy, timing: defaultTiming, kinds: defaultCallKinds, callsPerSecond: 137, entries: 6, engines: 11, slowEngines: 0, slowness: 1,
		seconds: 20, broadcastIntervalMs: 480, broadcastsChanges: true, broadcastDelayMs: 4, deadlineMs: 6033, maxPauseMs: 400, ...overrides,
	};
}
