/** HTTP server with a route table and graceful shutdown. */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Logger} from '../runtime/logger.ts';
import {dropHead} from '../limits/head-memory.ts';
import type {ListenerLimits} from '../limits/process-limits.ts';
import {ConnectionLimit} from './connection-limit.ts';
import {BodyRefusedError, BodyTooLargeError} from './read-body.ts';
import {RequestLimits} from './request-limits.ts';
import {ServerConnections} from './server-connections.ts';

/** Handles one request; `params` holds the path segments that matched `*`, in order. */
export type HttpHandler = (req: http.IncomingMessage, res: http.ServerResponse, params: readonly string[]) => Promise<void> | void;

/** Sends the response to a request for which there is no room. */
export type RequestRefusal = (req: http.IncomingMessage, res: http.ServerResponse) => void;

/** Handlers by `METHOD /path`; `*` matches one path segment. */
export type HttpRoutes = Readonly<Record<string, HttpHandler>>;

/** Host and port of a listener. */
export type ListenAddress = {readonly host: string; readonly port: number};

/** How long the head and the whole of a request may take to arrive at a listener with limits, in milliseconds. */
const arrivalLimits = {headersTimeout: 10_000, requestTimeout: 30_000};

/** When clients may return whose requests were refused, in seconds. */
const refusalRetryAfterS = 1;

/** Statuses of responses to requests whose body could not be read. */
const bodyErrorStatuses: ReadonlyArray<readonly [new (message: string) => Error, number]> = [[BodyTooLargeError, 413], [BodyRefusedError, 503]];

/** Longest text that is handed to the connection as it is. A longer one would take room in the heap until the client has read it. */
const maxTextLength = 16_384;

type CompiledRoute = {readonly method: string; readonly pattern: RegExp; readonly handler: HttpHandler};

/** Serves HTTP routes on one address. */
export class HttpListener {
	private readonly server: http.Server;
	private readonly connections: ServerConnections;
	private readonly routes: readonly CompiledRoute[];
	private readonly requestLimits: RequestLimits | undefined;
	private readonly connectionLimit: ConnectionLimit | undefined;
	private isClosing = false;

	/**
	 * @param routes - handlers by `METHOD /path`
	 * @param log - logs errors that handlers throw
	 * @param limits - limits for connections, requests and unread responses; without them, there are none
	 * @param refuse - answers a request for which there is no room
	 */
	constructor(routes: HttpRoutes, private readonly log: Logger, limits?: ListenerLimits, private readonly refuse: RequestRefusal = refuseRequest) {
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
			const requestLimits = new RequestLimits(limits, log);
			this.requestLimits = requestLimits;
			this.connectionLimit = new ConnectionLimit(this.server, {...limits, log, closeSlow: () => requestLimits.endSlowest()}).watch();
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

	/** Number of open connections; 0 without limits. */
	get connectionCount(): number {
		return this.connectionLimit?.count ?? 0;
	}

	/** Number of connections that were closed or refused because of a limit. */
	get closedConnections(): number {
		return this.connectionLimit?.closedCount ?? 0;
	}

	/** Number of requests that were refused because there was no room for them. */
	get refusedRequests(): number {
		return this.requestLimits?.refusedCount ?? 0;
	}

	/** Closes each connection after its next response, so that clients move to other processes without an aborted request. */
	closeConnectionsAfterUse(): void {
		this.isClosing = true;
	}

	/** Stops accepting connections and waits until all open requests are answered. */
	async drain(): Promise<void> {
		this.isClosing = true;
		await this.connections.drain();
		this.requestLimits?.stop();
	}

	/** Stops listening and closes all connections immediately, aborting open requests. */
	destroy(): void {
		this.requestLimits?.stop();
		this.server.close();
		this.server.closeAllConnections();
	}

	private async serve(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		if (this.isClosing && !this.connections.closeAfter(res)) {
			return;
		}

		if (this.requestLimits?.take(req, res) === false) {
			res.setHeader('retry-after', refusalRetryAfterS);
			this.refuse(req, res);
			dropHead(req);
			return;
		}

		try {
			const path = (req.url ?? '/').split('?')[0] ?? '/';
			for (const route of this.routes) {
				const match = route.method === req.method ? route.pattern.exec(path) : null;
				if (match) {
					await route.handler(req, res, match.slice(1).map(part => decodeURIComponent(part)));
					this.requestLimits?.countUnread(req, res);
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
	res.end(text.length > maxTextLength ? Buffer.from(text) : text);
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

function refuseRequest(_: http.IncomingMessage, res: http.ServerResponse): void {
	sendJson(res, 503, {error: {code: 'overloaded', outcome: 'not_run', message: 'too many requests are open'}});
}

function compileRoute(name: string, handler: HttpHandler): CompiledRoute {
	const [method = '', path = ''] = name.split(' ');
	const pattern = new RegExp(`^${path.replaceAll('*', '([^/]+)')}$`);
	return {method, pattern, handler};
}
