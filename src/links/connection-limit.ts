/**
 * Bounds what the connections of one server take: their number, the requests on one of them that wait for a response, and the heads
 * that are incomplete. Closes the connections that have been idle for the longest time first.
 */
import type http from 'node:http';
import type net from 'node:net';
import type {Logger} from '../runtime/logger.ts';
import {chunkPacer} from './chunk-pacer.ts';
import {dropFields, watchFields} from './header-fields.ts';

/** How many requests may wait for a response on one connection. Clients that wait for each response have one. */
const maxPipelinedRequests = 16;

/** How often incomplete heads are counted, in milliseconds. */
const headCheckIntervalMs = 200;

/** Longest head that the parser takes, in bytes. */
const maxHeadBytes = 65_536;

/** Memory that a byte of an incomplete head takes at most, in bytes: its fields are kept as separate strings. */
const bytesPerHeadByte = 4;

/** Memory that a field of an incomplete head takes, in bytes. */
const bytesPerField = 96;

/** At most one line is logged in this time, in milliseconds. */
const logIntervalMs = 1000;

/** Limits for the connections of a server. */
export type ConnectionLimits = {
	readonly maxConnections: number;
	/** Memory for incomplete heads, in bytes. */
	readonly headBytes: number;
	/** Memory for the fields of incomplete heads and trailers, in bytes. */
	readonly fieldBytes: number;
	/** Requests that may wait behind earlier ones on their connections. */
	readonly maxWaitingRequests: number;
};

/** Dependencies of a {@link ConnectionLimit}. */
export type ConnectionLimitOptions = ConnectionLimits & {
	readonly log: Logger;
	/** Closes a connection that is not idle, but slow, at once or after a last response; returns false if there is none. */
	readonly closeSlow?: () => boolean;
};

/** A connection. */
type Connection = {
	/** Requests without a whole response. */
	openRequests: number;
	/** The last request. Its listeners hold its body and its response, which may be dropped long before the connection closes. */
	lastRequest?: WeakRef<http.IncomingMessage>;
	/** What had been received when the last request began, or when the connection was last idle, in bytes. */
	bytesBefore: number;
	/** Fields of an incomplete head or of incomplete trailers. */
	fields: number;
};

/** Watches the connections of one server. */
export class ConnectionLimit {
	/** Connections that were closed or refused. */
	closedCount = 0;
	private readonly connections = new Map<net.Socket, Connection>();
	/** The connections without an open request, the longest idle one first. */
	private readonly idle = new Set<net.Socket>();
	/** Requests that wait behind an earlier one on their connection. */
	private waitingRequests = 0;
	/** Fields of incomplete heads. */
	private fields = 0;
	private headTimer: NodeJS.Timeout | undefined;
	private lastLogMs = Number.NEGATIVE_INFINITY;

	/** @param server - the server, before it listens */
	constructor(private readonly server: http.Server, private readonly options: ConnectionLimitOptions) {}

	/** Starts to watch the connections. */
	watch(): this {
		const {server} = this;
		server.prependListener('request', (req: http.IncomingMessage, res: http.ServerResponse) => {
			this.addRequest(req, res);
		});
		server.on('connection', socket => {
			this.add(socket);
		});
		server.on('listening', () => {
			this.headTimer = setInterval(() => {
				this.closeLargestHeads();
			}, headCheckIntervalMs).unref();
		});
		server.on('close', () => {
			clearInterval(this.headTimer);
		});
		return this;
	}

	/** Number of open connections. */
	get count(): number {
		return this.connections.size;
	}

	private add(socket: net.Socket): void {
		if (this.connections.size >= this.options.maxConnections && !this.makeRoom()) {
			this.close(socket, 'no_room');
			return;
		}

		this.connections.set(socket, {openRequests: 0, bytesBefore: 0, fields: 0});
		this.idle.add(socket);
		socket.once('close', () => {
			this.forget(socket);
		});
		watchFields(socket, count => {
			this.setFields(socket, count);
		});
		chunkPacer.admit(socket);
	}

	private makeRoom(): boolean {
		const [longestIdle] = this.idle;
		if (longestIdle) {
			this.close(longestIdle, 'longest_idle');
		} else if (this.options.closeSlow?.()) {
			this.forgetDestroyed();
		}

		return this.connections.size < this.options.maxConnections;
	}

	private addRequest(req: http.IncomingMessage, res: http.ServerResponse): void {
		const {socket} = req;
		const connection = this.connections.get(socket);
		if (!connection) {
			return;
		}

		this.idle.delete(socket);
		this.setFields(socket, 0);
		connection.lastRequest = new WeakRef(req);
		connection.bytesBefore = socket.bytesRead;
		connection.openRequests++;
		this.waitingRequests += Number(connection.openRequests > 1);
		if (connection.openRequests > maxPipelinedRequests) {
			this.close(socket, 'too_many_requests');
			return;
		}

		if (this.waitingRequests > this.options.maxWaitingRequests) {
			this.close(this.findLargest(({openRequests}) => openRequests), 'too_many_waiting_requests');
		}

		const end = () => {
			if (!this.connections.has(socket)) {
				return;
			}

			this.waitingRequests -= Number(connection.openRequests > 1);
			connection.openRequests--;
			if (connection.openRequests === 0) {
				connection.bytesBefore = socket.bytesRead;
				this.idle.add(socket);
			}
		};

		res.once('close', () => {
			if (req.complete) {
				end();
			} else {
				// The rest of the body of a refused request is still arriving.
				req.once('close', end);
			}
		});
	}

	/** Counts the fields of an incomplete head, and closes the connection with the most if that is too many. */
	private setFields(socket: net.Socket, count: number): void {
		const connection = this.connections.get(socket);
		if (!connection) {
			dropFields(socket);
			return;
		}

		this.fields += count - connection.fields;
		connection.fields = count;
		if (this.fields * bytesPerField > this.options.fieldBytes) {
			const most = this.findLargest(({fields}) => fields);
			this.close(most, 'too_many_fields');
			dropFields(most);
		}
	}

	private findLargest(sizeOf: (connection: Connection) => number): net.Socket {
		let [[largest, first]] = [...this.connections] as [[net.Socket, Connection]];
		let largestSize = sizeOf(first);
		for (const [socket, connection] of this.connections) {
			const size = sizeOf(connection);
			if (size > largestSize) {
				largest = socket;
				largestSize = size;
			}
		}

		return largest;
	}

	private closeLargestHeads(): void {
		const heads = [...this.connections].map(([socket, connection]) => ({socket, bytes: bytesPerHeadByte * Math.min(maxHeadBytes, countHeadBytes(socket, connection))}));
		let total = heads.reduce((sum, {bytes}) => sum + bytes, 0);
		if (total <= this.options.headBytes) {
			return;
		}

		for (const {socket, bytes} of heads.toSorted((a, b) => b.bytes - a.bytes)) {
			if (total <= this.options.headBytes) {
				return;
			}

			total -= bytes;
			this.close(socket, 'head_too_large');
		}
	}

	/** Closes a connection; its descriptor is free when this returns. */
	private close(socket: net.Socket, reason: string): void {
		this.closedCount++;
		this.forget(socket);
		socket.destroy();
		const nowMs = performance.now();
		if (nowMs - this.lastLogMs > logIntervalMs) {
			this.lastLogMs = nowMs;
			const {log, maxConnections} = this.options;
			log.warn({
				event: 'connection_closed', reason, open: this.connections.size, maxConnections, closed: this.closedCount,
			}, 'connections of clients are closed or refused');
		}
	}

	/** Forgets the connections that have no descriptor any more and whose `close` event follows. */
	private forgetDestroyed(): void {
		for (const socket of this.connections.keys()) {
			if (socket.destroyed) {
				this.forget(socket);
			}
		}
	}

	private forget(socket: net.Socket): void {
		const {openRequests, fields} = this.connections.get(socket) ?? {openRequests: 0, fields: 0};
		this.waitingRequests -= Math.max(0, openRequests - 1);
		this.fields -= fields;
		this.connections.delete(socket);
		this.idle.delete(socket);
	}
}

/** Returns the bytes of a connection that belong to an incomplete head or to incomplete trailers. */
function countHeadBytes(socket: net.Socket, {openRequests, lastRequest, bytesBefore}: Connection): number {
	const bytesAtBody = chunkPacer.findBytesAtBody(socket);
	if (openRequests > 0 && lastRequest?.deref()?.complete === false && (bytesAtBody ?? 0) <= bytesBefore) {
		// Nothing of the body has been read so far: what has arrived may be its beginning.
		return 0;
	}

	return socket.bytesRead - Math.max(bytesBefore, bytesAtBody ?? 0);
}
