/** The connections of an HTTP server: closes idle ones, and drains the server without cutting a response that is still written. */
import type http from 'node:http';
import net from 'node:net';

/** How often idle connections are closed while the server drains, in milliseconds. */
const idleCheckIntervalMs = 50;

/** How long a drain waits for peers that do not read their responses, in milliseconds. */
const maxLastWritesMs = 30_000;

/** Watches the connections of one server. */
export class ServerConnections {
	/** The responses that have not been handed to the system completely, those without an answer so far included. */
	private readonly unwritten = new Set<http.ServerResponse>();

	/** @param server - the server, before it listens */
	constructor(private readonly server: http.Server) {
		server.prependListener('request', (_, res: http.ServerResponse) => {
			this.unwritten.add(res);
			res.once('close', () => {
				this.unwritten.delete(res);
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
		return this.unwritten.size;
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

	/** Node.js emits `close` only for the first of several requests that a peer has sent on a connection before it left. */
	private closeResponsesOf(socket: net.Socket): void {
		for (const res of this.unwritten) {
			if (res.req.socket === socket) {
				res.emit('close');
			}
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
