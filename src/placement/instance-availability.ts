/**
 * Decides whether a call may start at an instance, from everything that this gateway believes of it. No I/O, no clock.
 *
 * Load and recent failures are no barriers: they make an instance a worse choice, see `select-instance.ts`.
 */
import type {Instance} from '../directory/directory-types.ts';

/** States of `charts/instance.json`: what follows from the signals of one run of an instance. */
export type SignalState = 'open' | 'quiet' | 'due' | 'trying' | 'leaving';

/** What one run of an instance has said of itself. */
export type SignalBelief = {
	readonly state: SignalState;
	/** When the state was entered, in milliseconds of the monotonic clock. */
	readonly sinceMs: number;
	/** When the state ends by itself; infinite if it does not. */
	readonly untilMs: number;
};

/** What this gateway believes of one run of an instance, beside its entry in the directory. */
export type InstanceBeliefs = {
	/** Undefined if the run has never sent a signal. */
	readonly signal: SignalBelief | undefined;
	/** Since when connections to it fail; undefined if they do not. */
	readonly unreachableSinceMs: number | undefined;
	/** Until when it gets no calls after it refused one or started to load weights; in the past if there is no such pause. */
	readonly pausedUntilMs: number;
	/** Since when its zone is known to be evacuated; undefined if it is not. */
	readonly evacuatedSinceMs?: number | undefined;
	/** Until when it gets no calls because it is cold and no start is left; in the past or undefined if there is no such limit. */
	readonly coldUntilMs?: number;
};

/** Why no call may start at an instance. */
export type BarrierReason = 'leaving' | 'draining' | 'evacuated' | 'unreachable' | 'quiet' | 'trial' | 'paused' | 'cold';

/** A reason against a call at an instance. */
export type Barrier = {
	readonly reason: BarrierReason;
	/** Since when; undefined if that is not known. */
	readonly sinceMs: number | undefined;
	/** When the barrier is expected to end; infinite if only another event ends it. */
	readonly untilMs: number;
};

/** Time within which a trial call is usually answered, in milliseconds. */
const usualTrialMs = 200;

/** Where a belief comes from and what ends it, for operators. */
export const barrierDescriptions: Readonly<Record<BarrierReason, {readonly source: string; readonly endsBy: string}>> = {
	leaving: {source: 'response of the instance', endsBy: 'another run'},
	draining: {source: 'directory', endsBy: 'another run'},
	evacuated: {source: 'evacuation of its zone', endsBy: 'end of the evacuation'},
	unreachable: {source: 'connection', endsBy: 'accepted connection'},
	quiet: {source: 'response of the instance', endsBy: 'time, then a trial call'},
	trial: {source: 'trial call under way', endsBy: 'its response'},
	paused: {source: 'refusal, or weights that load', endsBy: 'time'},
	cold: {source: 'starts at a cold instance are used up', endsBy: 'time'},
};

type BarrierFinder = (instance: Instance, beliefs: InstanceBeliefs, nowMs: number) => Omit<Barrier, 'reason'> | undefined;

/** The barriers, the one that lasts longest first. */
const barrierFinders: Readonly<Record<BarrierReason, BarrierFinder>> = {
	leaving: (_, {signal}) => (signal?.state === 'leaving' ? signal : undefined),
	draining: ({isDraining}) => (isDraining ? {sinceMs: undefined, untilMs: Number.POSITIVE_INFINITY} : undefined),
	evacuated: (_, {evacuatedSinceMs}) => (evacuatedSinceMs === undefined ? undefined : {sinceMs: evacuatedSinceMs, untilMs: Number.POSITIVE_INFINITY}),
	unreachable: (_, {unreachableSinceMs}) => (unreachableSinceMs === undefined ? undefined : {sinceMs: unreachableSinceMs, untilMs: Number.POSITIVE_INFINITY}),
	quiet: (_, {signal}) => (signal?.state === 'quiet' ? signal : undefined),
	trial: (_, {signal}) => (signal?.state === 'trying' ? signal : undefined),
	paused: (_, {pausedUntilMs}, nowMs) => (pausedUntilMs > nowMs ? {sinceMs: undefined, untilMs: pausedUntilMs} : undefined),
	cold: (_, {coldUntilMs = 0}, nowMs) => (coldUntilMs > nowMs ? {sinceMs: undefined, untilMs: coldUntilMs} : undefined),
};

const barrierReasons = Object.keys(barrierFinders) as BarrierReason[];

/**
 * Returns why no call may start at an instance; undefined if one may.
 *
 * @param instance - its entry in the directory
 * @param beliefs - what is believed of the run in that entry
 * @param nowMs - the time, in milliseconds of the monotonic clock
 */
export function findBarrier(instance: Instance, beliefs: InstanceBeliefs, nowMs: number): Barrier | undefined {
	for (const reason of barrierReasons) {
		const found = barrierFinders[reason](instance, beliefs, nowMs);
		if (found) {
			return {reason, sinceMs: found.sinceMs, untilMs: found.untilMs};
		}
	}

	return undefined;
}

/**
 * Returns when a place is expected at a service whose instances are all barred, in milliseconds from now. Undefined if none of them
 * closed itself for a time: then it is not known when a place is free.
 *
 * @param barriers - the barriers of its instances
 * @param nowMs - the time, in milliseconds of the monotonic clock
 */
export function findReopeningMs(barriers: readonly Barrier[], nowMs: number): number | undefined {
	const isTimed = barriers.some(({reason}) => reason === 'quiet' || reason === 'trial' || reason === 'cold');
	const untilMs = Math.min(...barriers.map(barrier => (barrier.reason === 'trial' ? nowMs + usualTrialMs : barrier.untilMs)));
	return isTimed && Number.isFinite(untilMs) ? Math.max(0, untilMs - nowMs) : undefined;
}
