/** Connection pools of the HTTP client, which tell when a connection is new and when a request is written. */
import type net from 'node:net';
import {
	Agent, buildConnector, DecoratorHandler, type Dispatcher,
} from 'undici';

/** Timeout for establishing a TCP connection, in milliseconds. */
export const connectTimeoutMs = 1000;

/** Maximum number of pooled connections to one origin. */
const maxConnectionsPerOrigin = 64;

/** Dispatch options with a callback for the start of the request. */
export type StartCallbackOptions = {readonly onStart: () => void};

/**
 * Calls `onStart` when a request starts to be written. Error codes do not tell whether that has happened: a request that was already written
 * may fail with the same ones.
 */
class StartHandler extends DecoratorHandler {
	constructor(handler: Dispatcher.DispatchHandler, private readonly onStart: () => void) {
		super(handler);
	}

	onRequestStart(...args: Parameters<NonNullable<Dispatcher.DispatchHandler['onRequestStart']>>): void {
		this.onStart();
		(DecoratorHandler.prototype as Dispatcher.DispatchHandler).onRequestStart?.apply(this, args);
	}
}

/** A connection pool, and a dispatcher on it that calls `onStart` of each request. */
export type TrackedPool = {readonly pool: Agent; readonly trackedDispatcher: Dispatcher; lastUsedMs: number};

const connectTo = buildConnector({timeout: connectTimeoutMs});

/**
 * Creates a pool for the connections to one origin.
 *
 * @param onConnected - called with each new connection
 */
export function createPool(onConnected?: (socket: net.Socket) => void): TrackedPool {
	const pool = new Agent({
		connections: maxConnectionsPerOrigin,
		pipelining: 1,
		keepAliveTimeout: 30_000,
		connect(options, callback) {
			connectTo(options, (...result) => {
				if (result[1]) {
					onConnected?.(result[1]);
				}

				callback(...result);
			});
		},
	});
	const trackedDispatcher = pool.compose(dispatch => (options, handler) => dispatch(options, new StartHandler(handler, (options as unknown as StartCallbackOptions).onStart)));
	return {pool, trackedDispatcher, lastUsedMs: performance.now()};
}
