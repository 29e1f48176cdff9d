/** The entry's HTTP API for callers: parses requests, passes them to their handler, and sends error responses. */
import type http from 'node:http';
import type {ConfigurationStore} from '../configuration/configuration-store.ts';
import {type HttpHandler, type HttpRoutes, sendJson} from '../links/http-listener.ts';
import {BodyRefusedError, BodyTooLargeError, readBody} from '../links/read-body.ts';
import {type AdmissionManager, ShedError} from '../limits/admission-manager.ts';
import type {CallMetrics} from '../reports/call-metrics.ts';
import type {Logger} from '../runtime/logger.ts';
import {CallerError, messageByCode, sendCallerError} from './caller-error.ts';
import {
	type CallerRequest, ensureRequestId, readCallerRequest, readTicket,
} from './caller-request.ts';
import {type GenerateHandler, generateBodySchema} from './generate-handler.ts';
import type {OperationAnswer, OperationCall, OperationHandler} from './operation-handler.ts';
import type {Ticket} from './ticket.ts';

const msPerSecond = 1000;

/** When callers may return for whose bodies there was no room, in seconds. */
const bodyRetryAfterS = 1;

/** Dependencies and settings of the manager. */
export type CallManagerOptions = {
	readonly store: ConfigurationStore;
	readonly generate: GenerateHandler;
	readonly operations: OperationHandler;
	/** Admits calls or sheds them before anything is forwarded. */
	readonly admission: AdmissionManager;
	readonly log: Logger;
	readonly metrics: CallMetrics;
	/** Deadline of a call without header x-deadline-ms, in milliseconds. */
	readonly defaultDeadlineMs: number;
};

/** Serves callers' requests and counts the open ones. */
export class CallManager {
	private open = 0;
	private refusing = false;

	constructor(private readonly options: CallManagerOptions) {}

	/** Number of callers that wait for an answer. */
	get openCalls(): number {
		return this.open;
	}

	/** HTTP routes of the callers' listener. */
	get routes(): HttpRoutes {
		return {
			'POST /v1/generate/*': this.wrapHandler(async (req, res, [route = '']) => this.generate(req, res, route)),
			'POST /v1/operations/*/*': this.wrapHandler(async (req, res, [route = '', operation = '']) => this.operation(req, res, [route, operation])),
			'POST /v1/tickets/*': this.wrapHandler((req, res, [route = '']) => {
				sendJson(res, 200, {ticket: this.options.operations.issueTicket(this.readRequest(req, route))});
			}),
		};
	}

	/** Refuses every new call from now on, as part of a drain. */
	refuseNewCalls(): void {
		this.refusing = true;
	}

	/** Refuses a call for which there is no room. */
	refuseForRoom(req: http.IncomingMessage, res: http.ServerResponse): void {
		this.sendError(req, res, this.toEntryRefusal(req, new CallerError('overloaded', 'not_run', 'too many calls are open')));
	}

	private wrapHandler(handler: HttpHandler): HttpHandler {
		return async (req, res, params) => {
			this.open++;
			try {
				if (this.refusing) {
					throw this.toEntryRefusal(req, new CallerError('draining', 'not_run', 'this entry is leaving; repeat the call at another'));
				}

				await handler(req, res, params);
				this.options.metrics.recordOutcome(res.writableEnded ? 'answered' : 'broken');
			} catch (err) {
				this.sendError(req, res, err as Error);
			} finally {
				this.open--;
			}
		};
	}

	private sendError(req: http.IncomingMessage, res: http.ServerResponse, err: Error): void {
		const requestId = ensureRequestId(req);
		const callerError = err instanceof CallerError ? err : new CallerError('outcome_unknown', 'unknown', err.message);
		this.options.log.info({
			event: 'call_refused', code: callerError.code, outcome: callerError.outcome, request_id: requestId, workspace: req.headers['x-workspace'],
		}, callerError.message);
		this.options.metrics.recordOutcome(res.headersSent ? 'broken' : callerError.outcome);
		if (res.headersSent) {
			res.destroy();
			return;
		}

		sendCallerError(res, callerError, requestId);
	}

	/**
	 * Changes the outcome of a refusal by this entry from `not_run` to `unknown` when the request has a ticket.
	 *
	 * An earlier call with the same ticket may have run through another entry.
	 */
	private toEntryRefusal(req: http.IncomingMessage, err: Error): Error {
		const refused = err instanceof CallerError && err.outcome === 'not_run' && req.headers['x-ticket'] !== undefined;
		return refused ? new CallerError(err.code, 'unknown', err.message, err.ticket) : err;
	}

	private async generate(req: http.IncomingMessage, res: http.ServerResponse, routeName: string): Promise<void> {
		const caller = this.readRequest(req, routeName);
		const body = generateBodySchema.safeParse(parseJson(await readCallerBody(req, res)));
		if (!body.success) {
			throw new CallerError('bad_request', 'not_run', body.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`).join('; '));
		}

		await this.admit(caller, res, async () => this.options.generate.run(caller, body.data, res));
	}

	private async operation(req: http.IncomingMessage, res: http.ServerResponse, [routeName, operation]: [string, string]): Promise<void> {
		const answer = await this.runOperation(req, res, routeName, operation);
		res.setHeader('x-request-id', ensureRequestId(req));
		sendJson(res, answer.status, answer.body);
	}

	private async runOperation(req: http.IncomingMessage, res: http.ServerResponse, routeName: string, operation: string): Promise<OperationAnswer> {
		const {operations} = this.options;
		const prepared = await this.prepareOperation(req, res, [routeName, operation]);
		if ('staleTicket' in prepared) {
			return operations.resolveTicket(prepared.staleTicket);
		}

		const callerGone = new AbortController();
		if (!prepared.operationCall.ticket) {
			res.once('close', () => {
				// The connection also closes after a complete answer. Aborting then would create an exception with a stack trace on each call.
				if (!res.writableFinished) {
					callerGone.abort();
				}
			});
		}

		const {caller, operationCall} = prepared;
		return this.admit(caller, res, async () => operations.run(caller, operationCall, callerGone.signal));
	}

	private async admit<Result>(caller: CallerRequest, res: http.ServerResponse, work: () => Promise<Result>): Promise<Result> {
		const {workspace, priority, deadlineAtMs, route: {service}} = caller;
		try {
			return await this.options.admission.run({
				workspace, service, priority, deadlineAtMs,
			}, res, work);
		} catch (err) {
			if (!(err instanceof ShedError)) {
				throw err;
			}

			if (!res.headersSent) {
				res.setHeader('retry-after', Math.ceil(err.retryAfterMs / msPerSecond));
			}

			// An earlier call with the same ticket may have run through another entry.
			throw new CallerError('overloaded', caller.ticket ? 'unknown' : 'not_run', `service ${service} is overloaded (${err.reason}); repeat later`);
		}
	}

	/**
	 * Validates an operation request before anything is forwarded.
	 *
	 * Returns `staleTicket` when the request has a ticket but its route or operation no longer exists, so that the call cannot run.
	 */
	private async prepareOperation(req: http.IncomingMessage, res: http.ServerResponse, [routeName, operation]: readonly [string, string]): Promise<{caller: CallerRequest; operationCall: OperationCall} | {staleTicket: Ticket}> {
		try {
			const ticket = readTicket(req, routeName);
			const isKnown = this.options.store.route(String(req.headers['x-workspace']), routeName) !== undefined;
			if (ticket && !isKnown) {
				return {staleTicket: ticket};
			}

			const caller = this.readRequest(req, routeName);
			const rule = this.options.store.service(caller.route.service)?.operations[operation];
			if (ticket && !rule) {
				return {staleTicket: ticket};
			}

			if (!rule) {
				throw new CallerError('operation_not_found', 'not_run', `service ${caller.route.service} has no operation ${operation}`);
			}

			const body = parseJson(await readCallerBody(req, res));
			if (!ticket && !rule.repeatable) {
				// Without a ticket, a load balancer that retries the request would cause a second run.
				throw new CallerError('ticket_required', 'not_run', messageByCode.ticket_required, this.options.operations.issueTicket(caller));
			}

			// A ticket binds the call to its home agent, even if the operation has become repeatable since it was issued.
			return {caller, operationCall: {operation, body, ticket: ticket ?? null}};
		} catch (err) {
			throw this.toEntryRefusal(req, err as Error);
		}
	}

	private readRequest(req: http.IncomingMessage, routeName: string): CallerRequest {
		return readCallerRequest(req, routeName, this.options.store, this.options.defaultDeadlineMs);
	}
}

/** Reads the body of a call; refuses the call if it is too large or there is no room for it. */
async function readCallerBody(req: http.IncomingMessage, res: http.ServerResponse): Promise<string> {
	try {
		return await readBody(req);
	} catch (err) {
		if (err instanceof BodyTooLargeError) {
			throw new CallerError('bad_request', 'not_run', err.message);
		}

		if (!(err instanceof BodyRefusedError)) {
			throw err;
		}

		res.setHeader('retry-after', bodyRetryAfterS);
		throw new CallerError('overloaded', 'not_run', err.message);
	}
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch (err) {
		throw new CallerError('bad_request', 'not_run', `body is not JSON: ${(err as Error).message}`);
	}
}
