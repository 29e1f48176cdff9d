/** A small HTTP server: a lookup table of handlers by method and path, and graceful shutdown. */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Logger} from '../runtime/logger.ts';

/** Handles one request; `params` holds the path's variable parts in order. */
export type HttpHandler = (req: http.IncomingMessage, res: http.ServerResponse, params: readonly string[]) => Promise<void> | void;

/** Handlers by `METHOD /path`, where `*` stands for one path segment. */
export type HttpRoutes = Readonly<Record<string, HttpHandler>>;

/** Where to listen. */
export type ListenAddress = {readonly host: string; readonly port: number};

/** The largest request body that is read, in bytes. */
export const maxBodyBytes = 4 * 1024 * 1024;

/** Reports a request body over the size limit. */
export class BodyTooLargeError extends Error {}

/** How often a listener that drains looks for idle connections, in milliseconds. */
const idleCheckMs = 50;

type CompiledRoute = {readonly method: string; readonly pattern: RegExp; readonly handler: HttpHandler};

/** Serves routes on one address. */
export class HttpListener {
	private readonly server: http.Server;
	private readonly routes: readonly CompiledRoute[];
	private closing = false;

	/**
	 * @param routes - handlers by `METHOD /path`
	 * @param log - receives handler failures
	 */
	constructor(routes: HttpRoutes, private readonly log: Logger) {
		this.routes = Object.entries(routes).map(([name, handler]) => compileRoute(name, handler));
		this.server = http.createServer((req, res) => {
			void this.serve(req, res);
		});
		// Peers and balancers keep connections open between calls; the default of 5 s would close them under a racing request.
		this.server.keepAliveTimeout = 75_000;
	}

	/**
	 * Starts to listen.
	 *
	 * @param address - port 0 takes any free port
	 * @returns the address with the port that is in use
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

	/** Closes each connection with its next answer, so that clients move to other processes without a cut request. */
	closeConnectionsAfterUse(): void {
		this.closing = true;
	}

	/** Stops taking connections and waits until every open request has its answer. */
	async drain(): Promise<void> {
		this.closing = true;
		await new Promise<void>(resolve => {
			this.server.close(() => {
				clearInterval(timer);
				resolve();
			});
			// A connection that had a request open at the first look becomes idle later.
			const timer = setInterval(() => {
				this.server.closeIdleConnections();
			}, idleCheckMs);
			this.server.closeIdleConnections();
		});
	}

	/** Closes all connections at once. */
	destroy(): void {
		this.server.close();
		this.server.closeAllConnections();
	}

	private async serve(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		if (this.closing) {
			res.setHeader('connection', 'close');
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
				sendJson(res, err instanceof BodyTooLargeError ? 413 : 500, {error: {code: 'internal', outcome: 'unknown', message: (err as Error).message}});
			}
		}
	}
}

/**
 * Sends a JSON answer.
 *
 * @param res - the response, with nothing sent yet
 * @param status - the HTTP status
 * @param body - any value that JSON can carry
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
 * Reads a whole request body.
 *
 * @param req - the request
 * @throws BodyTooLargeError over {@link maxBodyBytes}
 */
export async function readBody(req: http.IncomingMessage): Promise<string> {
	const parts: Buffer[] = [];
	let bytes = 0;
	for await (const part of req) {
		const chunk = part as Buffer;
		bytes += chunk.length;
		if (bytes > maxBodyBytes) {
			throw new BodyTooLargeError(`request body is larger than ${maxBodyBytes} bytes`);
		}

		parts.push(chunk);
	}

	return Buffer.concat(parts).toString('utf8');
}

/**
 * Parses `host:port`.
 *
 * @param text - such as `127.0.0.1:8080`
 */
export function parseAddress(text: string): ListenAddress {
	const at = text.lastIndexOf(':');
	return {host: text.slice(0, at), port: Number(text.slice(at + 1))};
}

/**
 * Writes an address as `host:port`.
 *
 * @param address - the address
 */
export function formatAddress(address: ListenAddress): string {
	return `${address.host}:${address.port}`;
}

function compileRoute(name: string, handler: HttpHandler): CompiledRoute {
	const [method = '', path = ''] = name.split(' ');
	const pattern = new RegExp(`^${path.replaceAll('*', '([^/]+)')}$`);
	return {method, pattern, handler};
}
