/** What the operator and the workers publish for a small deployment: one service of model workers, one of plain workers. */
/* eslint camelcase: "off" -- wire formats use their own spelling */

const key = 'jnbanfqasnmgkcuyj8pj';

/** The headers of every request of the one tenant. */
export function requestHeaders(id, {host, deadlineMs, ...others}) {
	return {
		Host: host, 'Attempt-Id': id, 'Deadline-Ms': deadlineMs, 'Api-Key': key, ...others,
	};
}

/** The headers that a request to a model carries. */
export const streamHeaders = {
	host: 'jepu9.example', deadlineMs: 6033, Model: 'm0', 'Token-Usage': '647,70',
};

export const deskHeaders = {host: 'voka93.example', deadlineMs: 1024};

export const streamPath = '/lepu270/2f';

export const deskPath = '/filo73/de11/2f';

/** Returns a configuration like those of the sites; `engine` and `services` replace parts of it. */
export function configuration({version = 1, engine = {}, services = []} = {}) {
	return {
		version,
		routes: [
			{
				name: 'models',
				host: 'jepu9.example',
				prefix: '/lepu270/',
				kind: 'stream',
				timeout_ms: 6000,
				goal_ms: 500,
				gap_target_ms: 400,
				priority: 1,
				attempts: 2,
				resumable: true,
				sticky: true,
				service: 'assistent',
			},
			{
				name: 'desk', host: 'voka93.example', prefix: '/filo73/', kind: 'non_idempotent', timeout_ms: 1000, goal_ms: 100, priority: 2, attempts: 1, service: 'balie',
			},
		],
		services: [
			{
				name: 'assistent',
				health_path: '/healthz',
				max_conns: 354,
				engine: {
					slots: 16,
					step_ms: 8.87,
					per_seq_ms: 0.0388,
					context_per_k: 0.0227,
					read_per_s: 19_100,
					pairs_per_m: 1.47,
					chunk: 2048,
					stride: 5,
					usual: {prompt: 977, answer: 94},
					layers: 16,
					chunks: 96,
					chunk_bytes: 24_576,
					models: [{name: 'm0'}],
					...engine,
				},
			},
			{name: 'balie', health_path: '/healthz', max_conns: 96},
			...services,
		],
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
		},
		tenants: [{name: 'bozi300', api_keys: [key]}],
	};
}

/** Returns the entry of a worker in the store. */
export function workerEntry({address, service, born, models, sequence = 1}) {
	const held = models ? {stage: 'unified', models, layers: {from: 0, to: 16, version: models[0].version}} : {};
	return {
		service, address, zone: 'zone-a', version: '1', slots: models ? 16 : 6, state: 'ready', cold_left_ms: 0, sequence, born, ...held,
	};
}
