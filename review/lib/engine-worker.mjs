/** Stand-in for a sound model worker with staged weights: report, orders, staging and streams, as PROTOCOL.md tells them. */
/* eslint camelcase: "off" -- wire formats use their own spelling */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {
	chunks, digestOf, digestsOf, pieceOf,
} from './weights.mjs';
import {sendJson} from './store.mjs';
import {workerEntry} from './published.mjs';

const warmupMs = 300;

export class EngineWorker {
	born = Date.now() - 60_000;
	sequence = 0;
	isBusy = false;
	version = 1;
	staged = new Map();
	/** When pieces turned bad, by number, in milliseconds of the monotonic clock. */
	turnedBadMs = new Map();
	/** What each load took that was not as the origin has it. */
	badLoads = [];
	loads = 0;
	active = 0;
	beats = 0;
	tokensOnBadLayers = 0;

	/** @param options - the worker's id, the store that lists it, and what a stream looks like */
	constructor({id, store, events = 8, pauseMs = 40, onStageGet = () => undefined}) {
		Object.assign(this, {
			id, store, events, pauseMs, onStageGet,
		});
		for (let number = 0; number < chunks; number++) {
			this.staged.set(number, pieceOf(1, number));
		}

		this.server = http.createServer((req, res) => {
			const parts = [];
			req.on('data', part => parts.push(part));
			req.on('end', () => {
				this.serve(req, res, Buffer.concat(parts));
			});
			req.on('error', () => undefined);
		});
		this.server.keepAliveTimeout = 10_000;
	}

	async start(host) {
		await new Promise(resolve => {
			this.server.listen(0, host, resolve);
		});
		this.address = `${host}:${this.server.address().port}`;
		this.publish();
	}

	publish() {
		this.beats++;
		this.store.put(`servers/${this.id}`, workerEntry({
			address: this.address, service: 'assistent', born: this.born, models: this.models, sequence: this.beats,
		}));
	}

	get models() {
		return [{name: 'm0', version: this.version, adapters: []}];
	}

	close() {
		this.server.close();
		this.server.closeAllConnections();
	}

	/** Spoils a staged piece. */
	turnBad(number) {
		const bytes = Buffer.from(this.staged.get(number));
		bytes[100] = bytes[100] === 1 ? 2 : 1;
		this.staged.set(number, bytes);
		this.turnedBadMs.set(number, performance.now());
	}

	serve(req, res, body) {
		const {pathname, searchParams} = new URL(req.url, 'http://worker');
		const number = Number(searchParams.get('number'));
		if (pathname === '/v1/report') {
			sendJson(res, 200, {
				stage: 'unified',
				models: this.models,
				layers: {from: 0, to: 16, version: this.version},
				busy: this.isBusy,
				sequence: this.sequence,
				queued: 0,
				active: this.active,
				kv_used: 0,
				kv_total: 1_180_000,
				handles: 0,
				born: this.born,
			});
		} else if (pathname === '/v1/order') {
			this.takeOrder(JSON.parse(body.toString('utf8')), res);
		} else if (pathname.startsWith('/v1/stage-put/')) {
			this.staged.set(number, body);
			this.turnedBadMs.delete(number);
			sendJson(res, 200, {});
		} else if (pathname.startsWith('/v1/stage-get/')) {
			this.sendStaged(searchParams.has('number') ? number : undefined, res);
		} else {
			this.stream(req, res);
		}
	}

	sendStaged(number, res) {
		if (number === undefined) {
			sendJson(res, 200, {held: [...this.staged.keys()]});
			return;
		}

		this.onStageGet(number);
		const bytes = this.staged.get(number);
		res.writeHead(bytes ? 200 : 404, {'content-length': bytes?.length ?? 0});
		res.end(bytes);
	}

	/** Takes the staged weights as they are now, and serves them after the warm-up. */
	takeOrder({op, version, expect}, res) {
		if (op !== 'start') {
			sendJson(res, 400, {});
			return;
		}

		if (this.version === version && !this.isBusy) {
			sendJson(res, 200, {});
			return;
		}

		if (this.isBusy || (expect !== undefined && expect !== this.sequence)) {
			sendJson(res, 409, {});
			return;
		}

		this.sequence++;
		this.isBusy = true;
		this.loads++;
		const nowMs = performance.now();
		const digests = digestsOf(version);
		const bad = digests.flatMap((digest, number) => {
			const bytes = this.staged.get(number);
			return bytes && digestOf(bytes) === digest ? [] : [{number, badForMs: Math.round(nowMs - (this.turnedBadMs.get(number) ?? Number.NEGATIVE_INFINITY))}];
		});
		this.badLoads.push(...bad.map(piece => ({...piece, version})));
		this.hasBadLayers = bad.length > 0;
		sendJson(res, 202, {});
		setTimeout(() => {
			this.version = version;
			this.isBusy = false;
			this.publish();
		}, warmupMs);
	}

	stream(req, res) {
		const {headers} = req;
		const isOther = headers['expect-instance'] !== this.id || (headers['expect-version'] !== undefined && Number(headers['expect-version']) !== this.version);
		if (isOther || this.isBusy) {
			sendJson(res, isOther ? 421 : 503, {});
			return;
		}

		const id = headers['attempt-id'];
		res.writeHead(200, {
			'Attempt-Id': id, 'Response-Seal': `3e1b.07.${id}`, 'Content-Type': 'text/event-stream', 'Weight-Versions': String(this.version), 'Instance-Load': `${this.active},0,16`,
		});
		this.active++;
		let number = Number(headers['last-event-id'] ?? 0);
		const timer = setInterval(() => {
			number++;
			this.tokensOnBadLayers += this.hasBadLayers ? 1 : 0;
			res.write(`id: ${number}\ndata: token ${number} of ${id}\n\n`);
			if (number >= this.events) {
				res.end();
			}
		}, this.pauseMs);
		res.on('close', () => {
			clearInterval(timer);
			this.active--;
		});
	}
}
