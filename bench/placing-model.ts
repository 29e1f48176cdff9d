/**
 * A seeded model of callers, entries and batching engines that runs the real placing code on a virtual clock.
 *
 * Entries see their own calls at once and each other's counts late, callers return once after a refusal.
 */
import {BatchingEngine} from '../standins/batching-engine.ts';
import type {EngineTiming} from '../src/directory/directory-types.ts';
import type {EngineLoad} from '../src/forwarding/engine-forecast.ts';
import {type Candidate, type Placement, selectEngineInstance} from '../src/forwarding/select-instance.ts';
import {RandomSource} from '../src/runtime/random-source.ts';
import {EventQueue} from './event-queue.ts';

/** A kind of call and how much of the load it is. */
export type CallKind = {
	readonly name: string;
	readonly part: number;
	readonly promptTokens: number;
	readonly answerTokens: number;
	readonly aimMs: number;
	/** What an answer on time and a late one are worth. */
	readonly worth: number;
	readonly lateWorth: number;
};

/** Chooses a place. */
export type PlacePolicy = (input: {
	readonly timing: EngineTiming;
	readonly candidates: readonly Candidate[];
	readonly promptTokens: number;
	readonly answerTokens: number;
	readonly aimLeftMs: number;
	readonly deadlineLeftMs: number;
	readonly draw: (bound: number) => number;
}) => Placement;

/** One run. */
export type PlacingScenario = {
	readonly seed: number;
	readonly policy: PlacePolicy;
	readonly timing: EngineTiming;
	readonly kinds: readonly CallKind[];
	/** Calls a second over all entries. */
	readonly callsPerSecond: number;
	readonly entries: number;
	readonly engines: number;
	/** Engines, the first ones, that are slower than published, and by how much. */
	readonly slowEngines: number;
	readonly slowness: number;
	readonly seconds: number;
	/** Time between two tellings of all counts, in milliseconds. */
	readonly tellEveryMs: number;
	/** Whether each change of a count is told at once besides. */
	readonly tellsChanges: boolean;
	/** How long a telling is under way, in milliseconds. */
	readonly tellLagMs: number;
	readonly deadlineMs: number;
	readonly pauseAimMs: number;
};

/** How one call of a caller ended. */
export type PlacedEnd = {readonly kind: string; readonly worth: number; readonly owed: number; readonly outcome: 'on time' | 'late' | 'refused' | 'refused again'; readonly answerMs: number};

type Entry = {readonly own: Load[]; told: Load[][]};

type Load = {calls: number; unreadTokens: number};

type Call = {
	readonly kind: CallKind; readonly promptTokens: number; readonly answerTokens: number; readonly owed: number; readonly firstAtMs: number; readonly deadlineAtMs: number;
	/** Refusals so far. */
	returns: number;
};

const msPerSecond = 1000;

/** One way between caller and entry, and between entry and engine, in milliseconds. */
const callerWayMs = 3;
const engineWayMs = 1.5;

/** Tokens in one event of a stream. */
const eventTokens = 5;

/** What a caller's worth is made of: a fixed part and a part by size, at most this many times the kind's worth. */
const fixedWorth = 0.3;
const mostWorth = 4;

/** Weight of an answer token against a prompt token in the size. */
const answerWeight = 10;

/** The part of the run that is not counted, in milliseconds, until the engines are as full as they will be. */
const warmUpMs = 3000;

/** Prompt tokens that an engine reads in one pass, waiting calls, and the time of attention in reading. */
const engineLimits = {prefillChunkTokens: 2048, maxQueuedCalls: 32, attentionMsPerMillionPairs: 1.47};

/** Runs a scenario. */
export class PlacingModel {
	private nowMs = 0;
	private readonly events = new EventQueue();
	private readonly random: RandomSource;
	private readonly engines: BatchingEngine[];
	private readonly entries: Entry[];
	private readonly ends: PlacedEnd[] = [];

	/** @param scenario - what to run */
	constructor(private readonly scenario: PlacingScenario) {
		this.random = new RandomSource(scenario.seed);
		this.engines = Array.from({length: scenario.engines}, (item, index) => new BatchingEngine({
			...engineLimits, timing: scenario.timing, slowness: index < scenario.slowEngines ? scenario.slowness : 1,
			after: (ms, run) => {
				this.after(ms, run);
			},
		}));
		this.entries = Array.from({length: scenario.entries}, () => ({own: this.noLoad(), told: []}));
	}

	/** Runs to the end and returns how the calls ended that began after the warm-up. */
	run(): readonly PlacedEnd[] {
		this.scheduleArrival();
		this.scheduleTelling();
		for (let event = this.events.pop(); event; event = this.events.pop()) {
			this.nowMs = event.atMs;
			event.run();
		}

		return this.ends;
	}

	private after(ms: number, run: () => void): void {
		this.events.push(this.nowMs + ms, run);
	}

	private noLoad(): Load[] {
		return Array.from({length: this.scenario.engines}, () => ({calls: 0, unreadTokens: 0}));
	}

	private get isOver(): boolean {
		return this.nowMs > this.scenario.seconds * msPerSecond;
	}

	private scheduleArrival(): void {
		this.after(this.exponential(msPerSecond / this.scenario.callsPerSecond), () => {
			if (!this.isOver) {
				this.arrive(this.createCall());
				this.scheduleArrival();
			}
		});
	}

	private scheduleTelling(): void {
		this.after(this.scenario.tellEveryMs, () => {
			const counts = this.entries.map(({own}) => own.map(load => ({...load})));
			this.after(this.scenario.tellLagMs, () => {
				for (const [index, entry] of this.entries.entries()) {
					entry.told = counts.filter((item, other) => other !== index).map(loads => loads.map(load => ({...load})));
				}
			});
			if (!this.isOver) {
				this.scheduleTelling();
			}
		});
	}

	/** Tells the other entries one count. */
	private tellChange(entry: Entry, index: number): void {
		if (!this.scenario.tellsChanges) {
			return;
		}

		const load = {...entry.own[index]!};
		const from = this.entries.indexOf(entry);
		this.after(this.scenario.tellLagMs, () => {
			for (const [at, other] of this.entries.entries()) {
				if (at !== from && other.told.length > 0) {
					other.told[from < at ? from : from - 1]![index] = load;
				}
			}
		});
	}

	private createCall(): Call {
		const {kinds, deadlineMs} = this.scenario;
		let at = this.random.nextInt(msPerSecond) / msPerSecond * kinds.reduce((sum, {part}) => sum + part, 0);
		const kind = kinds.find(({part}) => {
			at -= part;
			return at < 0;
		}) ?? kinds.at(-1)!;
		const promptTokens = Math.max(1, Math.round(Math.min(3 * kind.promptTokens, this.exponential(kind.promptTokens))));
		const answerTokens = Math.max(eventTokens, Math.round(Math.min(2.5 * kind.answerTokens, this.exponential(kind.answerTokens))));
		const size = (promptTokens + (answerWeight * answerTokens)) / (kind.promptTokens + (answerWeight * kind.answerTokens));
		return {
			kind, promptTokens, answerTokens, returns: 0, firstAtMs: this.nowMs, deadlineAtMs: this.nowMs + deadlineMs, owed: Math.min(mostWorth, fixedWorth + ((1 - fixedWorth) * size)),
		};
	}

	private exponential(mean: number): number {
		return -mean * Math.log((this.random.nextInt(1_000_000) + 1) / 1_000_001);
	}

	private arrive(call: Call): void {
		const entry = this.entries[this.random.nextInt(this.entries.length)]!;
		this.after(callerWayMs, () => {
			this.place(call, entry);
		});
	}

	private place(call: Call, entry: Entry): void {
		const {policy, timing} = this.scenario;
		const placement = policy({
			timing,
			candidates: this.engines.map((item, index) => this.candidate(entry, index)),
			promptTokens: call.promptTokens,
			answerTokens: call.answerTokens,
			aimLeftMs: call.firstAtMs + call.kind.aimMs - this.nowMs,
			deadlineLeftMs: call.deadlineAtMs - this.nowMs,
			draw: bound => this.random.nextInt(bound),
		});
		if (placement.kind === 'refuse') {
			this.refuse(call, placement.retryAfterMs);
			return;
		}

		this.send(call, entry, Number(placement.id));
	}

	private candidate(entry: Entry, index: number): Candidate {
		const load: EngineLoad = {
			calls: entry.own[index]!.calls + entry.told.reduce((sum, loads) => sum + loads[index]!.calls, 0),
			unreadTokens: entry.own[index]!.unreadTokens + entry.told.reduce((sum, loads) => sum + loads[index]!.unreadTokens, 0),
			slowness: index < this.scenario.slowEngines ? this.scenario.slowness : 1,
		};
		return {
			id: String(index), isLocal: true, load, slots: this.scenario.timing.slots, isSuspect: false, startWindowMs: Number.POSITIVE_INFINITY,
		};
	}

	private send(call: Call, entry: Entry, index: number): void {
		const load = entry.own[index]!;
		const {promptTokens, answerTokens} = call;
		let lastAtMs = 0;
		let longestPauseMs = 0;
		let firstAtMs = 0;
		load.calls++;
		load.unreadTokens += promptTokens;
		this.tellChange(entry, index);
		this.after(engineWayMs, () => {
			const cancel = this.engines[index]!.submit({
				promptTokens, answerTokens, onTokens: written => {
					if (firstAtMs === 0) {
						firstAtMs = this.nowMs;
						load.unreadTokens -= promptTokens;
						this.tellChange(entry, index);
					} else {
						longestPauseMs = Math.max(longestPauseMs, this.nowMs - lastAtMs);
					}

					lastAtMs = this.nowMs;
					if (written >= answerTokens) {
						load.calls--;
						this.tellChange(entry, index);
						this.serve(call, firstAtMs, longestPauseMs);
					}
				},
			});
			if (!cancel) {
				load.calls--;
				load.unreadTokens -= promptTokens;
				this.refuse(call, msPerSecond);
			}
		});
	}

	private serve(call: Call, firstAtMs: number, longestPauseMs: number): void {
		const answerMs = firstAtMs + engineWayMs + callerWayMs - call.firstAtMs;
		const isOnTime = answerMs <= call.kind.aimMs && longestPauseMs <= this.scenario.pauseAimMs;
		this.note(call, isOnTime ? 'on time' : 'late', answerMs);
	}

	private refuse(call: Call, retryAfterMs: number): void {
		const backAtMs = this.nowMs + callerWayMs + retryAfterMs;
		if (call.returns > 0 || backAtMs >= call.deadlineAtMs) {
			this.note(call, call.returns > 0 ? 'refused again' : 'refused', 0);
			return;
		}

		call.returns++;
		this.after(callerWayMs + retryAfterMs, () => {
			this.arrive(call);
		});
	}

	private note({kind, owed, firstAtMs}: Call, outcome: PlacedEnd['outcome'], answerMs: number): void {
		if (firstAtMs < warmUpMs) {
			return;
		}

		const parts = {
			'on time': kind.worth, late: kind.lateWorth, refused: 0, 'refused again': 0,
		};
		this.ends.push({
			kind: kind.name, owed: owed * kind.worth, worth: owed * parts[outcome], outcome, answerMs,
		});
	}
}

/** The present choice. */
export const presentPolicy: PlacePolicy = ({timing, candidates, promptTokens, aimLeftMs, deadlineLeftMs, draw}) =>
	selectEngineInstance(timing, candidates, {
		promptTokens, aimLeftMs, deadlineLeftMs, isResponseStarted: false,
	}, draw);

/** A random engine, whatever its load. */
export const randomPolicy: PlacePolicy = ({candidates, draw}) => ({kind: 'place', id: candidates[draw(candidates.length)]!.id, predictedMs: 0});

/** The engine with the fewest calls, whatever the calls are; never refuses. */
export const fewestCallsPolicy: PlacePolicy = ({candidates, draw}) => {
	const fewest = Math.min(...candidates.map(({load}) => load.calls));
	const equal = candidates.filter(({load}) => load.calls === fewest);
	return {kind: 'place', id: equal[draw(equal.length)]!.id, predictedMs: 0};
};

/** The calls of a deployment with three kinds of streams. */
export const usualKinds: readonly CallKind[] = [
	{
		name: 'long', part: 55.2, promptTokens: 1330, answerTokens: 105, aimMs: 503, worth: 2.4, lateWorth: 0.6,
	},
	{
		name: 'middle', part: 42.1, promptTokens: 827, answerTokens: 105, aimMs: 402, worth: 2, lateWorth: 0.49,
	},
	{
		name: 'short', part: 39.7, promptTokens: 647, answerTokens: 70, aimMs: 402, worth: 1.5, lateWorth: 0.37,
	},
];

/** The published timing of a deployment's engines. */
export const usualTiming: EngineTiming = {
	slots: 16, stepMs: 8.87, perCallMs: 0.0388, contextMsPerKilotoken: 0.0227, readTokensPerMs: 19.1, stepsPerPass: 5,
	usualPromptTokens: 977, usualAnswerTokens: 94, layers: 16, chunkCount: 96, chunkBytes: 24_576, models: ['m'],
};

/** Returns a scenario of that deployment. */
export function usualScenario(scenario: Partial<PlacingScenario> = {}): PlacingScenario {
	return {
		seed: 1, policy: presentPolicy, timing: usualTiming, kinds: usualKinds, callsPerSecond: 137, entries: 6, engines: 11, slowEngines: 0, slowness: 1,
		seconds: 20, tellEveryMs: 480, tellsChanges: true, tellLagMs: 4, deadlineMs: 6033, pauseAimMs: 400, ...scenario,
	};
}
