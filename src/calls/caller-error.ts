/** The errors of the callers' API: codes, HTTP statuses, messages and their JSON body. */
import type http from 'node:http';
import {sendJson} from '../links/http-listener.ts';

/** Whether a failed call ran: `not_run` is certain, `unknown` means it may have run, `failed` means it ran and the upstream reported failure. */
export type CallOutcome = 'not_run' | 'unknown' | 'failed';

/** HTTP status of each error code. Codes are part of the API and do not change. */
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

/** An error code of the callers' API. */
export type CallerErrorCode = keyof typeof statusByCode;

/** Default human-readable message of each error code. */
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

/** An error that is sent to the caller. */
export class CallerError extends Error {
	readonly code: CallerErrorCode;
	readonly outcome: CallOutcome;
	/** A new ticket for the caller's next request, when the operation requires one. */
	readonly ticket: string | undefined;

	constructor(code: CallerErrorCode, outcome: CallOutcome, message: string, ticket?: string) {
		super(message);
		this.code = code;
		this.outcome = outcome;
		this.ticket = ticket;
	}
}

/**
 * Sends an error response to the caller.
 *
 * @param res - the response; its headers must not have been sent
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
