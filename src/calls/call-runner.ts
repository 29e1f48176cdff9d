/** Runs one call through its attempts: acts on what `decideOutcome` says until the call has an answer or an outcome. */
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

/** How many attempts one call may make. */
export const maxAttempts = 3;

/** Time before a running call is asked for again, in milliseconds; it doubles up to the second value. */
const pollDelayMs = {min: 100, max: 1000} as const;

/** Time between two looks for an upstream while there is none, in milliseconds. */
const upstreamPollIntervalMs = 25;

/** Where an attempt goes. */
export type CallTarget = {readonly vm: string; readonly address: string};

/** One call with all that its attempts need. */
export type CallPlan<Target extends CallTarget> = {
	readonly caller: CallerRequest;
	readonly idempotent: boolean;
	/** Returns the agent for the next attempt. */
	readonly chooseTarget: (excluded: ReadonlySet<string>) => Target | undefined;
	/** Creates the request of one attempt. */
	readonly createCall: (target: Target) => CallRequest;
	readonly onFrame: (frame: CallFrame) => Promise<void> | void;
	/** Whether bytes of the answer went out to the caller. */
	readonly hasSent: () => boolean;
	/** Is aborted when nobody waits for the answer any more. */
	readonly callerGone: AbortSignal;
};

/** How a call ended, when it did not end with an error for the caller. */
export type CallEnd =
	/** The frames held the whole answer. */
	| {readonly kind: 'answered'}
	/** The agent's record held the answer. */
	| {readonly kind: 'recorded'; readonly status: number; readonly body: unknown}
	/** The caller's connection must be destroyed. */
	| {readonly kind: 'destroy'};

/** What the runner works with. */
export type CallRunnerOptions = {
	readonly attempts: AttemptClient;
	readonly router: UpstreamRouter;
	readonly log: Logger;
	/** How long a call waits for an upstream when there is none, in milliseconds. */
	readonly upstreamWaitMs: number;
};

type FinishedCall = Extract<CallsCancelResult, {state: 'finished'}>;

/** What one attempt came to: the decided step, and the record when the step answers from it. */
type SettledAttempt = {readonly step: NextStep; readonly record?: FinishedCall; readonly end?: AttemptEndKind};

/** What is known from the earlier attempts of a call. */
type EarlierAttempts = {readonly mayHaveRun: boolean; readonly silent: boolean};

const notRun: TellStep = {kind: 'tell', outcome: 'not_run', code: 'no_upstream'};

const outcomeUnknown: TellStep = {kind: 'tell', outcome: 'unknown', code: 'outcome_unknown'};

/** How the router counts an attempt. */
const resultByEnd: Readonly<Record<AttemptEndKind, AttemptResultKind>> = {
	answered: 'answered', refused: 'refused', unsent: 'failed', failed: 'failed', broken: 'failed', silent: 'silent', expired: 'abandoned',
};

/** Runs calls. */
export class CallRunner {
	/** @param options - what the runner works with */
	constructor(private readonly options: CallRunnerOptions) {}

	/**
	 * Runs a call.
	 *
	 * @param plan - the call
	 * @throws CallerError with the outcome that the caller is told
	 */
	async run<Target extends CallTarget>(plan: CallPlan<Target>): Promise<CallEnd> {
		const excluded = new Set<string>();
		let mayHaveRun = false;
		let silent = false;
		// An earlier call with the same ticket may have run, so the entry alone cannot say that it did not.
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

	/** A version may not be served yet, or its last upstream is being replaced; the call waits a while before it is given up. */
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
		// The budget is taken only for a retry that will take place.
		return target && (attemptIndex === 0 || this.options.router.mayRetry(plan.caller.route.service)) ? target : undefined;
	}

	private async runAttempt<Target extends CallTarget>(plan: CallPlan<Target>, target: Target, earlier: EarlierAttempts): Promise<SettledAttempt> {
		const {attempts, router, log} = this.options;
		const call = plan.createCall(target);
		const endAttempt = router.begin(target.vm, call.service);
		let result: AttemptResultKind = 'failed';
		try {
			const end = await attempts.run(target.address, call, {onFrame: plan.onFrame, callerGone: plan.callerGone, freshConnection: earlier.silent});
			if (plan.callerGone.aborted) {
				// The attempt was ended by the caller, which says nothing about the upstream.
				result = 'abandoned';
				return {step: {kind: 'destroy'}};
			}

			result = end.code === 'overloaded' ? 'overloaded' : resultByEnd[end.kind];
			if (end.kind !== 'answered') {
				log.info({
					event: 'attempt_ended', end: end.kind, code: end.code, err: end.err, vm: target.vm, request_id: call.requestId, workspace: call.workspace,
				}, 'attempt ended without a whole answer');
			}

			return {...await this.settleAttempt(plan, target, call, {end, mayHaveRun: earlier.mayHaveRun}), end: end.kind};
		} finally {
			endAttempt(result);
		}
	}

	private async settleAttempt<Target extends CallTarget>(plan: CallPlan<Target>, target: Target, call: CallRequest, known: {end: AttemptEnd; mayHaveRun: boolean}): Promise<SettledAttempt> {
		let cancel: CancelAnswer | undefined;
		let record: FinishedCall | undefined;
		let delayMs: number = pollDelayMs.min;
		for (;;) {
			const step: NextStep = decideOutcome(collectFacts(plan, call, known, cancel));
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

function collectFacts<Target extends CallTarget>(plan: CallPlan<Target>, call: CallRequest, known: {end: AttemptEnd; mayHaveRun: boolean}, cancel: CancelAnswer | undefined): AttemptFacts {
	return {
		end: known.end.kind,
		code: known.end.code,
		cancel,
		idempotent: plan.idempotent,
		hasTicket: call.ticket !== null,
		sentToCaller: plan.hasSent(),
		mayHaveRun: known.mayHaveRun,
		hasTimeLeft: remainingMs(plan.caller) > 0,
	};
}

/**
 * Names what an agent answered to `calls.cancel`.
 *
 * @param answer - the agent's answer
 */
export function cancelAnswerOf(answer: CallsCancelResult): CancelAnswer {
	return answer.state === 'finished' && answer.status === null ? 'no_record' : answer.state;
}

/**
 * Returns the time left for a call.
 *
 * @param caller - the caller's request
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
