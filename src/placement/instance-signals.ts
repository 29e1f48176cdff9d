/**
 * Remembers what each run of an instance says of itself in its responses, and follows `charts/instance.json` with it.
 *
 * A run that is leaving stays so, whatever the directory lists: only another run under its ID ends the belief. A run that asks for quiet
 * gets no calls for that time, then a single trial call, and the others once that one is answered.
 */
import chart from '../../charts/instance.json' with {type: 'json'};
import type {Instance} from '../directory/directory-types.ts';
import type {Logger} from '../runtime/logger.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import {ChartTransitions} from '../runtime/state-chart.ts';
import {firstServerError, misdirectedStatus, notRunStatuses} from '../forwarding/response-status.ts';
import type {ResponseHeaders} from '../forwarding/wire-codec.ts';
import type {SignalBelief, SignalState} from './instance-availability.ts';
import type {InstanceSignal} from './instance-signal.ts';

/** Bounds of the time for which an instance can close itself, in milliseconds. */
const quietLimitsMs = {min: 120, max: 300_000};

/** Delay of the return after a quiet time for each gateway of the fleet, and its maximum, in milliseconds; a random part of it is added. */
const returnSpreadMs = {perGateway: 10, max: 3000};

/** How long a trial call keeps others away without a response, in milliseconds. */
const trialTimeoutMs = 1500;

/** Minimum interval between log lines about unknown signals of one instance, in milliseconds. */
const unreadableLogIntervalMs = 60_000;

/** How far the clocks of two VMs may differ, in milliseconds. */
const maxClockDifferenceMs = 5000;

/** How long a run gets no calls of which it is unclear whether itself or the run before said that it is leaving, in milliseconds. */
const unclearLeavingMs = 30_000;

/** Maximum number of instances that are remembered; of further ones, those that are not listed and were heard of first are forgotten. */
const maxRuns = 2048;

type SignalEvent = 'QUIET' | 'QUIET_OVER' | 'TRIAL' | 'TRIAL_PASSED' | 'TRIAL_OVER' | 'LEAVING';

const transitions = new ChartTransitions<SignalState, SignalEvent>(chart);

/** What is remembered of one run of an instance. */
type Run = {
	readonly id: string;
	/** Wall-clock start of the latest run that the belief is about, in milliseconds since 1970. */
	startedAtMs: number;
	/** When the run last sent a signal, by the wall clock. */
	saidAtMs: number;
	state: SignalState;
	sinceMs: number;
	untilMs: number;
	timer: NodeJS.Timeout | undefined;
	/** The attempt whose response ends the trial. */
	trial: AttemptSignals | undefined;
};

/** The head of a response. */
export type ResponseHead = {readonly status: number; readonly headers: ResponseHeaders};

/** Dependencies of {@link InstanceSignals}. */
export type InstanceSignalsOptions = {
	readonly log: Logger;
	readonly random: RandomSource;
	/** Returns the number of gateways that may send calls to the same instance. */
	readonly gatewayCount: () => number;
};

/** One attempt, as far as the signals of its instance concern it. */
export type AttemptSignals = {
	/** Takes the head of the response. */
	readonly recordHead: (status: number, headers: ResponseHeaders) => void;
	/** Records that the attempt has ended. */
	readonly end: () => void;
};

/** Holds the signals of all instances. */
export class InstanceSignals {
	private readonly runs = new Map<string, Run>();
	/** Called when an instance closes itself, for each attempt there. */
	private readonly closeListeners = new Map<string, Set<() => void>>();
	private readonly unreadableLoggedAtMs = new Map<string, number>();

	/** @param options - dependencies */
	constructor(private readonly options: InstanceSignalsOptions) {}

	/**
	 * Returns what the listed run of an instance has said; undefined if it has said nothing. An entry that is older than the remembered
	 * run names a run that has ended and is judged like the remembered one.
	 *
	 * @param instance - the entry in the directory
	 */
	beliefAbout(instance: Instance): SignalBelief | undefined {
		return this.runOf(instance);
	}

	/**
	 * Reserves the trial call at an instance if its quiet time is over, so that no other call starts there until it is answered.
	 *
	 * @param instance - the instance that was selected for a call
	 * @returns a function that gives the trial back; it does nothing once an attempt has taken it
	 */
	reserveTrial(instance: Instance): () => void {
		const run = this.runOf(instance);
		if (run?.state !== 'due') {
			return () => undefined;
		}

		this.change(run, 'TRIAL', trialTimeoutMs);
		const {sinceMs} = run;
		let isReleased = false;
		return () => {
			const isReserved = !isReleased && run.state === 'trying' && run.sinceMs === sinceMs && !run.trial;
			isReleased = true;
			if (isReserved) {
				this.change(run, 'TRIAL_OVER');
			}
		};
	}

	/**
	 * Registers an attempt that is about to be sent.
	 *
	 * @param instance - the instance that it is sent to
	 * @param onClosed - called when the instance closes itself to further calls
	 */
	addAttempt(instance: Instance, onClosed: () => void): AttemptSignals {
		const listeners = this.closeListeners.get(instance.id) ?? new Set();
		this.closeListeners.set(instance.id, listeners.add(onClosed));
		const attempt: AttemptSignals = {
			recordHead: (status, headers) => {
				this.recordHead(instance, {status, headers}, attempt);
			},
			end: () => {
				listeners.delete(onClosed);
				if (listeners.size === 0 && this.closeListeners.get(instance.id) === listeners) {
					this.closeListeners.delete(instance.id);
				}

				this.endTrial(instance, attempt, 'TRIAL_OVER');
			},
		};
		const run = this.runOf(instance);
		if (run?.state === 'trying' && !run.trial) {
			run.trial = attempt;
		}

		return attempt;
	}

	/**
	 * Discards what is not needed without an entry in the directory. Leaving runs are kept, because an entry may come back.
	 *
	 * @param present - IDs of the listed instances
	 */
	retainOnly(present: ReadonlySet<string>): void {
		for (const id of this.unreadableLoggedAtMs.keys()) {
			if (!present.has(id)) {
				this.unreadableLoggedAtMs.delete(id);
			}
		}

		for (const {id, state} of this.runs.values()) {
			if (!present.has(id) && (state === 'open' || this.runs.size > maxRuns)) {
				this.forget(id);
			}
		}
	}

	/** Closes a run for good. */
	closeForGood(run: Run): void {
		if (run.state !== 'leaving') {
			this.change(run, 'LEAVING');
			this.options.log.info({event: 'instance_leaving', instance: run.id}, 'instance states that it is leaving and gets no further calls');
			this.notifyClosed(run.id);
		}
	}

	/** Closes a run for some time, to which a random delay is added, so that gateways do not return in the same instant. */
	closeFor(run: Run, askedMs: number): void {
		const {log, random, gatewayCount} = this.options;
		const quietMs = Math.min(quietLimitsMs.max, Math.max(quietLimitsMs.min, askedMs));
		const spreadMs = Math.min(returnSpreadMs.max, returnSpreadMs.perGateway * Math.max(1, gatewayCount()));
		const isLonger = run.state !== 'quiet' || performance.now() + quietMs > run.untilMs;
		if (run.state === 'leaving' || !isLonger) {
			return;
		}

		const closedMs = quietMs + random.nextInt(spreadMs);
		this.change(run, 'QUIET', closedMs);
		log.info({
			event: 'instance_quiet', instance: run.id, askedMs: Math.round(askedMs), closedMs: Math.round(closedMs),
		}, 'instance asks for no calls for some time');
		this.notifyClosed(run.id);
	}

	private recordHead(instance: Instance, head: ResponseHead, attempt: AttemptSignals): void {
		if (!isFrom(instance, head)) {
			return;
		}

		const {status, headers} = head;
		for (const signal of headers.signals) {
			this.applySignal(instance, signal);
		}

		if (headers.unreadableSignals.length > 0) {
			this.logUnreadable(instance, headers.unreadableSignals);
		}

		if (status < firstServerError && !notRunStatuses.has(status)) {
			this.endTrial(instance, attempt, 'TRIAL_PASSED');
		}
	}

	private applySignal(instance: Instance, signal: InstanceSignal): void {
		const run = this.getOrCreateRun(instance);
		if (run) {
			const handle = signalHandlers[signal.kind] as (signals: InstanceSignals, run: Run, signal: InstanceSignal) => void;
			handle(this, run, signal);
		}
	}

	private endTrial(instance: Instance, attempt: AttemptSignals, event: 'TRIAL_PASSED' | 'TRIAL_OVER'): void {
		const run = this.runOf(instance);
		if (run?.trial === attempt) {
			this.change(run, event);
			this.options.log.info({event: 'instance_tried', instance: run.id, outcome: event === 'TRIAL_PASSED' ? 'reopened' : 'not_answered'}, 'the trial call after a quiet time has ended');
		}
	}

	/** Enters the state that follows an event; a state with a length ends by itself. */
	private change(run: Run, event: SignalEvent, lengthMs = Number.POSITIVE_INFINITY): void {
		clearTimeout(run.timer);
		run.state = transitions.next(run.state, event);
		run.sinceMs = performance.now();
		run.untilMs = run.sinceMs + lengthMs;
		run.trial = undefined;
		run.timer = Number.isFinite(lengthMs)
			? setTimeout(() => {
				this.change(run, run.state === 'quiet' ? 'QUIET_OVER' : 'TRIAL_OVER');
			}, lengthMs).unref()
			: undefined;
	}

	private notifyClosed(id: string): void {
		for (const listener of this.closeListeners.get(id) ?? []) {
			listener();
		}
	}

	private runOf(instance: Instance): Run | undefined {
		const run = this.runs.get(instance.id);
		if (run === undefined || instance.startedAtMs <= latestStartMs(run)) {
			return run;
		}

		return isUnclear(run, instance) ? this.replaceUnclear(instance) : undefined;
	}

	/** Keeps calls away from a run that may have said that it is leaving, until a trial call shows if it does. */
	private replaceUnclear(instance: Instance): Run {
		const run = this.createRun(instance);
		this.change(run, 'QUIET', unclearLeavingMs);
		this.options.log.info({event: 'instance_quiet', instance: run.id, closedMs: unclearLeavingMs}, 'a reborn instance may have said that it is leaving');
		return run;
	}

	/** Returns undefined if a newer run is known. */
	private getOrCreateRun(instance: Instance): Run | undefined {
		const {startedAtMs} = instance;
		const known = this.runOf(instance);
		if (known && startedAtMs < known.startedAtMs) {
			return undefined;
		}

		if (known) {
			return Object.assign(known, {startedAtMs, saidAtMs: Date.now()});
		}

		return this.createRun(instance);
	}

	private createRun({id, startedAtMs}: Instance): Run {
		this.forget(id);
		const run: Run = {
			id, startedAtMs, saidAtMs: Date.now(), state: 'open', sinceMs: performance.now(), untilMs: Number.POSITIVE_INFINITY, timer: undefined, trial: undefined,
		};
		this.runs.set(id, run);
		return run;
	}

	private forget(id: string): void {
		clearTimeout(this.runs.get(id)?.timer);
		this.runs.delete(id);
	}

	private logUnreadable({id}: Instance, headers: readonly string[]): void {
		const nowMs = performance.now();
		if (nowMs - (this.unreadableLoggedAtMs.get(id) ?? Number.NEGATIVE_INFINITY) >= unreadableLogIntervalMs) {
			this.unreadableLoggedAtMs.set(id, nowMs);
			this.options.log.warn({event: 'signal_unreadable', instance: id, headers}, 'ignoring a header with an unknown value');
		}
	}
}

/**
 * Returns the latest start of a run that the belief is about. A reborn instance that sends a signal before it is listed is still known as
 * the run before. That a run is leaving is believed of a later one only if the signal is clearly from that one, since the belief does not end.
 */
function latestStartMs({startedAtMs, saidAtMs, state}: Run): number {
	return Math.max(startedAtMs, state === 'leaving' ? saidAtMs - maxClockDifferenceMs : saidAtMs);
}

/** Whether a run that was listed later may be the one that said that it is leaving. */
function isUnclear({state, saidAtMs}: Run, {startedAtMs}: Instance): boolean {
	return state === 'leaving' && startedAtMs < saidAtMs + maxClockDifferenceMs;
}

type SignalHandlers = {readonly [Kind in InstanceSignal['kind']]: (signals: InstanceSignals, run: Run, signal: Extract<InstanceSignal, {kind: Kind}>) => void};

/** What each signal of an instance leads to. */
const signalHandlers: SignalHandlers = {
	leaving(signals, run) {
		signals.closeForGood(run);
	},
	quiet(signals, run, {forMs}) {
		signals.closeFor(run, forMs);
	},
};

/** Returns whether a response comes from the instance that the call was sent to. A 421 shows that only if it names its instance. */
export function isFrom({id}: Instance, {status, headers}: ResponseHead): boolean {
	return headers.instance === id || (headers.instance === undefined && status !== misdirectedStatus);
}
