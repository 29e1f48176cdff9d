/** Decides an entry's next step after an attempt. The caller receives `not_run` only if it is proven that the call did not run. */
import type {CallerErrorCode, CallOutcome} from './caller-error.ts';

/** How an attempt ended. */
export type AttemptEndKind =
	/** The complete answer arrived. */
	| 'answered'
	/** No connection could be opened, so the agent did not receive the call. */
	| 'unsent'
	/** The agent refused the call before it reached the upstream. */
	| 'refused'
	/** The upstream ran the call and reported failure, or the agent does not know how the run ended. */
	| 'failed'
	/** The connection broke, or the answer was invalid or incomplete. */
	| 'broken'
	/** No frame arrived within `progressTimeoutMs`. */
	| 'silent'
	/** The deadline of the call passed during the attempt. */
	| 'expired';

/** An agent's answer to `calls.cancel`; `no_record` is a finished call whose answer was not recorded. */
export type CancelAnswer = 'not_started' | 'running' | 'finished' | 'no_record' | 'unknown';

/** Facts that are known after an attempt. */
export type AttemptFacts = {
	readonly end: AttemptEndKind;
	/** The code of a `refused` or `failed` end. */
	readonly code: string | undefined;
	/** The agent's answer to `calls.cancel`, or undefined if it was not sent yet. */
	readonly cancel: CancelAnswer | undefined;
	readonly idempotent: boolean;
	readonly hasTicket: boolean;
	/** Whether any bytes of the answer were sent to the caller. */
	readonly sentToCaller: boolean;
	/** Whether an earlier attempt of the same call may have run. */
	readonly mayHaveRun: boolean;
	/** Whether the call's deadline has not passed. */
	readonly hasTimeLeft: boolean;
};

/** Ends the call with an error response to the caller. */
export type TellStep = {readonly kind: 'tell'; readonly outcome: CallOutcome; readonly code: CallerErrorCode};

/** Ends the call by destroying the caller's connection, which shows the caller that its answer is incomplete. */
export type DestroyStep = {readonly kind: 'destroy'};

type RetryDetails = {
	/** Whether the next attempt must go to another VM. */
	readonly excludeVm: boolean;
	/** Whether any attempt so far may have run. */
	readonly mayHaveRun: boolean;
	/** The step to take instead when no upstream, time or retry budget is left. */
	readonly fallbackStep: TellStep | DestroyStep;
};

/** Makes another attempt; `resume` continues a partly sent stream, on the same version only. */
export type RetryStep = ({readonly kind: 'retry'} & RetryDetails) | ({readonly kind: 'resume'} & RetryDetails);

/** The next step of a call. */
export type NextStep =
	| {readonly kind: 'answer'}
	/** Answers from the call record that the agent returned to `calls.cancel`. */
	| {readonly kind: 'answer_from_record'}
	/** Sends `calls.cancel` over a fresh connection to learn the state of the attempt. */
	| {readonly kind: 'ask'; readonly abortRunning: boolean}
	/** Sends `calls.cancel` again later, since the call still runs and must not be repeated. */
	| {readonly kind: 'wait'}
	| RetryStep
	| TellStep
	| DestroyStep;

/** The step for each refusal of a call with a ticket. A refusal that leaves a tombstone proves that the call never ran and never will. */
const stepByTicketRefusal: Readonly<Record<string, TellStep | undefined>> = {
	draining: {kind: 'tell', outcome: 'not_run', code: 'draining'},
	expired: {kind: 'tell', outcome: 'not_run', code: 'deadline_exceeded'},
	cancelled: {kind: 'tell', outcome: 'not_run', code: 'cancelled'},
	wrong_service: {kind: 'tell', outcome: 'not_run', code: 'cancelled'},
	version_not_served: {kind: 'tell', outcome: 'not_run', code: 'no_upstream'},
	upstream_unreachable: {kind: 'tell', outcome: 'not_run', code: 'upstream_unreachable'},
	overloaded: {kind: 'tell', outcome: 'not_run', code: 'overloaded'},
	// The refusals below leave no tombstone: the call may have run under a record that was deleted since, or may still run.
	ticket_expired: {kind: 'tell', outcome: 'unknown', code: 'ticket_expired'},
	// The ticket was used with another body, whose call may have run. Reporting `not_run` would invite a repeat with a new ticket.
	ticket_mismatch: {kind: 'tell', outcome: 'unknown', code: 'ticket_mismatch'},
	table_full: {kind: 'tell', outcome: 'unknown', code: 'table_full'},
};

const outcomeUnknown: TellStep = {kind: 'tell', outcome: 'unknown', code: 'outcome_unknown'};

/** The decision for each end of an attempt. */
const stepByEnd: Readonly<Record<AttemptEndKind, (facts: AttemptFacts) => NextStep>> = {
	answered: () => ({kind: 'answer'}),
	unsent: facts => facts.hasTicket ? outcomeUnknown : retryAfterNotRun(facts, 'upstream_unreachable'),
	refused: facts => facts.hasTicket ? (stepByTicketRefusal[facts.code ?? ''] ?? outcomeUnknown) : retryAfterNotRun(facts, callerCodeOfRefusal(facts.code)),
	failed: facts => afterFailure(facts),
	broken: facts => afterUncertainEnd(facts),
	silent: facts => afterUncertainEnd(facts),
	expired: facts => giveUp(facts, true, 'deadline_exceeded'),
};

/** The decision for each answer to `calls.cancel`. */
const stepByCancelAnswer: Readonly<Record<CancelAnswer, (facts: AttemptFacts) => NextStep>> = {
	not_started: facts => facts.hasTicket ? {kind: 'tell', outcome: 'not_run', code: 'cancelled'} : retryAfterNotRun(facts, 'no_upstream'),
	running: facts => facts.idempotent && !facts.hasTicket ? retryIfAllowed(facts, true, false) : waitOrGiveUp(facts),
	finished: facts => facts.sentToCaller ? retryIfAllowed(facts, true, false) : {kind: 'answer_from_record'},
	no_record: facts => retryIfAllowed(facts, true, false),
	unknown: facts => retryIfAllowed(facts, true, true),
};

/**
 * Decides the next step of a call after an attempt.
 *
 * @example
 * decideOutcome({end: 'unsent', hasTicket: true, ...}); // {kind: 'tell', outcome: 'unknown', code: 'outcome_unknown'}
 */
export function decideOutcome(facts: AttemptFacts): NextStep {
	const step = stepByEnd[facts.end](facts);
	return step.kind === 'tell' && facts.sentToCaller ? {kind: 'destroy'} : step;
}

function afterUncertainEnd(facts: AttemptFacts): NextStep {
	if (facts.cancel === undefined) {
		return facts.hasTimeLeft ? {kind: 'ask', abortRunning: facts.idempotent && !facts.hasTicket} : giveUp(facts, true, 'deadline_exceeded');
	}

	return stepByCancelAnswer[facts.cancel](facts);
}

function retryAfterNotRun(facts: AttemptFacts, code: CallerErrorCode): RetryStep {
	return {
		kind: facts.sentToCaller ? 'resume' : 'retry', excludeVm: true, mayHaveRun: facts.mayHaveRun, fallbackStep: giveUp(facts, facts.mayHaveRun, code),
	};
}

function afterFailure(facts: AttemptFacts): NextStep {
	const hasUpstreamFailed = facts.code === 'upstream_failed';
	if (facts.idempotent && !facts.hasTicket) {
		const step = retryIfAllowed(facts, true, true);
		const tell: TellStep = {kind: 'tell', outcome: 'failed', code: 'upstream_failed'};
		return step.kind === 'retry' && hasUpstreamFailed ? {...step, fallbackStep: tell} : step;
	}

	return hasUpstreamFailed ? {kind: 'tell', outcome: 'failed', code: 'upstream_failed'} : outcomeUnknown;
}

function waitOrGiveUp(facts: AttemptFacts): NextStep {
	return facts.hasTimeLeft ? {kind: 'wait'} : giveUp(facts, true, 'deadline_exceeded');
}

/** Retries an idempotent call without a ticket; any other call that may have run ends as `outcome_unknown`. */
function retryIfAllowed(facts: AttemptFacts, mayHaveRun: boolean, excludeVm: boolean): NextStep {
	if (!facts.idempotent || facts.hasTicket) {
		return outcomeUnknown;
	}

	return {
		kind: facts.sentToCaller ? 'resume' : 'retry', excludeVm, mayHaveRun, fallbackStep: giveUp(facts, mayHaveRun, 'outcome_unknown'),
	};
}

function giveUp(facts: AttemptFacts, mayHaveRun: boolean, code: CallerErrorCode): TellStep | DestroyStep {
	if (facts.sentToCaller) {
		return {kind: 'destroy'};
	}

	if (facts.hasTicket || mayHaveRun) {
		return {kind: 'tell', outcome: 'unknown', code: facts.hasTimeLeft ? 'outcome_unknown' : 'deadline_exceeded'};
	}

	return {kind: 'tell', outcome: 'not_run', code: facts.hasTimeLeft ? code : 'deadline_exceeded'};
}

function callerCodeOfRefusal(code: string | undefined): CallerErrorCode {
	const codes: Readonly<Record<string, CallerErrorCode | undefined>> = {
		expired: 'deadline_exceeded', table_full: 'table_full', upstream_unreachable: 'upstream_unreachable', overloaded: 'overloaded',
	};
	return codes[code ?? ''] ?? 'no_upstream';
}
