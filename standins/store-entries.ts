/** The entries that a stand-in for the platform's store publishes for the routes and workers of a soak, in the platform's format. */
import {headerNames, storeKeys} from '../platform/wire-names.ts';
import type {WatchedStore} from './watched-store.ts';

/** Timeout of each route, in milliseconds. */
export const callTimeoutMs = 4000;

/** Kinds of routes by the name that callers use in their target. */
const routes = [
	{
		name: 'stream', kind: 'stream', service: 'models', attempts: 3, resumable: true,
	},
	{
		name: 'once', kind: 'non_idempotent', service: 'desk', attempts: 1,
	},
	{
		name: 'repeatable', kind: 'idempotent', service: 'desk', attempts: 3,
	},
];

/** Publishes a configuration in which the callers' key belongs to the holder `c` and the version. */
export function publishConfiguration(store: WatchedStore, version: number): void {
	store.put(storeKeys.configuration, {
		version,
		routes: routes.map(route => ({
			...route, host: 'a.example', prefix: `/${route.name}/`, timeout_ms: callTimeoutMs, goal_ms: 1000,
		})),
		services: [
			{name: 'desk', max_conns: 500},
			{
				name: 'models', max_conns: 500, engine: {
					slots: 32, step_ms: 1, read_per_s: 100_000, layers: 16, models: [{name: 'm'}],
				},
			},
		],
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
		},
		tenants: [{name: `c${version}`, api_keys: ['k1']}],
	});
}

/** What an entry says of a worker; a worker without a version is a plain service. */
export type WorkerEntry = {readonly address: string; readonly version: number | undefined; readonly state: 'ready' | 'draining'; readonly startNumber: number};

/** Publishes the entry of a worker. */
export function publishWorker(store: WatchedStore, instance: string, {address, version, state, startNumber}: WorkerEntry): void {
	const isEngine = version !== undefined;
	store.put(`${storeKeys.instances}${instance}`, {
		service: isEngine ? 'models' : 'desk', address, zone: 'z', slots: 32, state, born: startNumber, ...(isEngine ? {models: [{name: 'm', version}], layers: {from: 0, to: 16}} : {}),
	});
}

/** Removes the entry of a worker. */
export function removeWorker(store: WatchedStore, instance: string): void {
	store.remove(`${storeKeys.instances}${instance}`);
}

/** Returns the headers of a caller's call. */
export function callHeaders(id: string, isStream: boolean): Record<string, string> {
	return {
		host: 'a.example', [headerNames.attemptId]: id, 'api-key': 'k1', 'deadline-ms': String(callTimeoutMs), ...(isStream ? {model: 'm', [headerNames.tokenUsage]: '100,50'} : {}),
	};
}
