/**
 * A worker in a process of its own. A call with a model is answered by a stream, any other by one body; what the answer looks like is told by
 * the query of the call's target. Prints its port; `GET /runs` returns how many runs it began, by attempt ID.
 */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import type {AddressInfo} from 'node:net';

const runs = new Map<string, number>();

/** How long the worker sends nothing after the event `pause-at`, so that every stream stops there once, in milliseconds. */
const pausedRuns = new Set<string>();

const server = http.createServer((req, res) => {
	const {pathname, searchParams} = new URL(req.url ?? '/', 'http://worker');
	if (pathname === '/runs') {
		res.end(JSON.stringify(Object.fromEntries(runs)));
		return;
	}

	const get = (name: string, defaultValue: number) => Number(searchParams.get(name) ?? defaultValue);
	const id = String(req.headers['attempt-id']);
	const count = (runs.get(id) ?? 0) + 1;
	runs.set(id, count);
	const headers = {'attempt-id': id, 'response-seal': `s.${count}`};
	req.resume();
	if (req.headers.model === undefined) {
		const body = Buffer.alloc(get('bytes', 800), 'x');
		setTimeout(() => {
			res.writeHead(200, {...headers, 'content-length': body.length});
			res.end(body);
		}, get('after', 0));
		return;
	}

	res.writeHead(200, {...headers, 'content-type': 'text/event-stream', 'weight-versions': '1'});
	const send = (event: number) => {
		if (event > get('events', 10)) {
			res.end();
			return;
		}

		res.write(`id: ${event}\ndata: ${'t'.repeat(get('bytes', 1))}${event}\n\n`);
		const pauses = event === get('pause-at', -1) && !pausedRuns.has(id);
		if (pauses) {
			pausedRuns.add(id);
		}

		setTimeout(send, pauses ? get('pause', 0) : get('gap', 100), event + 1);
	};

	setTimeout(send, get('after', 0), Number(req.headers['last-event-id'] ?? 0) + 1);
});
server.listen(0, '127.0.0.1', () => {
	console.log((server.address() as AddressInfo).port);
});
