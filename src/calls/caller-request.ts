/** Parses the headers of a caller's request: workspace, request id, deadline, priority and ticket. */
import {randomUUID} from 'node:crypto';
import type http from 'node:http';
import type {ConfigurationStore} from '../configuration/configuration-store.ts';
import {priorities, type Priority, type Route} from '../configuration/documents.ts';
import {createRequestId, isRequestId, type RequestId} from '../ids/request-id.ts';
import {isWorkspaceId, type WorkspaceId} from '../ids/workspace-id.ts';
import {CallerError, messageByCode} from './caller-error.ts';
import {decodeTicket, type Ticket} from './ticket.ts';

/** Largest deadline that a caller may set, in milliseconds. */
export const maxDeadlineMs = 120_000;

/** The parsed headers of a caller's request, with its route. */
export type CallerRequest = {
	readonly requestId: RequestId;
	readonly workspace: WorkspaceId;
	readonly routeName: string;
	readonly route: Route;
	readonly priority: Priority;
	/** Monotonic time after which no further attempt is made, in milliseconds. */
	readonly deadlineAtMs: number;
	readonly ticket: Ticket | undefined;
};

/** Returns the caller's request id, or creates one. */
export function ensureRequestId(req: http.IncomingMessage): RequestId {
	const requestId = req.headers['x-request-id'];
	if (isRequestId(requestId)) {
		return requestId;
	}

	// Store the id in the request headers, so that all log lines and the response of this call carry the same id.
	const newRequestId = createRequestId(randomUUID());
	req.headers['x-request-id'] = newRequestId;
	return newRequestId;
}

/**
 * Parses the headers of a caller's request and looks up its route.
 *
 * @param routeName - the route in the request path
 * @param store - the configuration in effect
 * @param defaultDeadlineMs - the deadline of a call without header x-deadline-ms, in milliseconds
 * @throws CallerError when a header is missing or invalid, or the route does not exist
 */
export function readCallerRequest(req: http.IncomingMessage, routeName: string, store: ConfigurationStore, defaultDeadlineMs: number): CallerRequest {
	const workspace = req.headers['x-workspace'];
	if (!isWorkspaceId(workspace)) {
		throw new CallerError('workspace_required', 'not_run', 'header x-workspace must name a workspace');
	}

	const route = store.route(workspace, routeName);
	if (!route) {
		throw new CallerError('route_not_found', 'not_run', `workspace ${workspace} has no route ${routeName}`);
	}

	const deadlineMs = readDeadline(req.headers['x-deadline-ms'], defaultDeadlineMs);
	return {
		requestId: ensureRequestId(req),
		workspace,
		routeName,
		route,
		priority: readPriority(req.headers['x-priority']) ?? route.priority ?? store.limitsOf(workspace).default_priority,
		deadlineAtMs: performance.now() + deadlineMs,
		ticket: readTicket(req, routeName),
	};
}

function readDeadline(text: string | string[] | undefined, defaultMs: number): number {
	if (text === undefined) {
		return defaultMs;
	}

	const ms = Number(text);
	if (!Number.isInteger(ms) || ms <= 0 || ms > maxDeadlineMs) {
		throw new CallerError('bad_request', 'not_run', `header x-deadline-ms must be a whole number from 1 to ${maxDeadlineMs}`);
	}

	return ms;
}

function readPriority(text: string | string[] | undefined): Priority | undefined {
	if (text === undefined) {
		return undefined;
	}

	const priority = priorities.find(item => item === text);
	if (!priority) {
		throw new CallerError('bad_request', 'not_run', `header x-priority must be one of ${priorities.join(', ')}`);
	}

	return priority;
}

/**
 * Decodes the ticket of a caller's request.
 *
 * @param routeName - the route in the request path
 * @returns undefined if the request has no ticket
 * @throws CallerError when the header is not a valid ticket for this workspace and route
 */
export function readTicket(req: http.IncomingMessage, routeName: string): Ticket | undefined {
	const text = req.headers['x-ticket'];
	if (text === undefined) {
		return undefined;
	}

	const ticket = decodeTicket(String(text));
	if (!ticket || ticket.workspace !== req.headers['x-workspace'] || ticket.route !== routeName) {
		throw new CallerError('ticket_invalid', 'unknown', messageByCode.ticket_invalid);
	}

	return ticket;
}
