/**
 * Sends one call to one upstream on a connection of its own and reports what comes back.
 *
 * A connection that served another call before may have gone silent, or may still carry a late answer to that call;
 * a new one costs a round trip and no doubt.
 */
import type {Buffer} from 'node:buffer';
import http from 'node:http';
import net from 'node:net';

/** How long a connection may take to be established, in milliseconds. */
const connectTimeoutMs = 300;

/** What is sent. */
export type ExchangeRequest = {
	readonly host: string;
	readonly port: number;
	readonly method: string;
	readonly target: string;
	/** Name and value in turn. */
	readonly headers: readonly string[];
	readonly body: Buffer | undefined;
};

/** What comes back; exactly one of `onEnd` and `onFail` is called, unless the exchange is aborted. */
export type ExchangeEvents = {
	readonly onHeaders: (status: number, rawHeaders: readonly string[]) => void;
	readonly onData: (chunk: Buffer) => void;
	/** The body is whole. */
	readonly onEnd: () => void;
	/** @param wasConnected - false only when the call certainly never reached the upstream */
	readonly onError: (reason: string, wasConnected: boolean) => void;
};

const agent = new http.Agent({keepAlive: false, noDelay: true, maxSockets: Number.POSITIVE_INFINITY});

/** One call at one upstream. */
export class UpstreamExchange {
	private readonly req: http.ClientRequest;
	private readonly connectTimer: NodeJS.Timeout;
	private isConnected = false;
	private isFinished = false;
	/** Whether the upstream closed the connection in order, rather than by a reset. */
	private hasReceivedFin = false;

	/**
	 * @param request - what is sent
	 * @param events - receives what comes back
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

	/** Ends the exchange; nothing is reported afterwards. */
	abort(): void {
		this.finish();
	}

	private watchSocket(socket: net.Socket): void {
		socket.once('connect', () => {
			this.isConnected = true;
			clearTimeout(this.connectTimer);
		});
		socket.once('end', () => {
			this.hasReceivedFin = true;
		});
	}

	private handleResponse(res: http.IncomingMessage): void {
		if (this.isFinished) {
			return;
		}

		this.events.onHeaders(res.statusCode ?? 0, res.rawHeaders);
		res.on('data', (chunk: Buffer) => {
			if (!this.isFinished) {
				this.events.onData(chunk);
			}
		});
		res.on('end', () => {
			// An answer without a length counts as complete to the parser also when a reset ended it.
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

/**
 * Tells whether an upstream accepts connections.
 *
 * @param host - its address
 * @param port - its port
 */
export async function acceptsConnections(host: string, port: number): Promise<boolean> {
	return new Promise(resolve => {
		const socket = net.connect({host, port});
		const finish = (accepts: boolean) => {
			socket.destroy();
			resolve(accepts);
		};

		socket.setTimeout(connectTimeoutMs, () => {
			finish(false);
		});
		socket.once('connect', () => {
			finish(true);
		});
		socket.once('error', () => {
			finish(false);
		});
	});
}
