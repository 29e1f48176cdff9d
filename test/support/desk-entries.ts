/** The entries of a store that publishes one plain service, in the platform's format. */

/** A configuration with one route, whose calls may be repeated once, to the service `desk`. */
export const deskConfiguration = {
	version: 1,
	routes: [{
		name: 'r', host: 'a.example', prefix: '/p/', kind: 'idempotent', timeout_ms: 900, service: 'desk', attempts: 2,
	}],
	services: [{name: 'desk', max_conns: 50}],
	limits: {
		max_header_bytes: 16_384, max_body_bytes: 10_000, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
	},
	tenants: [{name: 't', api_keys: ['k1']}],
};

/** Returns the entry of an instance of the service. */
export function deskEntry(address: string, state: 'ready' | 'draining' = 'ready'): Record<string, unknown> {
	return {
		service: 'desk', address, zone: 'z', slots: 50, state, born: 1,
	};
}
