/** What a gateway process of a test is given, and the log lines that it has written. */
import type {Started} from './processes.ts';

/** A log line. */
export type ObservedLine = Readonly<Record<string, unknown>> & {readonly event: string; readonly id?: string};

const routeOf = (name: string, prefix: string, kind: string, service: string, more: Record<string, unknown> = {}) => ({
	name, host: 'a.example', prefix, kind, timeout_ms: 6000, goal_ms: 2000, service, ...more,
});

/** A configuration with a resumable stream, calls that run once, and services of which one is away. */
export const observedConfiguration = {
	version: 1,
	routes: [
		routeOf('s', '/s/', 'stream', 'models', {attempts: 2, resumable: true}),
		routeOf('p', '/p/', 'non_idempotent', 'desk'),
		routeOf('q', '/q/', 'non_idempotent', 'quiet'),
		routeOf('a', '/a/', 'idempotent', 'away', {attempts: 2}),
	],
	services: [
		{
			name: 'models', max_conns: 500, engine: {
				slots: 16, step_ms: 1, read_per_s: 100_000, layers: 16, models: [{name: 'm'}],
			},
		},
		...['desk', 'quiet', 'away'].map(name => ({name, max_conns: 500})),
	],
	limits: {
		max_header_bytes: 16_384, max_body_bytes: 10_000, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
	},
	tenants: [{name: 'w1', api_keys: ['k1']}],
};

/** Returns the entry of an engine that holds version 1 of the model. */
export function observedEngine(address: string): Record<string, unknown> {
	return {
		service: 'models', address, zone: 'z', slots: 16, state: 'ready', born: 1, models: [{name: 'm', version: 1}], layers: {from: 0, to: 16},
	};
}

/** Returns the entry of an instance of a plain service. */
export function observedPlain(service: string, address: string): Record<string, unknown> {
	return {
		service, address, zone: 'z', slots: 16, state: 'ready', born: 1,
	};
}

/** Returns the whole lines that a process has written so far. */
export function readLines({out}: Started): ObservedLine[] {
	return out().split('\n').slice(0, -1).filter(text => text.startsWith('{')).map(text => JSON.parse(text) as ObservedLine);
}
