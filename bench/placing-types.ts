/** Types of the simulation in `placing-model.ts`. */
import type {EngineTiming} from '../src/directory/directory-types.ts';
import type {UrgencyLimit} from '../src/placement/limit-by-urgency.ts';
import type {Candidate, Placement} from '../src/placement/select-instance.ts';

/** A kind of call. */
export type CallKind = {
	readonly name: string;
	/** Urgency; 0 is the most urgent. */
	readonly priority: number;
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
	/** What the call may use of an instance while more urgent calls are refused. */
	readonly urgencyLimit: UrgencyLimit | undefined;
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
	/** Factor of `callsPerSecond` at a time; absent if it stays the same. */
	readonly demandAt?: (ms: number) => number;
	/**
	 * Entries and engines are spread over this many zones, so many of which are in one region; absent if all are in one zone. Entries know
	 * the regions and ask more engines elsewhere while their zone is crowded, unless `isUnaware`.
	 */
	readonly zones?: {readonly count: number; readonly perRegion: number; readonly isUnaware?: boolean};
	/** Relative share of the calls that arrive at an entry at a time; absent if it is the same for all. */
	readonly entryWeight?: (entry: number, ms: number) => number;
	/** A part of the engines that takes no calls for a time. */
	readonly outage?: {readonly engines: number; readonly fromMs: number; readonly toMs: number};
	/** Whether less urgent calls give way to more urgent ones; only with `askedEngines`. */
	readonly givesWay: boolean;
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
	/** Network delay of the load counts, one way, in milliseconds. */
	readonly broadcastDelayMs: number;
	/**
	 * Numbers of engines whose counters an entry asks for a call, one after the other as long as that is worth it, instead
	 * of the exchange of counts between entries; empty for the exchange.
	 */
	readonly askedEngines: readonly number[];
	readonly deadlineMs: number;
	/** Longest pause between two events of a stream that still counts as on time, in milliseconds. */
	readonly maxPauseMs: number;
};

/** The result of a call, including its retry. `maxValue` is the value of an on-time response, `answerMs` the time to first byte (0 if refused). */
export type CallResult = {readonly kind: string; readonly arrivedAtMs: number; readonly value: number; readonly maxValue: number; readonly outcome: 'on time' | 'late' | 'refused' | 'refused again'; readonly answerMs: number};
