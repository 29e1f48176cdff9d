/** HTTP server with a route table and graceful shutdown. */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Logger} from '../runtime/logger.ts';
import {BodyBudget, type BodyLease} from '../limits/body-budget.ts';
import {growBody, takeHead} from '../limits/grow-body.ts';
import {dropHead, estimateHeadBytes} from '../limits/head-memory.ts';
import {IncompleteBodies, progressCheckMs} from '../limits/incomplete-bodies.ts';
import type {ListenerLimits} from '../limits/process-limits.ts';
import {ByteCollector} from './byte-collector.ts';
import {chunkPacer} from './chunk-pacer.ts';
import {ConnectionLimit} from './connection-limit.ts';
import {ServerConnections} from './server-connections.ts';

/** Handles one request; `params` holds the path segments that matched `*`, in order. */
export type HttpHandler = (req: http.IncomingMessage, res: http.ServerResponse, params: readonly string[]) => Promise<void> | void;

/** Handlers by `METHOD /path`; `*` matches one path segment. */
export type HttpRoutes = Readonly<Record<string, HttpHandler>>;

/** Host and port of a listener. */
export type ListenAddress = {readonly host: string; readonly port: number};

/** Maximum size of a request body, in bytes. */
export const maxBodyBytes = 4 * 1024 * 1024;

/** How long the head and the whole of a request may take to arrive at a listener with limits, in milliseconds. */
const arrivalLimits = {headersTimeout: 10_000, requestTimeout: 30_000};

/** When clients may return whose requests were refused, in seconds. */
const refusalRetryAfterS = 1;

/** Thrown when a request body exceeds {@link maxBodyBytes}. */
export class BodyTooLargeError extends Error {}

/** Thrown when there is no memory for a request body, or it arrives too slowly. */
export class BodyRefusedError extends Error {}

/** What requests to a listener with limits may take. */
type RequestLimits = {readonly heads: BodyBudget; readonly budget: BodyBudget; readonly incomplete: IncompleteBodies};

/** The limits of the listener that received a request, the room of its head, and the response, until whose end the request keeps its room. */
const limitsByRequest = new WeakMap<http.IncomingMessage, RequestLimits & {readonly head: BodyLease; readonly res: http.ServerResponse}>();

/** Statuses of responses to requests whose body could not be read. */
const bodyErrorStatuses: ReadonlyArray<readonly [new (message: string) => Error, number]> = [[BodyTooLargeError, 413], [BodyRefusedError, 503]];

type CompiledRoute = {readonly method: string; readonly pattern: RegExp; readonly handler: HttpHandler};

/** Serves HTTP routes on one address. */
export class HttpListener {
	private readonly server: http.Server;
	private readonly connections: ServerConnections;
	private readonly routes: readonly CompiledRoute[];
	private readonly requestLimits: RequestLimits | undefined;
	private readonly timer: NodeJS.Timeout | undefined;
	private isClosing = false;

	/**
	 * @param routes - handlers by `METHOD /path`
	 * @param log - logs errors that handlers throw
	 * @param limits - limits for connections, heads and bodies; without them, there are none
	 */
	constructor(routes: HttpRoutes, private readonly log: Logger, limits?: ListenerLimits) {
		this.routes = Object.entries(routes).map(([name, handler]) => compileRoute(name, handler));
		this.server = http.createServer(limits ? arrivalLimits : {}, (req, res) => {
			if (!req.socket.destroyed && !this.connections.isEnding(req.socket)) {
				void this.serve(req, res);
			}
		});
		this.connections = new ServerConnections(this.server);
		this.server.on('clientError', (err, socket) => {
			this.connections.endUnreadable(err, socket);
		});
		if (limits) {
			const incomplete = new IncompleteBodies();
			this.requestLimits = {heads: new BodyBudget(limits.heads), budget: new BodyBudget(limits.bodies), incomplete};
			new ConnectionLimit(this.server, {...limits, log, closeSlow: () => incomplete.endSlowest(performance.now())}).watch();
			this.timer = setInterval(() => {
				incomplete.check(performance.now());
			}, progressCheckMs).unref();
		}

		// Peers and load balancers keep idle connections open. With the default of 5 s, the server could close one just as a request arrives.
		this.server.keepAliveTimeout = 75_000;
		this.server.on('error', err => {
			// For example, no descriptor is left for a new connection. The open ones go on.
			this.log.warn({event: 'listener_failed', err}, 'cannot listen, or cannot accept a connection');
		});
	}

	/**
	 * Starts listening.
	 *
	 * @param address - port 0 selects any free port
	 * @returns the address with the actual port
	 */
	async start(address: ListenAddress): Promise<ListenAddress> {
		return new Promise((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen(address.port, address.host, () => {
				const {port} = this.server.address() as AddressInfo;
				resolve({host: address.host, port});
			});
		});
	}

	/** Closes each connection after its next response, so that clients move to other processes without an aborted request. */
	closeConnectionsAfterUse(): void {
		this.isClosing = true;
	}

	/** Stops accepting connections and waits until all open requests are answered. */
	async drain(): Promise<void> {
		this.isClosing = true;
		await this.connections.drain();
		clearInterval(this.timer);
	}

	/** Stops listening and closes all connections immediately, aborting open requests. */
	destroy(): void {
		clearInterval(this.timer);
		this.server.close();
		this.server.closeAllConnections();
	}

	private async serve(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		if (this.isClosing) {
			res.setHeader('connection', 'close');
		}

		if (this.requestLimits && !takeRequest(this.requestLimits, req, res)) {
			dropHead(req);
			res.setHeader('retry-after', refusalRetryAfterS);
			sendJson(res, 503, {error: {code: 'overloaded', outcome: 'not_run', message: 'too many requests are open'}});
			return;
		}

		try {
			const path = (req.url ?? '/').split('?')[0] ?? '/';
			for (const route of this.routes) {
				const match = route.method === req.method ? route.pattern.exec(path) : null;
				if (match) {
					await route.handler(req, res, match.slice(1).map(part => decodeURIComponent(part)));
					return;
				}
			}

			sendJson(res, 404, {error: {code: 'not_found', outcome: 'not_run', message: `no resource ${req.method} ${path}`}});
		} catch (err) {
			this.log.error({
				event: 'handler_failed', err, method: req.method, url: req.url,
			}, 'request handler failed');
			if (res.headersSent) {
				res.destroy();
			} else {
				sendJson(res, bodyErrorStatuses.find(([type]) => err instanceof type)?.[1] ?? 500, {error: {code: 'internal', outcome: 'unknown', message: (err as Error).message}});
			}
		}
	}
}

/**
 * Sends a JSON response; does nothing if the client has disconnected.
 *
 * @param res - the response; its headers must not have been sent yet
 * @param body - any value that `JSON.stringify` supports
 */
export function sendJson(res: http.ServerResponse, status: number, body: unknown): void {
	if (res.destroyed) {
		return;
	}

	const text = JSON.stringify(body);
	res.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	res.end(text);
}

/**
 * Reads a request body as UTF-8 text.
 *
 * @throws BodyTooLargeError when the body exceeds {@link maxBodyBytes}
 * @throws BodyRefusedError when its listener has limits, and the body has no room or arrives too slowly
 */
export async function readBody(req: http.IncomingMessage): Promise<string> {
	const body = new ByteCollector();
	const limits = limitsByRequest.get(req);
	const lease = limits?.budget.tryTake(0);
	limits?.res.once('close', () => {
		lease?.release();
	});
	return new Promise((resolve, reject) => {
		let isSettled = false;
		const fail = (err: Error) => {
			if (!isSettled) {
				body.clear();
				lease?.release();
				limits?.head.release();
				end();
				reject(err);
			}
		};

		const progress = limits?.incomplete.add(() => {
			fail(new BodyRefusedError('request body is not read any more'));
			// The response would wait for the rest of the body.
			req.destroy();
		}, performance.now());
		if (limits && progress) {
			progress.isHeadLarge = limits.head.isLarge;
		}

		const end = () => {
			isSettled = true;
			req.off('data', add);
			req.resume();
			if (progress) {
				limits?.incomplete.remove(progress);
			}
		};

		const add = (chunk: Buffer) => {
			const bytes = body.length + chunk.length;
			if (bytes > maxBodyBytes) {
				fail(new BodyTooLargeError(`request body is larger than ${maxBodyBytes} bytes`));
			} else if (limits && lease && progress && !growBody({...limits, lease, progress}, bytes)) {
				fail(new BodyRefusedError('no memory for the request body'));
			} else {
				body.push(chunk);
				progress?.record(chunk.length, performance.now());
			}
		};

		req.on('data', add);
		if (limits) {
			chunkPacer.watch(req, () => {
				req.socket.destroy();
			});
		}

		req.once('end', () => {
			end();
			resolve(body.take().toString('utf8'));
		});
		req.once('error', fail);
		req.once('close', () => {
			fail(new Error('the client disconnected'));
		});
	});
}

/**
 * Parses `host:port` without validation.
 *
 * @param text - for example `127.0.0.1:8080`
 */
export function parseAddress(text: string): ListenAddress {
	const at = text.lastIndexOf(':');
	return {host: text.slice(0, at), port: Number(text.slice(at + 1))};
}

/** Formats an address as `host:port`. */
export function formatAddress(address: ListenAddress): string {
	return `${address.host}:${address.port}`;
}

/** Takes room for a request until its response has been sent; returns false if there is none. */
function takeRequest(limits: RequestLimits, req: http.IncomingMessage, res: http.ServerResponse): boolean {
	const head = takeHead(limits.heads, limits.incomplete, estimateHeadBytes(req.rawHeaders));
	if (!head) {
		return false;
	}

	res.once('finish', () => {
		dropHead(req);
	});
	res.once('close', () => {
		head.release();
	});
	limitsByRequest.set(req, {...limits, head, res});
	return true;
}

function compileRoute(name: string, handler: HttpHandler): CompiledRoute {
	const [method = '', path = ''] = name.split(' ');
	const pattern = new RegExp(`^${path.replaceAll('*', '([^/]+)')}$`);
	return {method, pattern, handler};
}
