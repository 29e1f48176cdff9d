/**
 * Sends one HTTP request to one upstream on a new connection and reports the response.
 *
 * A reused connection may be dead without notice, or may still carry a late response to an earlier call;
 * a new connection costs one round trip and rules out both.
 */
import type {Buffer} from 'node:buffer';
import http from 'node:http';
import net from 'node:net';
import {parseAddress} from '../links/http-listener.ts';

/** Timeout for establishing a connection, in milliseconds. */
const connectTimeoutMs = 300;

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

/** Callbacks for the response; exactly one of `onEnd` and `onError` is called, unless the exchange is aborted. */
export type ExchangeEvents = {
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
	/** Whether a connection has been established; nothing is sent before. */
	isConnected = false;
	private readonly req: http.ClientRequest;
	private readonly connectTimer: NodeJS.Timeout;
	private res: http.IncomingMessage | undefined;
	private isFinished = false;
	/** Whether the upstream closed the connection with a FIN rather than a reset. */
	private hasReceivedFin = false;

	/**
	 * @param request - the request to send
	 * @param events - callbacks for the response
	 */
	constructor(request: ExchangeRequest, private readonly events: ExchangeEvents) {
		const {host, port, method, target, headers, body} = request;
		this.req = http.request({
			host, port, method, path: target, headers, agent,
		});
		this.connectTimer = setTimeout(() => {
			this.fail('connect_timeout');
		}, connectTimeoutMs);
		this.req.on('socket', socket => {
			this.watchSocket(socket);
		});
		this.req.on('response', res => {
			this.handleResponse(res);
		});
		this.req.on('error', (err: NodeJS.ErrnoException) => {
			this.fail(err.code ?? err.message);
		});
		this.req.end(body);
	}

	/** Aborts the exchange; no callback is called afterwards. */
	abort(): void {
		this.finish();
	}

	/** Stops reading the response body until {@link resume}. */
	pause(): void {
		this.res?.pause();
	}

	/** Continues to read the response body. */
	resume(): void {
		this.res?.resume();
	}

	private watchSocket(socket: net.Socket): void {
		socket.once('connect', () => {
			this.isConnected = true;
			clearTimeout(this.connectTimer);
		});
		socket.prependOnceListener('end', () => {
			// The event loop also reports a reset as an end if data was read just before. The socket has no peer then.
			this.hasReceivedFin = socket.remoteAddress !== undefined;
		});
	}

	private handleResponse(res: http.IncomingMessage): void {
		if (this.isFinished) {
			return;
		}

		this.res = res;
		this.events.onHeaders(res.statusCode ?? 0, res.rawHeaders);
		res.on('data', (chunk: Buffer) => {
			if (!this.isFinished) {
				this.events.onData(chunk);
			}
		});
		res.on('end', () => {
			// The parser reports an unframed response as complete even if a reset cut it off.
			const isFramed = res.headers['content-length'] !== undefined || res.headers['transfer-encoding'] !== undefined;
			if (res.complete && (isFramed || this.hasReceivedFin)) {
				this.end();
			} else {
				this.fail('answer_cut');
			}
		});
		res.on('error', (err: NodeJS.ErrnoException) => {
			this.fail(err.code ?? err.message);
		});
		res.on('close', () => {
			this.fail('answer_cut');
		});
	}

	private end(): void {
		if (!this.isFinished) {
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
		clearTimeout(this.connectTimer);
		this.req.destroy();
	}
}

/** What an upstream does with a new TCP connection; `silent` if it does not react in time. */
export type ConnectionProbe = 'accepts' | 'refuses' | 'silent';

/**
 * Opens a TCP connection to an upstream and closes it.
 *
 * @param address - IP address and TCP port of the upstream
 */
export async function probeConnection(address: string): Promise<ConnectionProbe> {
	const {host, port} = parseAddress(address);
	return new Promise(resolve => {
		const socket = net.connect({host, port});
		const finish = (probe: ConnectionProbe) => {
			socket.destroy();
			resolve(probe);
		};

		socket.setTimeout(connectTimeoutMs, () => {
			finish('silent');
		});
		socket.once('connect', () => {
			finish('accepts');
		});
		socket.once('error', (err: NodeJS.ErrnoException) => {
			finish(err.code === 'ECONNREFUSED' ? 'refuses' : 'silent');
		});
	});
}
