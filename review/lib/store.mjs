/** Stand-in for the platform's metadata store: ranges, single keys and watches, as PROTOCOL.md tells them. */
/* eslint camelcase: "off" -- wire formats use their own spelling */
import {Buffer} from 'node:buffer';
import http from 'node:http';

/** Starts a store on a loopback address. */
export class Store {
	revision = 10;
	items = new Map();
	events = [];
	waiting = new Set();

	constructor() {
		this.server = http.createServer((req, res) => {
			this.serve(new URL(req.url, 'http://store'), res);
		});
	}

	async start(host) {
		await new Promise(resolve => {
			this.server.listen(0, host, resolve);
		});
		this.address = `${host}:${this.server.address().port}`;
	}

	put(key, value) {
		this.revision++;
		const item = {
			key, value: Buffer.from(JSON.stringify(value)).toString('base64'), revision: this.revision, created: this.items.get(key)?.created ?? this.revision, lease: 0,
		};
		this.items.set(key, item);
		this.tell(item);
	}

	remove(key) {
		this.revision++;
		this.items.delete(key);
		this.tell({key, revision: this.revision, tombstone: true});
	}

	close() {
		this.server.close();
		this.server.closeAllConnections();
	}

	tell(event) {
		this.events.push(event);
		for (const wake of this.waiting) {
			wake();
		}
	}

	serve({pathname, searchParams}, res) {
		const prefix = searchParams.get('prefix') ?? '';
		switch (pathname) {
			case '/v1/kv-range': {
				const after = searchParams.get('after') ?? '';
				const items = [...this.items.values()].filter(({key}) => key.startsWith(prefix) && key > after).toSorted((a, b) => (a.key < b.key ? -1 : 1));
				sendJson(res, 200, {items, more_pages: false, store_revision: this.revision});

				break;
			}

			case '/v1/kv-watch': {
				this.watch(prefix, Number(searchParams.get('after')), Number(searchParams.get('wait_ms')), res);

				break;
			}

			case '/v1/kv-key': {
				const item = this.items.get(searchParams.get('key'));
				sendJson(res, item ? 200 : 404, {...item, store_revision: this.revision});

				break;
			}

			default: {
				sendJson(res, 404, {});
			}
		}
	}

	watch(prefix, after, waitMs, res) {
		const answer = () => {
			const events = this.events.filter(event => event.revision > after && event.key.startsWith(prefix));
			if (events.length > 0) {
				finish(events);
			}
		};

		const finish = events => {
			clearTimeout(timer);
			this.waiting.delete(answer);
			sendJson(res, 200, {events, store_revision: this.revision});
		};

		const timer = setTimeout(() => {
			finish([]);
		}, waitMs);
		this.waiting.add(answer);
		res.on('close', () => {
			clearTimeout(timer);
			this.waiting.delete(answer);
		});
		answer();
	}
}

export function sendJson(res, status, body) {
	const bytes = Buffer.from(JSON.stringify(body));
	res.writeHead(status, {'content-type': 'application/json', 'content-length': bytes.length});
	res.end(bytes);
}
