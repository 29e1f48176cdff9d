/** Errors as callers see them. */
import type http from 'node:http';
import {sendJson} from '../links/http-listener.ts';

/** What a failed call means for the caller. */
export type CallOutcome = 'not_run' | 'unknown' | 'failed';

/** HTTP status by stable error code. */
export const statusByCode = {
	bad_request: 400,
	workspace_required: 400,
	route_not_found: 404,
	operation_not_found: 404,
	ticket_required: 428,
	ticket_mismatch: 422,
	ticket_invalid: 400,
	ticket_expired: 410,
	cancelled: 409,
	overloaded: 503,
	draining: 503,
	no_upstream: 503,
	table_full: 503,
	upstream_unreachable: 502,
	upstream_failed: 502,
	outcome_unknown: 504,
	deadline_exceeded: 504,
} as const;

/** A stable error code. */
export type CallerErrorCode = keyof typeof statusByCode;

/** One sentence for a person by stable error code. */
export const messageByCode: Readonly<Record<CallerErrorCode, string>> = {
	bad_request: 'the request is not valid',
	workspace_required: 'header x-workspace must name a workspace',
	route_not_found: 'the workspace has no such route',
	operation_not_found: 'the service has no such operation',
	ticket_required: 'this operation needs header x-ticket; repeat with this ticket',
	ticket_mismatch: 'the ticket was used with another body',
	ticket_invalid: 'header x-ticket holds no ticket of this workspace and route',
	ticket_expired: 'the ticket is over',
	cancelled: 'the call was cancelled before it reached the upstream; ask for a new ticket',
	overloaded: 'too many calls wait',
	draining: 'the process that took the call is leaving',
	no_upstream: 'no upstream could take the call',
	table_full: 'the upstream keeps too many records; repeat with the same ticket',
	upstream_unreachable: 'the upstream does not take connections',
	upstream_failed: 'the upstream ran the call and reported failure',
	outcome_unknown: 'the call may have run; a call with a ticket can be repeated with the same ticket',
	deadline_exceeded: 'the deadline passed before there was an answer',
};

/** A failure to be told to the caller. */
export class CallerError extends Error {
	readonly code: CallerErrorCode;
	readonly outcome: CallOutcome;
	/** A fresh ticket, where the caller needs one to go on. */
	readonly ticket: string | undefined;

	/**
	 * @param code - the stable code
	 * @param outcome - whether the call ran
	 * @param message - one sentence for a person
	 * @param ticket - a fresh ticket
	 */
	constructor(code: CallerErrorCode, outcome: CallOutcome, message: string, ticket?: string) {
		super(message);
		this.code = code;
		this.outcome = outcome;
		this.ticket = ticket;
	}
}

/**
 * Sends an error to the caller.
 *
 * @param res - the response, with nothing sent yet
 * @param err - the failure
 * @param requestId - the request
 */
export function sendCallerError(res: http.ServerResponse, err: CallerError, requestId: string): void {
	res.setHeader('x-request-id', requestId);
	const {code, outcome, message, ticket} = err;
	sendJson(res, statusByCode[code], {
		error: {
			code, outcome, message, request_id: requestId, ...(ticket ? {ticket} : {}),
		},
	});
}
