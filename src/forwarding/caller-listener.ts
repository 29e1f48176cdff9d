/** HTTP listener for callers: reads complete calls within the published limits and passes them to the forwarder. */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Duplex} from 'node:stream';
import type {CallerLimits} from '../directory/directory-types.ts';
import type {BodyBudget, BodyLease} from '../limits/body-budget.ts';
import type {ListenAddress} from '../links/http-listener.ts';
import {ServerConnections} from '../links/server-connections.ts';
import type {Logger} from '../runtime/logger.ts';
import {areHeadersValid, isTargetValid} from '../links/http-syntax.ts';
import {CallBoundary, type CallPhase} from './call-boundary.ts';
import {ResponseWriter} from './response-writer.ts';
import type {CallForwarder} from './call-forwarder.ts';
import type {ForwardedCall} from './forwarded-call.ts';
import type {WireCodec} from './wire-codec.ts';

/** Header size limit of the HTTP parser, in bytes; a lower published limit is checked for each call. */
const maxParsedHeaderBytes = 65_536;

/** How often connections are checked for expired header and request timeouts, in milliseconds. */
const connectionsCheckIntervalMs = 500;

/** How long a complete request may take to arrive, in milliseconds. */
const requestTimeoutMs = 30_000;

/** When callers may return after an exception before their call was forwarded, in milliseconds. */
const faultRetryAfterMs = 300;

/** When callers may return for whose bodies there was no memory, in milliseconds. */
const noMemoryRetryAfterMs = 500;

/** How long a malformed call may still send, and how many bytes of it are read meanwhile; a connection that is closed earlier loses the response. */
const refusedCallMs = 2000;
const maxRefusedBytes = 33_554_432;

/** Limits that apply until a configuration has been received. */
const defaultLimits: CallerLimits = {
	headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
};

/** Response statuses for requests that cannot be parsed, by error code of the HTTP parser. */
const parseErrorStatuses: Readonly<Record<string, string | undefined>> = {
	HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
	ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

/** Dependencies of a {@link CallerListener}. */
export type CallerListenerOptions = {
	readonly forwarder: CallForwarder;
	readonly codec: WireCodec;
	readonly log: Logger;
	/** Returns the published limits; undefined until a configuration has been received. */
	readonly limits: () => CallerLimits | undefined;
	/** The memory for bodies. */
	readonly bodies: BodyBudget;
	/** Called for each exception in the code of a call. */
	readonly onFault: (phase: CallPhase) => void;
	/** Called for each call that was refused before it could be forwarded. */
	readonly onRefused?: (reason: string) => void;
};

/** How a call that is being read is answered, and what runs its code. */
type Receiver = {readonly writer: ResponseWriter; readonly boundary: CallBoundary};

/** Accepts connections from callers and reads their calls. */
export class CallerListener {
	private readonly server: http.Server;
	private readonly connections: ServerConnections;
	private isClosing = false;

	/** @param options - dependencies */
	constructor(private readonly options: CallerListenerOptions) {
		this.server = http.createServer({
			maxHeaderSize: maxParsedHeaderBytes, connectionsCheckingInterval: connectionsCheckIntervalMs, noDelay: true, requestTimeout: requestTimeoutMs,
		}, (req, res) => {
			this.accept(req, res);
		});
		this.connections = new ServerConnections(this.server);
		this.server.on('clientError', (err: NodeJS.ErrnoException, socket) => {
			this.respondToParseError(err, socket);
		});
		this.server.on('error', err => {
			// For example, no descriptor is left for a new connection. The open ones go on.
			this.options.log.warn({event: 'listener_failed', err}, 'cannot listen, or cannot accept a connection');
		});
		this.applyLimits();
	}

	/** Applies the published header and idle timeouts to the server. */
	applyLimits(): void {
		const {headerTimeoutMs, idleTimeoutMs} = this.limits;
		this.server.headersTimeout = headerTimeoutMs;
		this.server.keepAliveTimeout = idleTimeoutMs;
	}

	/**
	 * Starts to listen.
	 *
	 * @param address - host and port to bind; with port 0, the system chooses a free one
	 * @returns the bound address
	 */
	async start(address: ListenAddress): Promise<ListenAddress> {
		await new Promise<void>((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen(address.port, address.host, resolve);
		});
		const {port} = this.server.address() as AddressInfo;
		return {host: address.host, port};
	}

	/** Number of calls whose response has not been handed to the system completely. */
	get unwrittenResponses(): number {
		return this.connections.unwrittenResponses;
	}

	/** Sends `Connection: close` with every further response, so that each connection ends after its next call. */
	disableKeepAlive(): void {
		this.isClosing = true;
	}

	/** Stops accepting connections and waits until every open call has its response. */
	async drain(): Promise<void> {
		this.isClosing = true;
		await this.connections.drain();
	}

	/** Closes all connections immediately. */
	destroy(): void {
		this.server.close();
		this.server.closeAllConnections();
	}

	private get limits(): CallerLimits {
		return this.options.limits() ?? defaultLimits;
	}

	private accept(req: http.IncomingMessage, res: http.ServerResponse): void {
		const boundary = new CallBoundary({
			log: this.options.log, onFault: this.options.onFault, disconnect() {
				req.socket.destroy();
			},
		});
		boundary.run('receive', () => {
			this.serve(req, res, boundary);
		});
	}

	private serve(req: http.IncomingMessage, res: http.ServerResponse, boundary: CallBoundary): void {
		const receivedAtMs = performance.now();
		if (this.isClosing) {
			res.setHeader('connection', 'close');
		}

		let call: ForwardedCall | undefined;
		const writer = new ResponseWriter(res, boundary.wrap('disconnect', () => {
			call?.handleDisconnect();
		}));
		boundary.endCall = () => {
			writer.sendError(503, 'an internal error; not run', this.options.codec.writeRefusalHeaders(faultRetryAfterMs));
		};

		const violation = this.findViolation(req);
		if (violation) {
			this.refuse(req, writer, violation);
			return;
		}

		const headers = this.options.codec.readCallHeaders(req.rawHeaders);
		boundary.attemptId = headers.attemptId;
		this.receiveBody(req, {writer, boundary}, body => {
			call = this.options.forwarder.forward({
				method: req.method ?? 'GET', target: req.url ?? '/', rawHeaders: req.rawHeaders, headers, body, receivedAtMs,
			}, writer, boundary);
		});
	}

	private findViolation(req: http.IncomingMessage): {status: number; reason: string} | undefined {
		let headerBytes = 0;
		for (const item of req.rawHeaders) {
			headerBytes += item.length + 2;
		}

		if (headerBytes > this.limits.headerBytes) {
			return {status: 431, reason: 'headers are too large'};
		}

		if (Number(req.headers['content-length'] ?? 0) > this.limits.bodyBytes) {
			return {status: 413, reason: 'body is too large'};
		}

		if (!areHeadersValid(req.rawHeaders)) {
			return {status: 400, reason: 'a header has a character that is not allowed'};
		}

		if (!req.url?.startsWith('/')) {
			return {status: 400, reason: 'the target is not a path'};
		}

		return isTargetValid(req.url) ? undefined : {status: 400, reason: 'the target has a character that is not allowed'};
	}

	/**
	 * Rejects a malformed call and closes its connection once the call has arrived, or after a short time. What is left of its body is read and
	 * dropped: the caller, which is still sending, would lose the response if its connection were closed at once.
	 */
	private refuse(req: http.IncomingMessage, writer: ResponseWriter, {status, reason}: {status: number; reason: string}): void {
		this.options.log.warn({event: 'call_malformed', status, reason}, 'malformed call rejected');
		this.options.onRefused?.(`status ${status}`);
		const body = Buffer.from(JSON.stringify({error: reason}));
		// The writer adds the length of a response to a caller that does not understand chunks.
		const length = req.httpVersion === '1.0' ? [] : ['content-length', String(body.length)];
		writer.start(status, ['content-type', 'application/json', 'connection', 'close', ...length]);
		writer.write(body);
		const timer = setTimeout(() => {
			writer.end();
		}, refusedCallMs);
		writer.onceClosed(() => {
			clearTimeout(timer);
		});
		let bytes = 0;
		req.on('data', (chunk: Buffer) => {
			bytes += chunk.length;
			if (bytes > maxRefusedBytes) {
				req.pause();
			}
		});
		req.once('end', () => {
			writer.end();
		});
	}

	/**
	 * Rejects a call for whose body there is no memory. What is left of the body is read and dropped: the caller, which is still sending, would
	 * lose the response if its connection were closed meanwhile.
	 */
	private refuseBody(req: http.IncomingMessage, {writer, boundary}: Receiver): void {
		const {log, codec, bodies} = this.options;
		log.warn({
			event: 'call_refused', id: boundary.attemptId, status: 503, reason: 'no_memory_for_body', bodyBytes: bodies.usedBytes,
		}, 'call refused');
		this.options.onRefused?.('no_memory_for_body');
		const respond = () => {
			writer.sendError(503, 'not run; return later', codec.writeRefusalHeaders(noMemoryRetryAfterMs));
		};

		if (this.isClosing) {
			// The response closes the connection.
			req.once('end', boundary.wrap('receive', respond));
		} else {
			const isLast = writer.keepConnection();
			respond();
			req.once('end', () => {
				if (isLast) {
					req.socket.end();
				}
			});
		}

		req.resume();
	}

	/** Reads the body once there is memory for it. */
	private receiveBody(req: http.IncomingMessage, receiver: Receiver, onComplete: (body: Buffer) => void): void {
		const {bodies} = this.options;
		const {writer, boundary} = receiver;
		const bytes = Number(req.headers['content-length'] ?? 0);
		const read = (lease: BodyLease) => {
			writer.onceClosed(() => {
				lease.release();
			});
			this.readBody(req, {...receiver, lease}, onComplete);
		};

		const lease = bodies.tryTake(bytes);
		if (lease) {
			read(lease);
			return;
		}

		void boundary.runAsync('receive', async () => {
			const late = await bodies.take(bytes);
			if (!late) {
				this.refuseBody(req, receiver);
			} else if (writer.isClosed) {
				late.release();
			} else {
				read(late);
			}
		});
	}

	private readBody(req: http.IncomingMessage, {writer, boundary, lease}: Receiver & {readonly lease: BodyLease}, onComplete: (body: Buffer) => void): void {
		const hasLength = req.headers['content-length'] !== undefined;
		let chunks: Buffer[] = [];
		let bytes = 0;
		let isRefused = false;
		const drop = () => {
			isRefused = true;
			chunks = [];
		};

		req.on('data', boundary.wrap('receive', (chunk: Buffer) => {
			bytes += chunk.length;
			if (isRefused || writer.isClosed) {
				drop();
			} else if (bytes > this.limits.bodyBytes) {
				drop();
				lease.release();
				this.refuse(req, writer, {status: 413, reason: 'body is too large'});
			} else if (hasLength || lease.growTo(bytes)) {
				chunks.push(chunk);
			} else {
				drop();
				this.refuseBody(req, {writer, boundary});
			}
		}));
		req.once('end', boundary.wrap('forward', () => {
			if (!isRefused && !writer.isClosed) {
				const [first] = chunks;
				onComplete(chunks.length === 1 ? first! : Buffer.concat(chunks));
				chunks = [];
			}
		}));
		req.on('error', () => {
			// The caller disconnected before its call was complete; the `close` event of the response follows.
		});
	}

	private respondToParseError(err: NodeJS.ErrnoException, socket: Duplex): void {
		if (err.code === 'ECONNRESET' || !socket.writable) {
			socket.destroy();
			return;
		}

		this.options.log.warn({event: 'call_unreadable', code: err.code}, 'request could not be parsed');
		socket.end(`HTTP/1.1 ${parseErrorStatuses[err.code ?? ''] ?? '400 Bad Request'}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
	}
}
