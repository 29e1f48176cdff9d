/** Runs callers' operations at plain services. Operations that must not be repeated run with a ticket, at the ticket's home agent only. */
import type {CallRequest} from '../messages/call-request.ts';
import type {Member} from '../membership/member.ts';
import type {UpstreamRouter} from '../routing/upstream-router.ts';
import {type AttemptClient, newAttemptId} from './attempt-client.ts';
import {cancelAnswerOf, type CallRunner, type CallTarget} from './call-runner.ts';
import {CallerError, messageByCode} from './caller-error.ts';
import type {CallerRequest} from './caller-request.ts';
import {createCallRequest} from './create-call-request.ts';
import {createTicket, encodeTicket, type Ticket} from './ticket.ts';

/** Dependencies of the handler. */
export type OperationHandlerOptions = {
	readonly attempts: AttemptClient;
	readonly runner: CallRunner;
	readonly router: UpstreamRouter;
	/** Looks up a VM in the member view. */
	readonly findMember: (vm: string) => Member | undefined;
};

/** The answer of a plain service. */
export type OperationAnswer = {readonly status: number; readonly body: unknown};

/** An operation that a caller requested. */
export type OperationCall = {readonly operation: string; readonly body: unknown; readonly ticket: Ticket | null};

type OperationTarget = CallTarget & {readonly member: Member | undefined};

/** Lowest HTTP status with which a plain service reports that an operation failed. */
const minFailureStatus = 500;

/** Runs operations. */
export class OperationHandler {
	constructor(private readonly options: OperationHandlerOptions) {}

	/**
	 * Creates a ticket for one call that must not be repeated, bound to a home agent.
	 *
	 * @throws CallerError when no upstream can run the call now
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
	 * Runs an operation: with a ticket at its home agent only, otherwise at one agent after another until one answers.
	 *
	 * @param callerGone - aborted when the caller no longer waits for the answer
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
	 * Returns the recorded answer for a ticket whose route or operation no longer exists. A call that has not started never runs.
	 *
	 * @throws CallerError when the home agent has no recorded answer
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

	/**
	 * Returns the home agent of a ticket.
	 *
	 * The address comes from the member view. Tickets are not signed, and a forged one must not make an entry connect to another host.
	 */
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
