/** What the requests to one listener may take: room for their heads and for their bodies, until their responses have been sent, and for responses that are not read. */
import type http from 'node:http';
import {MemoryBudget, type MemoryLease} from '../limits/memory-budget.ts';
import {takeHead} from '../limits/take-memory.ts';
import {dropHead, estimateHeadBytes} from '../limits/head-memory.ts';
import {IncompleteBodies, progressCheckMs} from '../limits/incomplete-bodies.ts';
import type {ListenerLimits} from '../limits/process-limits.ts';
import {ResponseBuffers} from '../limits/response-buffers.ts';
import type {Logger} from '../runtime/logger.ts';

/** At most one line is logged in this time, in milliseconds. */
const logIntervalMs = 1000;

/** What one request takes of its listener. */
export type LimitedRequest = {
	/** The room for bodies. */
	readonly bodies: MemoryBudget;
	/** The room for bodies that are parsed. */
	readonly json: MemoryBudget;
	/** The bodies that are arriving. */
	readonly incomplete: IncompleteBodies;
	/** The room of the head. */
	readonly head: MemoryLease;
	/** The response, until whose end the request keeps its room. */
	readonly res: http.ServerResponse;
};

/** The requests to listeners with limits. */
const limitedRequests = new WeakMap<http.IncomingMessage, LimitedRequest>();

/** Shares the room of one listener among its requests. */
export class RequestLimits {
	/** Requests that were refused because there was no room for their heads. */
	refusedCount = 0;
	private readonly incomplete = new IncompleteBodies();
	private readonly heads: MemoryBudget;
	private readonly bodies: MemoryBudget;
	private readonly json: MemoryBudget;
	private readonly unread: ResponseBuffers;
	private readonly timer: NodeJS.Timeout;
	private lastLogMs = Number.NEGATIVE_INFINITY;

	/**
	 * @param limits - the limits of the listener
	 * @param log - logs that requests are refused
	 */
	constructor(limits: ListenerLimits, private readonly log: Logger) {
		this.heads = new MemoryBudget(limits.heads);
		this.bodies = new MemoryBudget(limits.bodies);
		this.json = new MemoryBudget(limits.json);
		this.unread = new ResponseBuffers(limits.unreadBytes, limits.unreadBytes);
		this.timer = setInterval(() => {
			this.incomplete.check(performance.now());
		}, progressCheckMs).unref();
	}

	/** Stops. */
	stop(): void {
		clearInterval(this.timer);
	}

	/** Takes room for a request until its response has been sent; returns false if there is none. */
	take(req: http.IncomingMessage, res: http.ServerResponse): boolean {
		const head = takeHead(this.heads, this.incomplete, estimateHeadBytes(req.rawHeaders));
		if (!head) {
			this.recordRefusal();
			return false;
		}

		res.once('finish', () => {
			dropHead(req);
		});
		res.once('close', () => {
			head.release();
		});
		limitedRequests.set(req, {
			bodies: this.bodies, json: this.json, incomplete: this.incomplete, head, res,
		});
		return true;
	}

	/** Counts what the client has not read of a response that is complete, until it has; closes the connections of slow clients if that is too much. */
	countUnread(req: http.IncomingMessage, res: http.ServerResponse): void {
		if (res.writableLength === 0 || res.destroyed) {
			return;
		}

		const owner = {
			waitingSinceMs: performance.now(), discardResponse() {
				req.socket.destroy();
			},
		};
		res.once('close', () => {
			this.unread.release(owner);
		});
		this.unread.add(owner, res.writableLength);
	}

	/** Ends the slowest body, or closes the connection that has read nothing of its response for the longest time; returns false if none is slow. */
	endSlowest(): boolean {
		return this.incomplete.endSlowest(performance.now()) || this.unread.discardSlowest();
	}

	private recordRefusal(): void {
		this.refusedCount++;
		const nowMs = performance.now();
		if (nowMs - this.lastLogMs > logIntervalMs) {
			this.lastLogMs = nowMs;
			this.log.warn({
				event: 'request_refused', reason: 'no_memory_for_head', refused: this.refusedCount, headBytes: this.heads.usedBytes,
			}, 'requests are refused');
		}
	}
}

/** Returns what a request takes; undefined if its listener has no limits. */
export function findLimits(req: http.IncomingMessage): LimitedRequest | undefined {
	return limitedRequests.get(req);
}
