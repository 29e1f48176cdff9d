/** The routes that every control listener has: JSON-RPC, state dump, metrics, health and readiness. */
import {type HttpRoutes, sendJson} from '../links/http-listener.ts';
import {type RpcDispatcher, rpcPath} from '../links/rpc-dispatcher.ts';
import type {Metrics} from './metrics.ts';

/** What the routes report. */
export type ControlRoutesOptions = {
	readonly rpc: RpcDispatcher;
	readonly metrics: Metrics;
	/** Returns the process's state as JSON. */
	readonly dump: () => Record<string, unknown>;
	/** Whether the process takes new work. */
	readonly isReady: () => boolean;
};

/**
 * Creates the routes.
 *
 * @param options - what the routes report
 */
export function createControlRoutes(options: ControlRoutesOptions): HttpRoutes {
	return {
		[`POST ${rpcPath}`]: options.rpc.handle,
		'GET /dump'(req, res) {
			sendJson(res, 200, selectParts(options.dump(), req.url ?? ''));
		},
		async 'GET /metrics'(req, res) {
			const text = await options.metrics.text();
			res.writeHead(200, {'content-type': options.metrics.contentType});
			res.end(text);
		},
		'GET /healthz'(req, res) {
			sendJson(res, 200, {healthy: true});
		},
		'GET /readyz'(req, res) {
			const ready = options.isReady();
			sendJson(res, ready ? 200 : 503, {ready});
		},
	};
}

/** Returns the parts that `/dump?part=A&part=B` names, or the whole state; a large fleet's members are most of a dump. */
function selectParts(dump: Record<string, unknown>, url: string): Record<string, unknown> {
	const parts = new URL(url, 'http://localhost').searchParams.getAll('part');
	return parts.length === 0 ? dump : Object.fromEntries(parts.map(part => [part, dump[part]]));
}
