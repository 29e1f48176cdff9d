/**
 * Seeded discrete-event simulation of callers, entries (gateways) and batching engines. Runs the real selection code on a virtual clock.
 *
 * An entry knows its own calls in flight immediately. It knows those of other entries after a delay, or asks the counters beside a few
 * engines before each call. A caller retries once after a refusal.
 */
import {BatchingEngine} from '../standins/batching-engine.ts';
import type {EngineLoad} from '../src/placement/engine-forecast.ts';
import type {CallShedding} from '../src/placement/load-shedding.ts';
import {type Candidate, shouldAskMore} from '../src/placement/select-instance.ts';
import type {YieldShares} from '../src/placement/urgency-pressure.ts';
import {RandomSource} from '../src/runtime/random-source.ts';
import {EventQueue} from './event-queue.ts';
import {ModelZones} from './model-zones.ts';
import {PressureExchange} from './pressure-exchange.ts';
import type {CallKind, CallResult, PlacingScenario} from './placing-types.ts';

/** The load that one entry causes at each engine, and the last counts received from the other entries. */
type Entry = {readonly ownLoads: Load[]; remoteLoads: Load[][]};

/** Calls in flight, and those of their prompt tokens that the engine has not processed yet. */
type Load = {calls: number; unreadTokens: number};

/** What the counter beside an engine has answered. */
type Answer = {readonly index: number; readonly load: Load; readonly yields: YieldShares};

type Call = {
	readonly kind: CallKind; readonly promptTokens: number; readonly answerTokens: number; readonly valueFactor: number; readonly arrivedAtMs: number; readonly deadlineAtMs: number;
	retries: number;
};

/** A call whose entry asks counters. */
type Asking = {readonly call: Call; readonly entry: Entry; readonly shedding: CallShedding};

/** What an entry places a call by; `shedding` is undefined if it asks no counters. */
type Choice = {readonly call: Call; readonly entry: Entry; readonly candidates: readonly Candidate[]; readonly shedding: CallShedding | undefined};

const msPerSecond = 1000;

/** One-way network latency between caller and entry, and between entry and engine, in milliseconds. */
const callerLatencyMs = 3;
const engineLatencyMs = 1.5;

/** Share of the time left that callers wait at most before they return. */
const honouredShare = 1 / 3;

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
	/** Number of questions to counters so far. */
	askedCount = 0;
	/** Where the calls arrive and how far their engines are. */
	readonly zones: ModelZones;
	private nowMs = 0;
	private readonly events = new EventQueue();
	private readonly random: RandomSource;
	private readonly engines: BatchingEngine[];
	private readonly entries: Entry[];
	/** The calls that the counter beside each engine has been told of. */
	private readonly counterLoads: Load[];
	private readonly pressure: PressureExchange;
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
		this.counterLoads = this.createLoads();
		this.pressure = new PressureExchange(scenario);
		this.zones = new ModelZones(scenario, this.random);
	}

	/** Runs the simulation to its end and returns the results of the calls that arrived after the warm-up. */
	run(): readonly CallResult[] {
		this.scheduleArrival();
		if (this.scenario.askedEngines.length === 0) {
			this.scheduleBroadcast();
		}

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
		this.scheduleAfter(this.drawExponential(msPerSecond / this.scenario.callsPerSecond / (this.scenario.demandAt?.(this.nowMs) ?? 1)), () => {
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

	/** Changes the load that an entry causes at one engine, and tells the counter of the engine or the other entries. */
	private changeLoad(entry: Entry, index: number, calls: number, unreadTokens: number): void {
		addLoad(entry.ownLoads[index]!, calls, unreadTokens);
		if (this.scenario.askedEngines.length > 0) {
			this.scheduleAfter(this.scenario.broadcastDelayMs, () => {
				addLoad(this.counterLoads[index]!, calls, unreadTokens);
			});
		} else if (this.scenario.broadcastsChanges) {
			this.broadcastChange(entry, index);
		}
	}

	/** Sends the changed load at one engine to the other entries. */
	private broadcastChange(entry: Entry, index: number): void {
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
		const entry = this.entries[this.zones.drawEntry(this.nowMs)]!;
		this.scheduleAfter(callerLatencyMs, () => {
			if (this.scenario.askedEngines.length > 0) {
				this.askCounters({call, entry, shedding: this.pressure.startCall(this.entries.indexOf(entry), call.kind.priority, call.retries > 0)});
			} else {
				this.place({
					call, entry, candidates: this.engines.map((item, index) => this.createCandidate(entry, index)), shedding: undefined,
				});
			}
		});
	}

	/** Asks the counters of random engines, and places the call once they have answered; asks others if that is worth it. */
	private askCounters({call, entry, shedding}: Asking, known: readonly Answer[] = [], round = 0): void {
		const {askedEngines, broadcastDelayMs} = this.scenario;
		const unasked = [...this.engines.keys()].filter(index => this.isUp(index) && known.every(answer => answer.index !== index));
		const asked = this.zones.sample(this.entries.indexOf(entry), unasked, round);
		this.askedCount += asked.length;
		const report = shedding.createReport();
		this.scheduleAfter(broadcastDelayMs, () => {
			const answers = [...known, ...asked.map(index => ({index, load: {...this.counterLoads[index]!}, yields: this.pressure.ask(index, report, this.nowMs)}))];
			this.scheduleAfter(broadcastDelayMs, () => {
				const mayAskMore = round + 1 < askedEngines.length && answers.length < this.engines.length;
				const candidates = answers.map(({index, load}) => this.createCandidateOf(entry, index, load));
				for (const {yields, index, load} of answers.slice(known.length)) {
					shedding.addAnswer(yields);
					this.zones.recordAnswer(this.entries.indexOf(entry), index, load.calls);
				}

				this.place({
					call, entry, candidates, shedding,
				}, mayAskMore
					? () => {
						this.askCounters({call, entry, shedding}, answers, round + 1);
					}
					: undefined);
			});
		});
	}

	private isUp(index: number): boolean {
		const {outage} = this.scenario;
		return !outage || index >= outage.engines || this.nowMs < outage.fromMs || this.nowMs >= outage.toMs;
	}

	/** @param askMore - asks further engines; absent if there are none */
	private place({call, entry, candidates, shedding}: Choice, askMore?: () => void): void {
		const {policy, timing} = this.scenario;
		const placement = policy({
			timing,
			candidates,
			promptTokens: call.promptTokens,
			answerTokens: call.answerTokens,
			aimLeftMs: call.arrivedAtMs + call.kind.aimMs - this.nowMs,
			deadlineLeftMs: call.deadlineAtMs - this.nowMs,
			urgencyLimit: shedding?.limit(),
			randomBelow: bound => this.random.nextInt(bound),
		});
		if (askMore && shouldAskMore(placement, candidates)) {
			askMore();
		} else if (placement.kind === 'refuse') {
			const settled = shedding?.settle(placement, call.deadlineAtMs - this.nowMs) ?? placement;
			this.handleRefusal(call, settled.kind === 'refuse' ? settled.retryAfterMs : 0);
		} else {
			this.send(call, entry, Number(placement.id));
		}
	}

	private createCandidate(entry: Entry, index: number): Candidate {
		return this.createCandidateOf(entry, index, {
			calls: entry.ownLoads[index]!.calls + entry.remoteLoads.reduce((sum, loads) => sum + loads[index]!.calls, 0),
			unreadTokens: entry.ownLoads[index]!.unreadTokens + entry.remoteLoads.reduce((sum, loads) => sum + loads[index]!.unreadTokens, 0),
		});
	}

	private createCandidateOf(entry: Entry, index: number, counts: Load): Candidate {
		const entryIndex = this.entries.indexOf(entry);
		const load: EngineLoad = {...counts, slowness: index < this.scenario.slowEngines ? this.scenario.slowness : 1};
		return {
			id: String(index), isLocal: this.zones.distance(entryIndex, index) === 'zone', isSameRegion: this.zones.isSameRegion(entryIndex, index), load, slots: this.scenario.timing.slots, isSuspect: false, startWindowMs: Number.POSITIVE_INFINITY,
		};
	}

	private send(call: Call, entry: Entry, index: number): void {
		const {promptTokens, answerTokens} = call;
		let lastTokenAtMs = 0;
		let longestPauseMs = 0;
		let firstTokenAtMs = 0;
		this.changeLoad(entry, index, 1, promptTokens);
		this.zones.placed[this.zones.distance(this.entries.indexOf(entry), index)]++;
		this.scheduleAfter(engineLatencyMs, () => {
			const cancel = this.engines[index]!.submit({
				promptTokens, answerTokens, onTokens: written => {
					if (firstTokenAtMs === 0) {
						firstTokenAtMs = this.nowMs;
						this.changeLoad(entry, index, 0, -promptTokens);
					} else {
						longestPauseMs = Math.max(longestPauseMs, this.nowMs - lastTokenAtMs);
					}

					lastTokenAtMs = this.nowMs;
					if (written >= answerTokens) {
						this.changeLoad(entry, index, -1, 0);
						this.recordServed(call, firstTokenAtMs, longestPauseMs);
					}
				},
			});
			if (!cancel) {
				this.changeLoad(entry, index, -1, -promptTokens);
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
		const leftMs = call.deadlineAtMs - this.nowMs - callerLatencyMs;
		const waitMs = Math.min(retryAfterMs, leftMs * honouredShare);
		if (call.retries > 0 || leftMs <= 0) {
			this.recordResult(call, call.retries > 0 ? 'refused again' : 'refused', 0);
			return;
		}

		call.retries++;
		this.scheduleAfter(callerLatencyMs + waitMs, () => {
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
			kind: kind.name, arrivedAtMs, maxValue: valueFactor * kind.onTimeValue, value: valueFactor * valueByOutcome[outcome], outcome, answerMs,
		});
	}
}

function addLoad(load: Load, calls: number, unreadTokens: number): void {
	load.calls += calls;
	load.unreadTokens += unreadTokens;
}
