/**
 * The client side of all links: HTTP and JSON-RPC 2.0 to peers, upstreams and the platform.
 *
 * Nothing here repeats a request. Only the caller of this module knows whether a repeat is safe.
 */
import {Buffer} from 'node:buffer';
import type {Readable} from 'node:stream';
import {createJSONRPCRequest, type JSONRPCResponse} from 'json-rpc-2.0';
import {
	Agent, DecoratorHandler, type Dispatcher, request,
} from 'undici';
import VError from 'verror';
import type {ZodType} from 'zod';
import {rpcPath} from './rpc-dispatcher.ts';

/** How long to wait for a TCP connection, in milliseconds. */
export const connectTimeoutMs = 1000;

/** How many connections one peer may hold open. */
const connectionsPerPeer = 64;

/** The timers of undici count in steps of about half a second and may fire early by one, in milliseconds. */
const timerSlackMs = 1000;

/** How long an answered body may take to run out, in milliseconds. */
const runOutMs = 1000;

/** How a request may take place. */
export type PeerRequestOptions = {
	/** Time until the whole answer is read, in milliseconds. */
	readonly timeoutMs: number;
	/** Longest pause between two pieces of the answer's body, in milliseconds; none when absent. */
	readonly bodyIdleTimeoutMs?: number;
	/** Is called right before the first byte leaves; when it throws, nothing is sent. */
	readonly beforeSend?: () => void;
	/** Opens a connection of its own, for when an open one may have gone silent. */
	readonly freshConnection?: boolean;
	/** Cancels the request. */
	readonly signal?: AbortSignal;
};

/** An answer whose body is still to be read. */
export type PeerResponse = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly body: Readable;
};

/** Reports that a request failed; `sent` is false only when it certainly never left this process. */
export class PeerRequestError extends VError {
	readonly sent: boolean;

	/**
	 * @param cause - what went wrong
	 * @param sent - whether the peer may have received the request
	 * @param message - the context
	 */
	constructor(cause: Error, sent: boolean, message: string) {
		super(cause, '%s', message);
		this.sent = sent;
	}
}

/** Sends requests to other processes. */
export class PeerClient {
	private readonly pools = new Map<string, TrackedPool>();
	private readonly retired = new Set<Agent>();

	/**
	 * Calls a JSON-RPC method of a peer.
	 *
	 * @param address - the peer's control listener, `host:port`
	 * @param call - the method and its parameters
	 * @param schema - checks the result
	 * @param options - limits of this call
	 * @throws PeerRequestError when there is no answer in time
	 */
	async rpc<Result>(address: string, call: {method: string; params: unknown}, schema: ZodType<Result>, options: PeerRequestOptions): Promise<Result> {
		const body = JSON.stringify(createJSONRPCRequest(1, call.method, call.params));
		const answer = await this.json(`http://${address}${rpcPath}`, {method: 'POST', body}, options) as JSONRPCResponse;
		if (answer.error) {
			throw new VError('%s at %s: %s', call.method, address, answer.error.message);
		}

		return schema.parse(answer.result);
	}

	/**
	 * Sends a request and reads its JSON answer.
	 *
	 * @param url - the whole URL
	 * @param req - method and body
	 * @param options - limits of this call
	 * @throws PeerRequestError when there is no answer in time or its status is not in 200 to 299
	 */
	async json(url: string, req: {method: Dispatcher.HttpMethod; body?: string}, options: PeerRequestOptions): Promise<unknown> {
		const signal = deadlineSignal(options);
		const res = await this.send(url, req, {...options, signal});
		try {
			const text = await readText(res.body);
			if (res.status < 200 || res.status > 299) {
				throw new VError('status %d: %s', res.status, text.slice(0, 200));
			}

			return text === '' ? null : JSON.parse(text);
		} catch (err) {
			throw new PeerRequestError(err as Error, true, `${req.method} ${url}`);
		}
	}

	/**
	 * Sends a request and returns as soon as the headers are there; the body must be read or destroyed.
	 *
	 * @param url - the whole URL
	 * @param req - method and body
	 * @param options - `timeoutMs` bounds the time to the headers, `signal` the whole exchange
	 * @throws PeerRequestError when no headers come in time
	 */
	async send(url: string, req: {method: Dispatcher.HttpMethod; body?: string | Buffer}, options: PeerRequestOptions): Promise<PeerResponse> {
		const {pool, tracked} = options.freshConnection ? createPool() : this.poolOf(url);
		let sent = false;
		const onStart = (): void => {
			options.beforeSend?.();
			sent = true;
		};

		try {
			const res = await request(url, {
				...({onStart} satisfies TrackedOptions),
				method: req.method,
				body: req.body,
				headers: req.body === undefined ? {} : {'content-type': 'application/json'},
				dispatcher: tracked,
				signal: options.signal,
				headersTimeout: options.timeoutMs + timerSlackMs,
				bodyTimeout: options.bodyIdleTimeoutMs ?? 0,
			});
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

	/**
	 * Leaves the open connections to a peer to their present requests and opens new ones for all others.
	 *
	 * When one connection has gone silent, others on the same path usually have too, and each would cost a progress deadline.
	 *
	 * @param address - the peer's control listener, `host:port`
	 */
	replaceConnections(address: string): void {
		const origin = `http://${address}`;
		const old = this.pools.get(origin);
		if (old) {
			this.pools.delete(origin);
			void this.retire(old.pool);
		}
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		const pools = [...this.pools.values()].map(({pool}) => pool);
		await Promise.all([...pools, ...this.retired].map(async pool => pool.destroy()));
	}

	private async retire(pool: Agent): Promise<void> {
		this.retired.add(pool);
		try {
			await pool.close();
		} catch {
			// The client was closed meanwhile, and all its connections with it.
		}

		this.retired.delete(pool);
	}

	private poolOf(url: string): TrackedPool {
		const {origin} = new URL(url);
		let entry = this.pools.get(origin);
		if (!entry) {
			entry = createPool();
			this.pools.set(origin, entry);
		}

		return entry;
	}
}

/**
 * Reads a body as text.
 *
 * @param body - the stream
 */
export async function readText(body: Readable): Promise<string> {
	const bytes = await readBytes(body);
	return bytes.toString('utf8');
}

/**
 * Reads a body as bytes.
 *
 * @param body - the stream
 */
export async function readBytes(body: Readable): Promise<Buffer> {
	const parts: Buffer[] = [];
	for await (const part of body) {
		parts.push(part as Buffer);
	}

	return Buffer.concat(parts);
}

/**
 * Ends the use of a body.
 *
 * Destroying a body closes its connection; a new one for each call cost about half of an entry's processor time.
 *
 * @param body - the stream
 * @param isWhole - whether all that matters was read; the rest then runs out, for 1 s at most, and the connection is reused
 */
export function releaseBody(body: Readable, isWhole: boolean): void {
	if (!isWhole || body.destroyed) {
		body.destroy();
		return;
	}

	const timer = setTimeout(() => {
		body.destroy();
	}, runOutMs);
	body.once('close', () => {
		clearTimeout(timer);
	});
	// An error after the whole answer concerns the connection only.
	body.on('error', () => undefined);
	body.resume();
}

type TrackedOptions = {readonly onStart: () => void};

/** Tells when a request starts to be written; error codes cannot, since an open connection may fail with the same ones. */
class StartHandler extends DecoratorHandler {
	constructor(handler: Dispatcher.DispatchHandler, private readonly onStart: () => void) {
		super(handler);
	}

	onRequestStart(...args: Parameters<NonNullable<Dispatcher.DispatchHandler['onRequestStart']>>): void {
		this.onStart();
		(DecoratorHandler.prototype as Dispatcher.DispatchHandler).onRequestStart?.apply(this, args);
	}
}

type TrackedPool = {readonly pool: Agent; readonly tracked: Dispatcher};

function createPool(): TrackedPool {
	const pool = new Agent({
		connections: connectionsPerPeer, pipelining: 1, connect: {timeout: connectTimeoutMs}, keepAliveTimeout: 30_000,
	});
	const tracked = pool.compose(dispatch => (options, handler) => dispatch(options, new StartHandler(handler, (options as unknown as TrackedOptions).onStart)));
	return {pool, tracked};
}

function deadlineSignal(options: PeerRequestOptions): AbortSignal {
	const timeout = AbortSignal.timeout(options.timeoutMs);
	return options.signal ? AbortSignal.any([options.signal, timeout]) : timeout;
}
