/** Stand-ins for the platform's store and for workers, as PROTOCOL.md describes them. Everything listens on loopback addresses. */
/* eslint camelcase: off -- the wire of the platform has its own spelling */
import {Buffer} from 'node:buffer';
import http from 'node:http';

const maxWatchMs = 30_000;

/** Reads the body of a request. */
export async function readBody(req) {
	const parts = [];
	for await (const part of req) {
		parts.push(part);
	}

	return Buffer.concat(parts);
}

/** Starts a server and returns it once it listens. */
export async function listen(server, host, port) {
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return server;
}

/** The platform's store: items with revisions, ranges and watches. */
export class Store {
	/** The items by key. */
	items = new Map();
	revision = 10;
	#history = [];
	#waiting = new Set();

	/** Writes an item, whose value is sent as JSON; returns its revision. */
	put(key, value) {
		this.revision++;
		const known = this.items.get(key);
		const item = {
			key, value: Buffer.from(JSON.stringify(value)).toString('base64'), revision: this.revision, created: known?.created ?? this.revision, lease: 0,
		};
		this.items.set(key, item);
		this.#publish(item);
		return this.revision;
	}

	/** Removes an item; returns the revision. */
	remove(key) {
		this.revision++;
		this.items.delete(key);
		this.#publish({key, revision: this.revision, tombstone: true});
		return this.revision;
	}

	/** Starts to serve. */
	async start(host, port) {
		this.server = await listen(http.createServer((req, res) => {
			this.#answer(new URL(req.url, 'http://store.example'), res);
		}), host, port);
	}

	/** Ends. */
	stop() {
		this.server?.close();
		this.server?.closeAllConnections();
	}

	#publish(event) {
		this.#history.push(event);
		for (const check of this.#waiting) {
			check();
		}
	}

	#answer(url, res) {
		const send = (status, document) => {
			const body = Buffer.from(JSON.stringify(document));
			res.writeHead(status, {'content-type': 'application/json', 'content-length': body.length});
			res.end(body);
		};

		const prefix = url.searchParams.get('prefix') ?? '';
		switch (url.pathname) {
			case '/v1/kv-key': {
				const item = this.items.get(url.searchParams.get('key'));
				send(item ? 200 : 404, item ? {...item, store_revision: this.revision} : {});

				break;
			}

			case '/v1/kv-range': {
				const after = url.searchParams.get('after') ?? '';
				const all = [...this.items.values()].filter(({key}) => key.startsWith(prefix) && key > after).toSorted((a, b) => (a.key < b.key ? -1 : 1));
				send(200, {items: all.slice(0, 500), more_pages: all.length > 500, store_revision: this.revision});

				break;
			}

			case '/v1/kv-watch': {
				this.#watch({prefix, after: Number(url.searchParams.get('after')), waitMs: Math.min(maxWatchMs, Number(url.searchParams.get('wait_ms')))}, res, send);

				break;
			}

			default: {
				send(404, {});
			}
		}
	}

	#watch({prefix, after, waitMs}, res, send) {
		const finish = () => {
			clearTimeout(timer);
			this.#waiting.delete(check);
		};

		const respond = events => {
			finish();
			send(200, {events, store_revision: this.revision});
		};

		const check = () => {
			const events = this.#history.filter(({key, revision}) => key.startsWith(prefix) && revision > after);
			if (events.length > 0) {
				respond(events);
			}
		};

		const timer = setTimeout(() => {
			respond([]);
		}, waitMs);
		res.on('close', finish);
		this.#waiting.add(check);
		check();
	}
}

/** Returns the head of a worker's answer: the ID of the request and the worker's signature. */
export function sealed(req, instance, bytes) {
	return {
		'attempt-id': req.headers['attempt-id'], 'response-seal': `seal.${instance}.${req.headers['attempt-id']}`, 'served-by': instance, ...(bytes === undefined ? {} : {'content-length': bytes}),
	};
}

/**
 * Starts a worker. It refuses requests that expect another instance, as PROTOCOL.md says, and passes the others to `run`.
 *
 * @param worker - `id`, `host`, `port`, and `run(req, res, body)`, which answers
 */
export async function startWorker({id, host, port, run}) {
	const sockets = new Set();
	const server = http.createServer({keepAliveTimeout: 5000}, async (req, res) => {
		res.on('error', () => undefined);
		try {
			const body = await readBody(req);
			if (req.headers['expect-instance'] !== undefined && req.headers['expect-instance'] !== id) {
				res.writeHead(421, {'served-by': id, 'content-length': 0}).end();
				return;
			}

			await run(req, res, body);
		} catch {
			// The caller has left.
			res.destroy();
		}
	});
	server.on('connection', socket => {
		sockets.add(socket);
		socket.on('close', () => {
			sockets.delete(socket);
		});
	});
	await listen(server, host, port);
	return {
		id, server, sockets, stop() {
			server.close();
			server.closeAllConnections();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}
