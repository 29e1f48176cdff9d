/** A store whose configuration has one plain service, and workers of that service that answer with the length of a body. */
import http from 'node:http';
import path from 'node:path';
import {DirectoryStore} from './directory-store.ts';
import {waitFor} from './fleet.ts';
import type {Processes} from './processes.ts';

/**
 * Starts a store and two workers of its service.
 *
 * @param unusedRoutes - further routes of the configuration, which make it large
 */
export async function startBodyService(processes: Processes, unusedRoutes = 0): Promise<DirectoryStore> {
	const store = new DirectoryStore();
	await store.start();
	store.put('op/config', {
		version: 1,
		routes: ['/p/', ...Array.from({length: unusedRoutes}, (_, at) => `/unused-${at}/`)].map(prefix => ({
			name: `r${prefix}`, host: 'a.example', prefix, kind: 'non_idempotent', timeout_ms: 5000, service: 'desk',
		})),
		services: [{name: 'desk', max_conns: 500}],
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
		},
		tenants: [{name: 't', api_keys: ['k1']}],
	});
	for (const id of ['i-1', 'i-2']) {
		const {out} = processes.start(['--import', 'tsx', path.join(import.meta.dirname, 'body-worker.ts')]);

		await waitFor('a worker listens', () => out().includes('\n'));
		store.put(`servers/${id}`, {
			service: 'desk', address: `127.0.0.1:${out().trim()}`, zone: 'z', slots: 100, state: 'ready', born: 1,
		});
	}

	return store;
}

/** Sends an ordinary call of the service to a gateway; returns whether it was served. */
export async function isCallServed(url: string): Promise<boolean> {
	return new Promise(resolve => {
		const req = http.request(`${url}/p/x`, {
			method: 'POST', agent: false, timeout: 5000, headers: {
				host: 'a.example', 'attempt-id': 'ordinary', 'api-key': 'k1', 'deadline-ms': 3000, 'content-length': 5,
			},
		}, res => {
			res.resume();
			resolve(res.statusCode === 200);
		});
		req.on('timeout', () => {
			req.destroy();
		});
		req.on('error', () => {
			resolve(false);
		});
		req.end('small');
	});
}
