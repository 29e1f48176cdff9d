/** The connections of an HTTP server: closes idle ones, and drains the server without cutting a response that is still written. */
import type http from 'node:http';
import net from 'node:net';
import type {Duplex} from 'node:stream';

/** How often idle connections are closed while the server drains, in milliseconds. */
const idleCheckIntervalMs = 50;

/** How long a drain waits for peers that do not read their responses, in milliseconds. */
const maxLastWritesMs = 30_000;

/** How long a connection stays open after its last response for a client that still sends, in milliseconds. If it closed at once, the client could lose the response. */
const lingerMs = 2000;

/** Responses to requests that cannot be parsed, by error code of the HTTP parser. */
const parseErrorStatuses: Readonly<Record<string, string | undefined>> = {
	HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
	ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

/** Watches the connections of one server. */
export class ServerConnections {
	/** The responses that have not been handed to the system completely, those without an answer so far included, by connection. */
	private readonly unwritten = new Map<Duplex, Set<http.ServerResponse>>();
	/** The connections that close after the responses to the requests before one that could not be parsed. */
	private readonly ending = new WeakSet<Duplex>();

	/** @param server - the server, before it listens */
	constructor(private readonly server: http.Server) {
		server.prependListener('request', ({socket}: http.IncomingMessage, res: http.ServerResponse) => {
			const responses = this.unwritten.get(socket) ?? new Set();
			this.unwritten.set(socket, responses.add(res));
			res.once('close', () => {
				responses.delete(res);
				if (responses.size === 0) {
					this.unwritten.delete(socket);
				}
			});
		});
		server.on('connection', socket => {
			socket.once('close', () => {
				setImmediate(() => {
					this.closeResponsesOf(socket);
				});
			});
		});
		server.on('timeout', closeUnlessReadable);
	}

	/** Number of requests whose response has not been handed to the system completely. */
	get unwrittenResponses(): number {
		return [...this.unwritten.values()].reduce((sum, responses) => sum + responses.size, 0);
	}

	/**
	 * Ends a connection of which the rest cannot be parsed.
	 *
	 * The client would take a response for that to an earlier request, if there is one without a whole response: then the connection closes
	 * after the responses to the earlier requests.
	 */
	endUnreadable(err: NodeJS.ErrnoException, socket: Duplex): void {
		if (this.ending.has(socket)) {
			return;
		}

		this.ending.add(socket);
		if (err.code === 'ECONNRESET' || !socket.writable) {
			socket.destroy();
			return;
		}

		const responses = [...this.unwritten.get(socket) ?? []];
		const earlier = responses.filter(({req}) => req.complete);
		if (earlier.length === 0) {
			const hasStarted = responses.some(({headersSent}) => headersSent);
			this.endAfter(socket, hasStarted ? '' : `HTTP/1.1 ${parseErrorStatuses[err.code ?? ''] ?? '400 Bad Request'}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
			return;
		}

		const waiting = new Set(earlier);
		for (const res of earlier) {
			res.once('close', () => {
				waiting.delete(res);
				if (waiting.size === 0) {
					this.endAfter(socket, '');
				}
			});
		}
	}

	/**
	 * Lets a connection close after a response, and no longer after those to earlier requests.
	 *
	 * @returns false if an earlier response has announced the end of the connection already, so that this one could not be sent
	 */
	closeAfter(res: http.ServerResponse): boolean {
		const earlier = [...this.unwritten.get(res.req.socket) ?? []].filter(other => other !== res);
		if (earlier.some(other => other.headersSent && other.getHeader('connection') === 'close')) {
			return false;
		}

		for (const other of earlier.filter(({headersSent}) => !headersSent)) {
			other.removeHeader('connection');
		}

		res.setHeader('connection', 'close');
		return true;
	}

	/** Whether a connection is about to close; a further request there would get no response. */
	isEnding(socket: Duplex): boolean {
		return this.ending.has(socket);
	}

	/** Stops accepting connections and waits until every response has been written, unless that takes too long, and every connection is closed. */
	async drain(): Promise<void> {
		const writesUntilMs = performance.now() + maxLastWritesMs;
		await new Promise<void>(resolve => {
			const closeIdle = () => {
				if (this.unwritten.size === 0 || performance.now() > writesUntilMs) {
					this.server.closeIdleConnections();
				}
			};

			const timer = setInterval(closeIdle, idleCheckIntervalMs);
			// The method of `http.Server` would destroy connections whose response has ended and is not written yet.
			net.Server.prototype.close.call(this.server, () => {
				clearInterval(timer);
				resolve();
			});
			closeIdle();
		});
	}

	/** Writes the last bytes of a connection, and closes it once the client has closed it or after a short time. */
	private endAfter(socket: Duplex, lastBytes: string): void {
		socket.end(lastBytes);
		const timer = setTimeout(() => {
			socket.destroy();
		}, lingerMs).unref();
		socket.once('close', () => {
			clearTimeout(timer);
		});
	}

	/** Node.js emits `close` only for the first of several requests that a peer has sent on a connection before it left. */
	private closeResponsesOf(socket: net.Socket): void {
		for (const res of this.unwritten.get(socket) ?? []) {
			res.emit('close');
		}
	}
}

/** Closes a connection that was idle for too long, unless the next request has arrived and was not read during a pause of this process. */
function closeUnlessReadable(socket: net.Socket): void {
	const {bytesRead} = socket;
	setImmediate(() => {
		if (socket.bytesRead === bytesRead) {
			socket.destroy();
		}
	});
}
