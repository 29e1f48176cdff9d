/**
 * HTTP and JSON-RPC 2.0 client for requests to peers, upstreams and the platform.
 *
 * It never retries a request, because only the code that sends the request knows whether a retry is safe.
 */
import type {Buffer} from 'node:buffer';
import type net from 'node:net';
import type {Readable} from 'node:stream';
import {createJSONRPCRequest, type JSONRPCResponse} from 'json-rpc-2.0';
import {
	type Agent, type Dispatcher, request,
} from 'undici';
import VError from 'verror';
import type {ZodType} from 'zod';
import {setInputTimeout} from '../runtime/input-timeout.ts';
import {type ListeningClock, monotonicClock} from '../runtime/pause-detector.ts';
import {ByteCollector} from './byte-collector.ts';
import {createPool, type StartCallbackOptions, type TrackedPool} from './connection-pool.ts';
import {isFinalStatus} from './http-syntax.ts';
import {RequestDeadline} from './request-deadline.ts';
import {rpcPath} from './rpc-dispatcher.ts';

/** How long connections to an origin are kept after the last request to it, and the interval of the checks, in milliseconds. A process exchanges with each of hundreds of peers now and then. */
const unusedPool = {maxAgeMs: 15_000, checkIntervalMs: 5000};

/** How long the unread rest of a response body may take to drain before its connection is closed, in milliseconds. */
const maxBodyDrainMs = 1000;

/** Size limit of a response body, in bytes: several of the largest documents that the platform publishes. */
const defaultMaxBodyBytes = 8_388_608;

/** Time limits and other options of a request. */
export type PeerRequestOptions = {
	/**
	 * Time limit for the response, in milliseconds. Covers the body in `rpc`, `json` and `bytes`, only the headers in `send`. A pause of this
	 * process does not count, except that a request is not sent after its time: its receiver may rely on that for the age of what it says.
	 */
	readonly timeoutMs: number;
	/** Size limit of the body in `rpc`, `json` and `bytes`, in bytes; {@link defaultMaxBodyBytes} if absent. */
	readonly maxBytes?: number;
	/** Maximum time between two chunks of the response body, in milliseconds; unlimited if absent. */
	readonly bodyIdleTimeoutMs?: number;
	/** Called right before the first byte is written. If it throws, nothing is sent. */
	readonly beforeSend?: () => void;
	/** Whether to open a new connection for this request, because a pooled one may be dead without having been closed. */
	readonly freshConnection?: boolean;
	/** Aborts the request. */
	readonly signal?: AbortSignal;
	/** With `freshConnection`, in `bytes` and `json`: resets the connection when the time is over, so that what it still holds is lost. */
	readonly resetOnTimeout?: boolean;
	/** Called with the new connection of a request with `freshConnection`. */
	readonly onConnected?: (socket: net.Socket) => void;
};

/** A response whose body has not been read yet. */
export type PeerResponse = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly body: Readable;
};

/** Thrown when a request fails. `sent` is false only if the request certainly never left this process. */
export class PeerRequestError extends VError {
	readonly sent: boolean;

	/**
	 * @param sent - whether the peer may have received the request
	 * @param message - the request that failed; prepended to the message of `cause`
	 */
	constructor(cause: Error, sent: boolean, message: string) {
		super(cause, '%s', message);
		this.sent = sent;
	}
}

/** Sends requests to other processes, with one connection pool per origin. */
export class PeerClient {
	private readonly pools = new Map<string, TrackedPool>();
	private readonly retiredPools = new Set<Agent>();
	private lastCheckMs = performance.now();

	/** @param clock - tells for how long this process could hear responses; without it, pauses count as such time */
	constructor(private readonly clock: ListeningClock = monotonicClock) {}

	/** Number of origins to which connections may be open. */
	get poolCount(): number {
		return this.pools.size;
	}

	/**
	 * Calls a JSON-RPC method of a peer.
	 *
	 * @param address - address of the peer's control listener, `host:port`
	 * @param call - the method and its parameters
	 * @param schema - validates the result
	 * @throws PeerRequestError when no valid JSON response arrives in time
	 * @throws VError when the peer responds with a JSON-RPC error
	 */
	async rpc<Result>(address: string, call: {method: string; params: unknown}, schema: ZodType<Result>, options: PeerRequestOptions): Promise<Result> {
		const body = JSON.stringify(createJSONRPCRequest(1, call.method, call.params));
		const response = await this.json(`http://${address}${rpcPath}`, {method: 'POST', body}, options) as JSONRPCResponse;
		if (response.error) {
			throw new VError('%s at %s: %s', call.method, address, response.error.message);
		}

		return schema.parse(response.result);
	}

	/**
	 * Sends a request and parses the JSON response; an empty body is parsed as null.
	 *
	 * @param url - the absolute URL
	 * @param req - method and body
	 * @throws PeerRequestError when no valid JSON response arrives in time or the status is not 2xx
	 */
	async json(url: string, req: {method: Dispatcher.HttpMethod; body?: string}, options: PeerRequestOptions): Promise<unknown> {
		const {status, bytes} = await this.bytes(url, req, options);
		const text = bytes.toString('utf8');
		try {
			if (status < 200 || status > 299) {
				throw new VError('status %d: %s', status, text.slice(0, 200));
			}

			return text === '' ? null : JSON.parse(text);
		} catch (err) {
			throw new PeerRequestError(err as Error, true, `${req.method} ${url}`);
		}
	}

	/**
	 * Sends a request and reads the whole response.
	 *
	 * @param url - the absolute URL
	 * @param req - method and body
	 * @throws PeerRequestError when the response does not arrive completely in time or is too large
	 */
	async bytes(url: string, req: {method: Dispatcher.HttpMethod; body?: string | Buffer}, options: PeerRequestOptions): Promise<{status: number; headers: PeerResponse['headers']; bytes: Buffer}> {
		let socket: net.Socket | undefined;
		const deadline = new RequestDeadline(this.clock, options, () => {
			if (options.resetOnTimeout) {
				socket?.resetAndDestroy();
			}
		});
		deadline.start();
		try {
			const res = await this.request(url, req, {
				...options, signal: deadline.signal, onConnected(connected) {
					socket = connected;
				},
			});
			return {status: res.status, headers: res.headers, bytes: await readBytes(res.body, options.maxBytes)};
		} catch (err) {
			throw err instanceof PeerRequestError ? err : new PeerRequestError(err as Error, true, `${req.method} ${url}`);
		} finally {
			deadline.clear();
		}
	}

	/**
	 * Sends a request and returns when the response headers arrive. The body must be read or destroyed.
	 *
	 * @param url - the absolute URL
	 * @param req - method and body
	 * @param options - `timeoutMs` limits the time from the first byte of the request to the response headers; `signal` aborts the whole exchange
	 * @throws PeerRequestError when no headers arrive in time
	 */
	async send(url: string, req: {method: Dispatcher.HttpMethod; body?: string | Buffer}, options: PeerRequestOptions): Promise<PeerResponse> {
		const deadline = new RequestDeadline(this.clock, options);
		try {
			return await this.request(url, req, {
				...options, signal: deadline.signal, beforeSend() {
					options.beforeSend?.();
					deadline.start();
				},
			});
		} finally {
			deadline.clear();
		}
	}

	/**
	 * Replaces the connection pool of a peer: open requests finish on their connections, and later requests open new ones.
	 *
	 * If one connection is dead without having been closed, others on the same network path usually are too, and a request on each of
	 * them would have to wait for its progress timeout.
	 *
	 * @param address - address of the peer's control listener, `host:port`
	 */
	replaceConnections(address: string): void {
		const origin = `http://${address}`;
		const old = this.pools.get(origin);
		if (old) {
			this.pools.delete(origin);
			void this.retire(old.pool);
		}
	}

	/** Closes all connections and aborts open requests. */
	async close(): Promise<void> {
		const pools = [...this.pools.values()].map(({pool}) => pool);
		await Promise.all([...pools, ...this.retiredPools].map(async pool => pool.destroy()));
	}

	/** Sends a request and waits for the response headers without a time limit. */
	private async request(url: string, req: {method: Dispatcher.HttpMethod; body?: string | Buffer}, options: PeerRequestOptions): Promise<PeerResponse> {
		const {pool, trackedDispatcher} = options.freshConnection ? createPool(options.onConnected) : this.getPool(url);
		const startedAtMs = performance.now();
		let sent = false;
		const onStart = (): void => {
			if (performance.now() - startedAtMs > options.timeoutMs) {
				throw new VError('not sent within %d ms', options.timeoutMs);
			}

			options.beforeSend?.();
			sent = true;
		};

		try {
			const res = await request(url, {
				...({onStart} satisfies StartCallbackOptions),
				method: req.method,
				body: req.body,
				headers: req.body === undefined ? {} : {'content-type': 'application/json'},
				dispatcher: trackedDispatcher,
				signal: options.signal,
				// The timers of undici do not read what has arrived before they end a wait.
				headersTimeout: 0,
				bodyTimeout: options.bodyIdleTimeoutMs ?? 0,
			});
			if (!isFinalStatus(res.statusCode)) {
				res.body.on('error', () => undefined).destroy();
				throw new VError('response with the invalid status %d', res.statusCode);
			}

			if (options.freshConnection) {
				res.body.once('close', () => {
					void pool.destroy();
				});
			}

			return {status: res.statusCode, headers: res.headers, body: res.body};
		} catch (err) {
			if (options.freshConnection) {
				void pool.destroy();
			}

			throw new PeerRequestError(err as Error, sent, `${req.method} ${url}`);
		}
	}

	private async retire(pool: Agent): Promise<void> {
		this.retiredPools.add(pool);
		try {
			await pool.close();
		} catch {
			// `close` has destroyed the pool in the meantime.
		}

		this.retiredPools.delete(pool);
	}

	private getPool(url: string): TrackedPool {
		const {origin} = new URL(url);
		this.retireUnusedPools();
		let entry = this.pools.get(origin);
		if (!entry) {
			entry = createPool();
			this.pools.set(origin, entry);
		}

		entry.lastUsedMs = performance.now();
		return entry;
	}

	private retireUnusedPools(): void {
		const nowMs = performance.now();
		if (nowMs - this.lastCheckMs < unusedPool.checkIntervalMs) {
			return;
		}

		this.lastCheckMs = nowMs;
		for (const [origin, {pool, lastUsedMs}] of this.pools) {
			if (nowMs - lastUsedMs >= unusedPool.maxAgeMs) {
				this.pools.delete(origin);
				void this.retire(pool);
			}
		}
	}
}

/** Thrown when a response body exceeds its size limit. */
export class BodyTooLargeError extends VError {}

/** Reads a body as UTF-8 text; see {@link readBytes}. */
export async function readText(body: Readable, maxBytes?: number): Promise<string> {
	const bytes = await readBytes(body, maxBytes);
	return bytes.toString('utf8');
}

/**
 * Reads a body as bytes.
 *
 * @param maxBytes - the size limit; the body of a server in trouble may have no end
 * @throws BodyTooLargeError when the body exceeds the limit; its connection is closed
 */
export async function readBytes(body: Readable, maxBytes = defaultMaxBodyBytes): Promise<Buffer> {
	const bytes = new ByteCollector();
	for await (const part of body) {
		if (bytes.length + (part as Buffer).length > maxBytes) {
			throw new BodyTooLargeError('response body is larger than %d bytes', maxBytes);
		}

		bytes.push(part as Buffer);
	}

	return bytes.take();
}

/**
 * Releases a response body.
 *
 * Destroying a body closes its connection. Opening a new connection for each call took about half of an entry's CPU time.
 *
 * @param isComplete - whether all needed data has been read; if so, the rest is drained for up to 1 s, so that the connection can be reused
 */
export function releaseBody(body: Readable, isComplete: boolean): void {
	if (!isComplete || body.destroyed) {
		body.destroy();
		return;
	}

	const timeout = setInputTimeout(() => {
		body.destroy();
	}, maxBodyDrainMs);
	body.once('close', timeout.clear);
	// All needed data has been read, so that a later error affects only the connection.
	body.on('error', () => undefined);
	body.resume();
}
