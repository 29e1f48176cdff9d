/**
 * Sends one HTTP request to one upstream on a new connection and reports the response.
 *
 * A reused connection may be dead without notice, or may still carry a late response to an earlier call;
 * a new connection costs one round trip and rules out both.
 */
import type {Buffer} from 'node:buffer';
import http from 'node:http';
import type net from 'node:net';
import {chunkPacer} from '../links/chunk-pacer.ts';
import {formatAddress} from '../links/http-listener.ts';
import {areHeadersValid, isFinalStatus} from '../links/http-syntax.ts';
import {connectTimeoutMs, probeConnection} from '../links/probe-connection.ts';
import {type InputTimeout, setInputTimeout} from '../runtime/input-timeout.ts';
import type {CallBoundary} from './call-boundary.ts';

/** Statuses of responses that never have a body. */
const noContentStatus = 204;
const notModifiedStatus = 304;

/** How many interim heads a response may have. A server in trouble may send them without end, some thousand in each read. */
const maxInterimHeads = 16;

/** The request to send. */
export type ExchangeRequest = {
	readonly host: string;
	readonly port: number;
	readonly method: string;
	readonly target: string;
	/** Alternating names and values. */
	readonly headers: readonly string[];
	readonly body: Buffer | undefined;
};

/** Callbacks for the request and the response; exactly one of `onWithheld`, `onEnd` and `onError` is called, unless the exchange is aborted. */
export type ExchangeEvents = {
	/** Returns whether the request may still be sent; called when the connection is established, before anything is written. */
	readonly mayWrite: () => boolean;
	/** Called if the request may not be sent any more, so that the upstream certainly did not get the call. */
	readonly onWithheld: () => void;
	readonly onHeaders: (status: number, rawHeaders: readonly string[]) => void;
	readonly onData: (chunk: Buffer) => void;
	/** Called when the body is complete. */
	readonly onEnd: () => void;
	/** @param wasConnected - false only if no connection was established, so that the upstream certainly did not get the call */
	readonly onError: (reason: string, wasConnected: boolean) => void;
};

const agent = new http.Agent({keepAlive: false, noDelay: true, maxSockets: Number.POSITIVE_INFINITY});

/** One request and its response. */
export class UpstreamExchange {
	private readonly req: http.ClientRequest;
	private readonly connectTimeout: InputTimeout;
	private isConnected = false;
	private hasWritten = false;
	private isFinished = false;
	private interimHeads = 0;
	/** Whether the whole response has arrived. */
	private isComplete = false;
	/** Whether the upstream closed the connection with a FIN rather than a reset. */
	private hasReceivedFin = false;
	/** Whether the response has ended with its connection, and a probe of the upstream is under way. */
	private isConfirming = false;
	private readonly address: string;

	/**
	 * @param request - the request to send
	 * @param events - callbacks for the response
	 * @param boundary - runs the listeners, and so the callbacks
	 * @throws TypeError if Node.js does not accept a value of the request
	 */
	constructor(request: ExchangeRequest, private readonly events: ExchangeEvents, private readonly boundary: CallBoundary) {
		const {host, port, method, target, headers, body} = request;
		this.address = formatAddress({host, port});
		this.req = http.request({
			host, port, method, path: target, headers, agent,
		});
		this.req.maxHeadersCount = 0;
		this.connectTimeout = setInputTimeout(boundary.wrap('send', () => {
			this.fail('connect_timeout');
		}), connectTimeoutMs);
		this.req.on('socket', boundary.wrap('send', (socket: net.Socket) => {
			this.watchSocket(socket, body);
		}));
		this.req.on('response', boundary.wrap('answer', (res: http.IncomingMessage) => {
			this.handleResponse(res);
		}));
		this.req.on('information', boundary.wrap('answer', () => {
			this.interimHeads++;
			if (this.interimHeads > maxInterimHeads) {
				this.fail('too_many_interim_heads');
			}
		}));
		this.req.on('upgrade', boundary.wrap('answer', (res: http.IncomingMessage, socket: net.Socket) => {
			// Without a listener, Node.js closes the connection and reports nothing.
			socket.destroy();
			this.fail('answer_head_invalid');
		}));
		this.req.on('error', boundary.wrap('answer', (err: NodeJS.ErrnoException) => {
			this.fail(err.code ?? err.message);
		}));
	}

	/** Whether any part of the request was written; if not, the upstream certainly did not get the call. */
	get isWritten(): boolean {
		return this.hasWritten;
	}

	/** Aborts the exchange; no callback is called afterwards. */
	abort(): void {
		this.finish();
	}

	private watchSocket(socket: net.Socket, body: Buffer | undefined): void {
		socket.once('connect', this.boundary.wrap('send', () => {
			this.isConnected = true;
			this.connectTimeout.clear();
			this.write(body);
		}));
		socket.prependOnceListener('end', () => {
			// The event loop also reports a reset as an end if data was read just before. The socket has no peer then.
			this.hasReceivedFin = socket.remoteAddress !== undefined;
		});
	}

	private write(body: Buffer | undefined): void {
		if (this.isFinished) {
			return;
		}

		if (!this.events.mayWrite()) {
			this.finish();
			this.events.onWithheld();
			return;
		}

		this.hasWritten = true;
		this.req.end(body);
	}

	private handleResponse(res: http.IncomingMessage): void {
		if (this.isFinished) {
			return;
		}

		const status = res.statusCode ?? 0;
		if (!isFinalStatus(status) || !areHeadersValid(res.rawHeaders)) {
			this.fail('answer_head_invalid');
			return;
		}

		this.events.onHeaders(status, res.rawHeaders);
		res.on('data', this.boundary.wrap('answer', (chunk: Buffer) => {
			if (!this.isFinished) {
				this.events.onData(chunk);
			}
		}));
		chunkPacer.watch(res);
		res.on('end', this.boundary.wrap('answer', () => {
			if (res.complete && marksEnd(this.req.method, res)) {
				this.end();
			} else if (res.complete && this.hasReceivedFin) {
				// The parser reports such a response as complete even if a reset cut it off.
				this.isConfirming = true;
				void this.boundary.runAsync('answer', async () => this.confirmEnd());
			} else {
				this.fail('answer_cut');
			}
		}));
		res.on('error', this.boundary.wrap('answer', (err: NodeJS.ErrnoException) => {
			this.fail(err.code ?? err.message);
		}));
		res.on('close', this.boundary.wrap('answer', () => {
			if (!this.isConfirming) {
				this.fail('answer_cut');
			}
		}));
	}

	/**
	 * Takes the end of the connection for the end of the response if the upstream still accepts connections. The system closes the
	 * connections of a process that crashed in the same order, but then nobody listens any more.
	 */
	private async confirmEnd(): Promise<void> {
		if (await probeConnection(this.address) === 'accepts') {
			this.end();
		} else {
			this.fail('answer_cut');
		}
	}

	private end(): void {
		if (!this.isFinished) {
			this.isComplete = true;
			this.finish();
			this.events.onEnd();
		}
	}

	private fail(reason: string): void {
		if (!this.isFinished) {
			this.finish();
			this.events.onError(reason, this.isConnected);
		}
	}

	private finish(): void {
		this.isFinished = true;
		this.connectTimeout.clear();
		if (this.hasWritten && !this.isComplete) {
			// A reset drops what the connection still holds. After a normal close, the system would go on delivering it, and a call that waits
			// on a busy link would begin after it was given up.
			this.req.socket?.resetAndDestroy();
		}

		this.req.destroy();
	}
}

/** Returns whether a response shows where its body ends, other than by the end of its connection. */
function marksEnd(method: string, {statusCode, headers}: http.IncomingMessage): boolean {
	return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
		|| method === 'HEAD' || statusCode === noContentStatus || statusCode === notModifiedStatus;
}
