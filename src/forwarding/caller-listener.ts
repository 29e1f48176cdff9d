/** HTTP listener for callers: reads complete calls within the published limits and passes them to the forwarder. */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Duplex} from 'node:stream';
import type {CallerLimits} from '../directory/directory-types.ts';
import type {MemoryBudget} from '../limits/memory-budget.ts';
import {dropHead} from '../limits/head-memory.ts';
import {chunkPacer} from '../links/chunk-pacer.ts';
import {ConnectionLimit, type ConnectionLimits} from '../links/connection-limit.ts';
import type {ListenAddress} from '../links/http-listener.ts';
import {ServerConnections} from '../links/server-connections.ts';
import type {Logger} from '../runtime/logger.ts';
import {areHeadersValid, isTargetValid} from '../links/http-syntax.ts';
import {BodyReceiver} from './body-receiver.ts';
import {CallBoundary, type CallPhase} from './call-boundary.ts';
import {ResponseWriter} from './response-writer.ts';
import type {CallForwarder} from './call-forwarder.ts';
import type {ForwardedCall} from './forwarded-call.ts';
import type {WireCodec} from './wire-codec.ts';

/** Header size limit of the HTTP parser, in bytes; a lower published limit is checked for each call. */
const maxParsedHeaderBytes = 65_536;

/** Fields of a head that the parser keeps: more than fit into the published 16 KiB, so that a head of which it drops some is refused for its size. */
const maxHeadFields = 4096;

/** How often connections are checked for expired header and request timeouts, in milliseconds. */
const connectionsCheckIntervalMs = 500;

/** How long a complete request may take to arrive, in milliseconds. */
const requestTimeoutMs = 30_000;

/** When callers may return after an exception before their call was forwarded, in milliseconds. */
const faultRetryAfterMs = 300;

/** How long a malformed call may still send, and how many bytes of it are read meanwhile; a connection that is closed earlier loses the response. */
const refusedCallMs = 2000;
const maxRefusedBytes = 33_554_432;

/** Limits that apply until a configuration has been received. */
const defaultLimits: CallerLimits = {
	headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
};

const bodyTooLarge = {status: 413, reason: 'body is too large'};

/** Dependencies of a {@link CallerListener}. */
export type CallerListenerOptions = {
	readonly forwarder: CallForwarder;
	readonly codec: WireCodec;
	readonly log: Logger;
	/** Returns the published limits; undefined until a configuration has been received. */
	readonly limits: () => CallerLimits | undefined;
	/** The memory for heads. */
	readonly heads: MemoryBudget;
	/** The memory for bodies. */
	readonly bodies: MemoryBudget;
	/** Limits for connections; without them, there is none. */
	readonly connections?: ConnectionLimits;
	/** How many calls may be forwarded at a time; unlimited if absent. */
	readonly maxOpenCalls?: number;
	/** Called for each exception in the code of a call. */
	readonly onFault: (phase: CallPhase) => void;
	/** Called for each call that was refused before it could be forwarded. */
	readonly onRefused?: (reason: string) => void;
};

/** Accepts connections from callers and reads their calls. */
export class CallerListener {
	private readonly server: http.Server;
	private readonly connections: ServerConnections;
	private readonly bodyReceiver: BodyReceiver;
	private readonly connectionLimit: ConnectionLimit | undefined;
	private readonly refusedConnections = new WeakSet<Duplex>();
	private isClosing = false;

	/** @param options - dependencies */
	constructor(private readonly options: CallerListenerOptions) {
		this.server = http.createServer({
			maxHeaderSize: maxParsedHeaderBytes, connectionsCheckingInterval: connectionsCheckIntervalMs, noDelay: true, requestTimeout: requestTimeoutMs,
		}, (req, res) => {
			this.accept(req, res);
		});
		this.server.maxHeadersCount = maxHeadFields;
		this.connections = new ServerConnections(this.server);
		this.bodyReceiver = new BodyReceiver({
			...options, maxBytes: () => this.limits.bodyBytes, isClosing: () => this.isClosing, onTooLarge: (req, writer) => {
				this.refuse(req, writer, bodyTooLarge);
			},
		});
		this.connectionLimit = options.connections && new ConnectionLimit(this.server, {
			...options.connections, log: options.log, closeSlow: () => this.bodyReceiver.endSlowest() || options.forwarder.buffers.discardSlowest(),
		}).watch();
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
		this.bodyReceiver.start();
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

	/** Number of open connections of callers. */
	get connectionCount(): number {
		return this.connectionLimit?.count ?? 0;
	}

	/** Number of connections that were closed or refused because there were too many, or because they sent too much. */
	get closedConnections(): number {
		return this.connectionLimit?.closedCount ?? 0;
	}

	/** Number of calls whose body is arriving. */
	get incompleteBodies(): number {
		return this.bodyReceiver.incomplete.count;
	}

	/** Sends `Connection: close` with every further response, so that each connection ends after its next call. */
	disableKeepAlive(): void {
		this.isClosing = true;
	}

	/** Stops accepting connections and waits until every open call has its response. */
	async drain(): Promise<void> {
		this.isClosing = true;
		await this.connections.drain();
		this.bodyReceiver.stop();
	}

	/** Closes all connections immediately. */
	destroy(): void {
		this.bodyReceiver.stop();
		this.server.close();
		this.server.closeAllConnections();
	}

	private get limits(): CallerLimits {
		return this.options.limits() ?? defaultLimits;
	}

	private accept(req: http.IncomingMessage, res: http.ServerResponse): void {
		if (req.socket.destroyed || this.refusedConnections.has(req.socket) || this.connections.isEnding(req.socket)) {
			// The parser goes on with what it has read of a connection that was closed, or will be because of a malformed request.
			return;
		}

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
		if (this.isClosing && !this.connections.closeAfter(res)) {
			return;
		}

		let call: ForwardedCall | undefined;
		const writer = new ResponseWriter(res, {
			onDisconnect: boundary.wrap('disconnect', () => {
				call?.handleDisconnect();
			}),
			onTooSlow: unreadBytes => {
				this.options.log.warn({event: 'reader_too_slow', id: boundary.attemptId, unreadBytes}, 'the caller reads too slowly; its connection is closed');
			},
		}, this.options.forwarder.buffers);
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
		const receiver = {writer, boundary};
		this.bodyReceiver.receive(req, receiver, body => {
			if (this.options.forwarder.openCalls >= (this.options.maxOpenCalls ?? Number.POSITIVE_INFINITY)) {
				this.bodyReceiver.refuse(req, receiver, 'too_many_calls');
				return;
			}

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
			return bodyTooLarge;
		}

		if ((req.headers['transfer-encoding'] ?? 'chunked').toLowerCase() !== 'chunked') {
			return {status: 400, reason: 'the transfer coding is not understood'};
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
		this.refusedConnections.add(req.socket);
		dropHead(req);
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
		chunkPacer.watch(req);
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

	private respondToParseError(err: NodeJS.ErrnoException, socket: Duplex): void {
		if (!this.refusedConnections.has(socket)) {
			this.options.log.warn({event: 'call_unreadable', code: err.code}, 'request could not be parsed');
		}

		this.connections.endUnreadable(err, socket);
	}
}
