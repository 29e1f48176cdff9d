/** Runs callers' operations at plain services; those that may not be repeated run under a ticket at one agent only. */
import type {CallRequest} from '../messages/call-request.ts';
import {LinkError} from '../links/peer-client.ts';
import type {Logger} from '../runtime/logger.ts';
import type {AttemptResultKind, UpstreamRouter} from '../routing/upstream-router.ts';
import {type AttemptClient, newAttemptId} from './attempt-client.ts';
import {CallerError} from './caller-error.ts';
import type {CallerRequest} from './caller-request.ts';
import {maxAttempts} from './generate-handler.ts';
import {createTicket, encodeTicket, type Ticket} from './ticket.ts';

/** What the handler works with. */
export type OperationHandlerOptions = {
	readonly attempts: AttemptClient;
	readonly router: UpstreamRouter;
	readonly log: Logger;
};

/** The answer of a plain service. */
export type OperationAnswer = {readonly status: number; readonly body: unknown};

/** What one attempt came to. */
type AttemptResult =
	| {readonly kind: 'answer'; readonly answer: OperationAnswer}
	| {readonly kind: 'refused'; readonly code: string}
	| {readonly kind: 'failed'; readonly message: string}
	| {readonly kind: 'unsent'}
	| {readonly kind: 'doubtful'; readonly attempt: string};

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
	mintTicket(caller: CallerRequest): string {
		const target = this.options.router.choose(caller.route, new Set());
		const incarnation = target?.member.sight.report?.incarnation;
		if (!target || incarnation === undefined) {
			throw new CallerError('no_upstream', 'not_run', `service ${caller.route.service} has no usable upstream`);
		}

		const {vm, address} = target.member;
		return encodeTicket(createTicket({
			vm, address, incarnation, workspace: caller.workspace, route: caller.routeName,
		}));
	}

	/**
	 * Runs an operation that may be repeated, at one agent after the other.
	 *
	 * @param caller - the caller's request
	 * @param operation - the operation's name
	 * @param body - the caller's JSON
	 * @throws CallerError when no agent gave an answer
	 */
	async runRepeatable(caller: CallerRequest, operation: string, body: unknown): Promise<OperationAnswer> {
		const excluded = new Set<string>();
		let mayHaveRun = false;
		for (let tries = 0; tries < maxAttempts && performance.now() < caller.deadlineAtMs; tries++) {
			const target = this.options.router.choose(caller.route, excluded);
			if (!target) {
				break;
			}

			const result = await this.attempt(target.member, createOperationCall(caller, operation, body, null));
			if (result.kind === 'answer') {
				return result.answer;
			}

			mayHaveRun ||= result.kind === 'doubtful' || result.kind === 'failed';
			excluded.add(target.member.vm);
		}

		throw mayHaveRun
			? new CallerError('outcome_unknown', 'unknown', 'no upstream gave an answer in time')
			: new CallerError('no_upstream', 'not_run', `service ${caller.route.service} has no usable upstream`);
	}

	/**
	 * Runs an operation that may not be repeated, at the ticket's home agent only.
	 *
	 * @param caller - the caller's request
	 * @param operation - the operation's name
	 * @param body - the caller's JSON
	 * @param ticket - the caller's ticket
	 * @throws CallerError when the home agent gave no answer
	 */
	async runOnce(caller: CallerRequest, operation: string, body: unknown, ticket: Ticket): Promise<OperationAnswer> {
		const call = createOperationCall(caller, operation, body, ticket);
		const result = await this.attempt(ticket, call);
		switch (result.kind) {
			case 'answer': {
				return result.answer;
			}

			case 'refused': {
				throw refusalError(result.code);
			}

			case 'failed': {
				throw new CallerError('upstream_failed', 'unknown', result.message);
			}

			case 'unsent':
			case 'doubtful': {
				return this.askHome(caller, ticket, call);
			}
		}
	}

	private async askHome(caller: CallerRequest, ticket: Ticket, call: CallRequest): Promise<OperationAnswer> {
		const became = await this.options.attempts.cancel(ticket.address, {
			attempt: call.attempt, workspace: caller.workspace, ticket: call.ticket, abortRunning: false,
		});
		if (became.state === 'not_started') {
			throw new CallerError('cancelled', 'not_run', 'the call was cancelled before it reached the upstream');
		}

		if (became.state === 'finished' && became.status !== null) {
			return {status: became.status, body: became.body};
		}

		throw new CallerError('outcome_unknown', 'unknown', 'the call may have run; repeat it with the same ticket');
	}

	private async attempt(home: {vm: string; address: string}, call: CallRequest): Promise<AttemptResult> {
		const {attempts, router, log} = this.options;
		const finish = router.begin(home.vm, call.service);
		let resultKind: AttemptResultKind = 'failed';
		const deadline = AbortSignal.timeout(call.remainingMs);
		try {
			let answer: OperationAnswer | undefined;
			for await (const frame of attempts.open(home.address, call, deadline)) {
				if (frame.kind === 'refused') {
					resultKind = frame.code === 'overloaded' ? 'overloaded' : 'refused';
					return {kind: 'refused', code: frame.code};
				}

				if (frame.kind === 'failed') {
					return {kind: 'failed', message: frame.message};
				}

				if (frame.kind === 'result') {
					answer = {status: frame.status, body: frame.body};
				}
			}

			resultKind = answer ? 'answered' : 'failed';
			return answer ? {kind: 'answer', answer} : {kind: 'doubtful', attempt: call.attempt};
		} catch (err) {
			resultKind = deadline.aborted ? 'abandoned' : 'failed';
			log.info({
				event: 'attempt_failed', err, vm: home.vm, request_id: call.requestId, workspace: call.workspace,
			}, 'attempt failed');
			const unsent = err instanceof LinkError && !err.sent;
			return unsent ? {kind: 'unsent'} : {kind: 'doubtful', attempt: call.attempt};
		} finally {
			finish(resultKind);
		}
	}
}

function createOperationCall(caller: CallerRequest, operation: string, body: unknown, ticket: Ticket | null): CallRequest {
	return {
		attempt: newAttemptId(),
		requestId: caller.requestId,
		workspace: caller.workspace,
		service: caller.route.service,
		priority: caller.priority,
		remainingMs: Math.max(1, Math.ceil(caller.deadlineAtMs - performance.now())),
		ticket: ticket && {nonce: ticket.nonce, incarnation: ticket.incarnation, expiresAtMs: ticket.expiresAtMs},
		work: {kind: 'operation', operation, body},
	};
}

/** Errors by the refusal code of the home agent. A refusal that leaves a tombstone proves that the call never ran. */
const refusalErrors: Readonly<Record<string, (() => CallerError) | undefined>> = {
	draining: () => new CallerError('draining', 'not_run', 'the upstream is leaving; ask for a new ticket'),
	expired: () => new CallerError('ticket_expired', 'unknown', 'the ticket or the deadline is over'),
	overloaded: () => new CallerError('overloaded', 'not_run', 'the upstream is overloaded; ask for a new ticket'),
	cancelled: () => new CallerError('cancelled', 'not_run', 'the call was cancelled before it reached the upstream'),
	ticket_mismatch: () => new CallerError('ticket_mismatch', 'not_run', 'the ticket was used with another body'),
	table_full: () => new CallerError('table_full', 'unknown', 'the upstream keeps too many records; repeat with the same ticket'),
	upstream_unreachable: () => new CallerError('upstream_unreachable', 'not_run', 'the upstream does not take connections'),
};

function refusalError(code: string): CallerError {
	return refusalErrors[code]?.() ?? new CallerError('outcome_unknown', 'unknown', `the home agent cannot tell: ${code}`);
}
