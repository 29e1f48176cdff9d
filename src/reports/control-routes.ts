/** The HTTP routes of every control listener: JSON-RPC, state dump, metrics, health and readiness. */
import {type HttpRoutes, sendJson} from '../links/http-listener.ts';
import {type RpcDispatcher, rpcPath} from '../links/rpc-dispatcher.ts';
import type {Metrics} from './metrics.ts';

/** Sources of what the routes respond with. */
export type ControlRoutesOptions = {
	readonly rpc: RpcDispatcher;
	readonly metrics: Metrics;
	/** Returns the state of the process, which `GET /dump` sends as JSON. */
	readonly dump: () => Record<string, unknown>;
	/** Returns whether the process accepts new work. */
	readonly isReady: () => boolean;
};

/** Creates the routes of a control listener. */
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

/** Returns the parts selected by `/dump?part=A&part=B`, or the whole state without `part`. In a large fleet, the members make up most of a dump. */
function selectParts(dump: Record<string, unknown>, url: string): Record<string, unknown> {
	const parts = new URL(url, 'http://localhost').searchParams.getAll('part');
	return parts.length === 0 ? dump : Object.fromEntries(parts.map(part => [part, dump[part]]));
}
