/** Runs the attempts of one call: carries out the steps that `decideOutcome` returns until the call has an answer or an outcome. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {CallFrame} from '../messages/call-frame.ts';
import type {CallRequest} from '../messages/call-request.ts';
import type {CallsCancelResult} from '../messages/calls-cancel.ts';
import type {Logger} from '../runtime/logger.ts';
import type {AttemptResultKind, UpstreamRouter} from '../routing/upstream-router.ts';
import {type AttemptClient, type AttemptEnd, cancelTimeoutMs} from './attempt-client.ts';
import {CallerError, messageByCode} from './caller-error.ts';
import type {CallerRequest} from './caller-request.ts';
import {
	type AttemptEndKind, type AttemptFacts, type CancelAnswer, decideOutcome, type DestroyStep, type NextStep, type RetryStep, type TellStep,
} from './decide-outcome.ts';

/** Largest number of attempts of one call. */
export const maxAttempts = 3;

/** Delay before the state of a running call is polled again, in milliseconds; it doubles from `min` up to `max`. */
const pollDelayMs = {min: 100, max: 1000} as const;

/** Interval between two checks for a usable upstream while there is none, in milliseconds. */
const upstreamPollIntervalMs = 25;

/** The agent that an attempt is sent to. */
export type CallTarget = {readonly vm: string; readonly address: string};

/** A call, with the functions that its attempts need. */
export type CallPlan<Target extends CallTarget> = {
	readonly caller: CallerRequest;
	readonly idempotent: boolean;
	/** Returns the agent for the next attempt, or undefined if there is none. */
	readonly chooseTarget: (excluded: ReadonlySet<string>) => Target | undefined;
	/** Creates the request of one attempt. */
	readonly createCall: (target: Target) => CallRequest;
	readonly onFrame: (frame: CallFrame) => Promise<void> | void;
	/** Whether any bytes of the answer were sent to the caller. */
	readonly hasSent: () => boolean;
	/** Aborted when the caller no longer waits for the answer. */
	readonly callerGone: AbortSignal;
};

/** How a call ended, unless it ended with a `CallerError`. */
export type CallEnd =
	/** The complete answer arrived in frames. */
	| {readonly kind: 'answered'}
	/** The answer comes from the agent's call record. */
	| {readonly kind: 'recorded'; readonly status: number; readonly body: unknown}
	/** The caller's connection must be destroyed, since part of the answer was sent already or the caller disconnected. */
	| {readonly kind: 'destroy'};

/** Dependencies and settings of the runner. */
export type CallRunnerOptions = {
	readonly attempts: AttemptClient;
	readonly router: UpstreamRouter;
	readonly log: Logger;
	/** How long an attempt waits for a usable upstream when there is none, in milliseconds. */
	readonly upstreamWaitMs: number;
};

type FinishedCall = Extract<CallsCancelResult, {state: 'finished'}>;

/** The result of one attempt: the next step, the agent's call record if the step answers from it, and how the attempt ended. */
type SettledAttempt = {readonly step: NextStep; readonly record?: FinishedCall; readonly end?: AttemptEndKind};

/** Facts about the earlier attempts of a call. */
type EarlierAttempts = {readonly mayHaveRun: boolean; readonly silent: boolean};

const notRun: TellStep = {kind: 'tell', outcome: 'not_run', code: 'no_upstream'};

const outcomeUnknown: TellStep = {kind: 'tell', outcome: 'unknown', code: 'outcome_unknown'};

/** The result that the router records for each end of an attempt. */
const resultByEnd: Readonly<Record<AttemptEndKind, AttemptResultKind>> = {
	answered: 'answered', refused: 'refused', unsent: 'failed', failed: 'failed', broken: 'failed', silent: 'silent', expired: 'abandoned',
};

/** Runs calls with retries. */
export class CallRunner {
	constructor(private readonly options: CallRunnerOptions) {}

	/**
	 * Runs a call.
	 *
	 * @throws CallerError with the error and the outcome to report to the caller
	 */
	async run<Target extends CallTarget>(plan: CallPlan<Target>): Promise<CallEnd> {
		const excluded = new Set<string>();
		let mayHaveRun = false;
		let silent = false;
		// An earlier call with the same ticket may have run through another entry, so this entry cannot report `not_run` by itself.
		let fallbackStep: TellStep | DestroyStep = plan.idempotent ? notRun : outcomeUnknown;
		for (let attemptIndex = 0; attemptIndex < maxAttempts && !plan.callerGone.aborted; attemptIndex++) {
			const target = await this.waitForTarget(plan, excluded, attemptIndex);
			if (!target) {
				break;
			}

			const {step, record, end}: SettledAttempt = await this.runAttempt(plan, target, {mayHaveRun, silent});
			if (step.kind === 'retry' || step.kind === 'resume') {
				({mayHaveRun, fallbackStep} = step);
				silent ||= end === 'silent';
				if (step.excludeVm) {
					excluded.add(target.vm);
				}

				continue;
			}

			return toCallEnd(step, record);
		}

		return toCallEnd(plan.callerGone.aborted ? {kind: 'destroy'} : fallbackStep);
	}

	/** Waits up to `upstreamWaitMs` for a target: the version may not be served yet, or its last upstream is being replaced. */
	private async waitForTarget<Target extends CallTarget>(plan: CallPlan<Target>, excluded: ReadonlySet<string>, attemptIndex: number): Promise<Target | undefined> {
		const endMs = performance.now() + Math.min(this.options.upstreamWaitMs, remainingMs(plan.caller));
		for (;;) {
			const target = this.nextTarget(plan, excluded, attemptIndex);
			if (target !== undefined || performance.now() >= endMs || plan.callerGone.aborted) {
				return target;
			}

			await sleep(upstreamPollIntervalMs);
		}
	}

	private nextTarget<Target extends CallTarget>(plan: CallPlan<Target>, excluded: ReadonlySet<string>, attemptIndex: number): Target | undefined {
		if (remainingMs(plan.caller) <= 0) {
			return undefined;
		}

		const target = plan.chooseTarget(excluded);
		// Take from the retry budget only when there is a target for the retry.
		return target && (attemptIndex === 0 || this.options.router.tryTakeRetry(plan.caller.route.service)) ? target : undefined;
	}

	private async runAttempt<Target extends CallTarget>(plan: CallPlan<Target>, target: Target, earlier: EarlierAttempts): Promise<SettledAttempt> {
		const {attempts, router, log} = this.options;
		const call = plan.createCall(target);
		const endAttempt = router.beginAttempt(target.vm, call.service);
		let result: AttemptResultKind = 'failed';
		try {
			const end = await attempts.run(target.address, call, {onFrame: plan.onFrame, callerGone: plan.callerGone, freshConnection: earlier.silent});
			if (plan.callerGone.aborted) {
				// The caller ended the attempt, so its result is not evidence about the upstream's health.
				result = 'abandoned';
				return {step: {kind: 'destroy'}};
			}

			result = end.code === 'overloaded' ? 'overloaded' : resultByEnd[end.kind];
			if (end.kind !== 'answered') {
				log.info({
					event: 'attempt_ended', end: end.kind, code: end.code, err: end.err, vm: target.vm, request_id: call.requestId, workspace: call.workspace,
				}, 'attempt ended without a complete answer');
			}

			return {...await this.settleAttempt(plan, target, call, {end, mayHaveRun: earlier.mayHaveRun}), end: end.kind};
		} finally {
			endAttempt(result);
		}
	}

	private async settleAttempt<Target extends CallTarget>(plan: CallPlan<Target>, target: Target, call: CallRequest, attemptFacts: {end: AttemptEnd; mayHaveRun: boolean}): Promise<SettledAttempt> {
		let cancel: CancelAnswer | undefined;
		let record: FinishedCall | undefined;
		let delayMs: number = pollDelayMs.min;
		for (;;) {
			const step: NextStep = decideOutcome(collectFacts(plan, call, attemptFacts, cancel));
			if (step.kind === 'wait') {
				await sleep(Math.min(delayMs, Math.max(1, remainingMs(plan.caller))));
				delayMs = Math.min(delayMs * 2, pollDelayMs.max);
			} else if (step.kind !== 'ask') {
				return {step, record};
			}

			const abortRunning = step.kind === 'ask' && step.abortRunning;
			const {attempt, workspace, ticket} = call;
			const timeoutMs = Math.max(1, Math.min(cancelTimeoutMs, remainingMs(plan.caller)));
			const answer = await this.options.attempts.cancel(target.address, {
				attempt, workspace, ticket, abortRunning,
			}, timeoutMs);
			record = answer.state === 'finished' ? answer : undefined;
			cancel = cancelAnswerOf(answer);
		}
	}
}

function collectFacts<Target extends CallTarget>(plan: CallPlan<Target>, call: CallRequest, attemptFacts: {end: AttemptEnd; mayHaveRun: boolean}, cancel: CancelAnswer | undefined): AttemptFacts {
	return {
		end: attemptFacts.end.kind,
		code: attemptFacts.end.code,
		cancel,
		idempotent: plan.idempotent,
		hasTicket: call.ticket !== null,
		sentToCaller: plan.hasSent(),
		mayHaveRun: attemptFacts.mayHaveRun,
		hasTimeLeft: remainingMs(plan.caller) > 0,
	};
}

/** Classifies an agent's answer to `calls.cancel`; a finished call without a status has no recorded answer. */
export function cancelAnswerOf(answer: CallsCancelResult): CancelAnswer {
	return answer.state === 'finished' && answer.status === null ? 'no_record' : answer.state;
}

/**
 * Returns the time left until a call's deadline.
 *
 * @returns milliseconds, negative after the deadline
 */
export function remainingMs(caller: CallerRequest): number {
	return caller.deadlineAtMs - performance.now();
}

function toCallEnd(step: Exclude<NextStep, RetryStep>, record?: FinishedCall): CallEnd {
	switch (step.kind) {
		case 'answer': {
			return {kind: 'answered'};
		}

		case 'answer_from_record': {
			return {kind: 'recorded', status: record?.status ?? 200, body: record?.body};
		}

		case 'tell': {
			throw new CallerError(step.code, step.outcome, messageByCode[step.code]);
		}

		case 'destroy':
		case 'ask':
		case 'wait': {
			return {kind: 'destroy'};
		}
	}
}
