/** Runs callers' operations at plain services; those that may not be repeated run under a ticket at one agent only. */
import type {CallRequest} from '../messages/call-request.ts';
import type {Member} from '../membership/member.ts';
import type {UpstreamRouter} from '../routing/upstream-router.ts';
import {type AttemptClient, newAttemptId} from './attempt-client.ts';
import {cancelAnswerOf, type CallRunner, type CallTarget} from './call-runner.ts';
import {CallerError, messageByCode} from './caller-error.ts';
import type {CallerRequest} from './caller-request.ts';
import {createCallRequest} from './create-call-request.ts';
import {createTicket, encodeTicket, type Ticket} from './ticket.ts';

/** What the handler works with. */
export type OperationHandlerOptions = {
	readonly attempts: AttemptClient;
	readonly runner: CallRunner;
	readonly router: UpstreamRouter;
	/** Finds a VM in the member view. */
	readonly findMember: (vm: string) => Member | undefined;
};

/** The answer of a plain service. */
export type OperationAnswer = {readonly status: number; readonly body: unknown};

/** An operation as the caller asked for it. */
export type OperationCall = {readonly operation: string; readonly body: unknown; readonly ticket: Ticket | null};

type OperationTarget = CallTarget & {readonly member: Member | undefined};

/** The least status with which a plain service reports that a run failed. */
const minFailureStatus = 500;

/** Runs operations. */
export class OperationHandler {
	/** @param options - what the handler works with */
	constructor(private readonly options: OperationHandlerOptions) {}

	/**
	 * Creates a ticket for one call that may not be repeated.
	 *
	 * @param caller - the caller's request
	 * @throws CallerError when no upstream can take the call now
	 */
	issueTicket(caller: CallerRequest): string {
		const target = this.options.router.choose(caller.route, new Set());
		const incarnation = target?.member.sight.report?.incarnation;
		if (!target || incarnation === undefined) {
			throw new CallerError('no_upstream', 'not_run', `service ${caller.route.service} has no usable upstream`);
		}

		const {vm} = target.member;
		return encodeTicket(createTicket({
			vm, incarnation, workspace: caller.workspace, route: caller.routeName,
		}));
	}

	/**
	 * Runs an operation: with a ticket at its home agent only, otherwise at one agent after the other.
	 *
	 * @param caller - the caller's request
	 * @param operationCall - what the caller asked for
	 * @param callerGone - is aborted when nobody waits for the answer any more
	 * @throws CallerError when there is no answer
	 */
	async run(caller: CallerRequest, operationCall: OperationCall, callerGone: AbortSignal): Promise<OperationAnswer> {
		const {ticket} = operationCall;
		let answer: OperationAnswer | undefined;
		const end = await this.options.runner.run<OperationTarget>({
			caller,
			idempotent: ticket === null,
			chooseTarget: excluded => ticket ? this.homeTarget(ticket) : this.chooseTarget(caller, excluded),
			createCall: target => createOperationCall(caller, operationCall, target),
			onFrame(frame) {
				if (frame.kind === 'result') {
					answer = {status: frame.status, body: frame.body};
				}
			},
			hasSent: () => false,
			callerGone,
		});
		const finalAnswer = end.kind === 'recorded' ? {status: end.status, body: end.body} : answer;
		if (end.kind === 'destroy' || !finalAnswer) {
			throw new CallerError('outcome_unknown', 'unknown', messageByCode.outcome_unknown);
		}

		return requireSuccess(finalAnswer);
	}

	/**
	 * Finds out what became of the call of a ticket that can no longer run, since its route or operation is gone.
	 *
	 * @param ticket - the ticket
	 * @throws CallerError when the record holds no answer
	 */
	async resolveTicket(ticket: Ticket): Promise<OperationAnswer> {
		const home = this.homeTarget(ticket);
		if (!home) {
			throw new CallerError('outcome_unknown', 'unknown', messageByCode.outcome_unknown);
		}

		const result = await this.options.attempts.cancel(home.address, {
			attempt: newAttemptId(), workspace: ticket.workspace, ticket: toCallTicket(ticket), abortRunning: false,
		});
		const answer = cancelAnswerOf(result);
		if (answer === 'finished' && result.state === 'finished') {
			return requireSuccess({status: result.status ?? minFailureStatus, body: result.body});
		}

		throw answer === 'not_started'
			? new CallerError('cancelled', 'not_run', messageByCode.cancelled)
			: new CallerError('outcome_unknown', 'unknown', messageByCode.outcome_unknown);
	}

	private chooseTarget(caller: CallerRequest, excluded: ReadonlySet<string>): OperationTarget | undefined {
		const member = this.options.router.choose(caller.route, excluded)?.member;
		return member && {vm: member.vm, address: member.address, member};
	}

	/** The address comes from the member view: tickets are not signed, and a forged one must not make an entry connect anywhere else. */
	private homeTarget({vm}: Ticket): OperationTarget | undefined {
		const member = this.options.findMember(vm);
		return member && {vm, address: member.address, member};
	}
}

function createOperationCall(caller: CallerRequest, {operation, body, ticket}: OperationCall, target: OperationTarget): CallRequest {
	return createCallRequest(caller, target.member, {
		ticket: ticket && toCallTicket(ticket),
		work: {kind: 'operation', operation, body},
	});
}

function toCallTicket({nonce, incarnation, expiresAtMs}: Ticket): NonNullable<CallRequest['ticket']> {
	return {nonce, incarnation, expiresAtMs};
}

function requireSuccess(answer: OperationAnswer): OperationAnswer {
	if (answer.status >= minFailureStatus) {
		throw new CallerError('upstream_failed', 'failed', `the upstream answered status ${answer.status}`);
	}

	return answer;
}
