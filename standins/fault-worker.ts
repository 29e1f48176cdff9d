/**
 * A worker in a process of its own, whose parent tells it by messages when to pause, to refuse or to leave, and hears of each call that
 * arrives. Streams and plain answers are made of the attempt ID, so that callers can tell an answer that is not theirs. `FaultWorkerOptions`
 * come as JSON in the first argument.
 */
import http from 'node:http';
import process from 'node:process';
import {headerNames} from '../platform/wire-names.ts';
import {eventText, plainText} from './worker-answers.ts';

/** How a worker is started. */
export type FaultWorkerOptions = {
	readonly host: string;
	readonly port: number;
	readonly instance: string;
	/** The version of the weights that it holds; undefined for a plain service. */
	readonly version?: number;
};

/** What the parent may order. */
export type WorkerOrder =
	/** Send nothing for a time. */
	| {readonly kind: 'pause'; readonly ms: number}
	/** Turn calls away for a time, with `Retry-After` if that is set. */
	| {readonly kind: 'refuse'; readonly ms: number; readonly retryAfterS?: number}
	/** Say in each response that it is leaving. */
	| {readonly kind: 'leave'};

/** What the worker tells: that it listens, or a call that arrived. Times are in milliseconds of the system's clock. */
export type WorkerReport = {readonly kind: 'listening'} | ({readonly kind: 'arrival'} & Arrival);

/** A call that arrived at a worker. */
export type Arrival = {
	readonly id: string;
	readonly instance: string;
	readonly atMs: number;
	/** Whether the worker ran the call or turned it away. */
	readonly ran: boolean;
	/** The key holder that the gateway named, by which a test can tell the configuration that it used. */
	readonly holder: string;
};

const unavailableStatus = 503;
const misdirectedStatus = 421;

let pausedUntilMs = 0;
let refusal = {untilMs: 0, retryAfterS: undefined as number | undefined};
let isLeaving = false;
let orders = 0;

const handlers: {readonly [Kind in WorkerOrder['kind']]: (order: Extract<WorkerOrder, {kind: Kind}>) => void} = {
	pause({ms}) {
		pausedUntilMs = performance.now() + ms;
	},
	refuse({ms, retryAfterS}) {
		refusal = {untilMs: performance.now() + ms, retryAfterS};
	},
	leave() {
		isLeaving = true;
	},
};

function tell(report: WorkerReport): void {
	process.send!(report);
}

/** Calls a function once the worker does not pause. */
function whenAwake(delayMs: number, act: () => void): void {
	setTimeout(() => {
		const leftMs = pausedUntilMs - performance.now();
		if (leftMs > 0) {
			whenAwake(leftMs, act);
		} else {
			act();
		}
	}, delayMs);
}

function handle({instance, version}: FaultWorkerOptions, req: http.IncomingMessage, res: http.ServerResponse): void {
	const {pathname, searchParams} = new URL(req.url ?? '/', 'http://worker');
	if (pathname === '/v1/report') {
		res.end(JSON.stringify({
			models: [{name: 'm', version}], layers: {from: 0, to: 16}, busy: false, sequence: orders, born: 1,
		}));
		return;
	}

	if (pathname === '/v1/order') {
		orders++;
		res.writeHead(unavailableStatus).end();
		return;
	}

	const id = String(req.headers[headerNames.attemptId]);
	const expected = req.headers[headerNames.expectedVersion];
	const isMisdirected = req.headers[headerNames.expectedInstance] !== instance || (version !== undefined && expected !== undefined && Number(expected) !== version);
	const refuses = performance.now() < refusal.untilMs;
	const common = {[headerNames.attemptId]: id, [headerNames.servedBy]: instance, ...(isLeaving ? {[headerNames.leaving]: '1'} : {})};
	req.resume();
	tell({
		kind: 'arrival', id, instance, atMs: performance.timeOrigin + performance.now(), ran: !isMisdirected && !refuses, holder: String(req.headers.tenant),
	});
	if (isMisdirected) {
		res.writeHead(misdirectedStatus, common).end();
	} else if (refuses) {
		const {retryAfterS} = refusal;
		res.writeHead(unavailableStatus, {...common, [headerNames.notRun]: '1', ...(retryAfterS === undefined ? {} : {'retry-after': String(retryAfterS)})}).end();
	} else if (version === undefined) {
		const text = plainText(id, Number(searchParams.get('bytes')));
		whenAwake(Number(searchParams.get('after')), () => {
			res.writeHead(200, {...common, [headerNames.seal]: 's', 'content-length': text.length}).end(text);
		});
	} else {
		res.writeHead(200, {
			...common, [headerNames.seal]: 's', 'content-type': 'text/event-stream', [headerNames.version]: String(version),
		});
		sendEvents(res, {
			id, version, event: Number(req.headers['last-event-id'] ?? 0) + 1, last: Number(searchParams.get('events')), gapMs: Number(searchParams.get('gap')),
		});
	}
}

type Stream = {readonly id: string; readonly version: number; readonly event: number; readonly last: number; readonly gapMs: number};

function sendEvents(res: http.ServerResponse, stream: Stream): void {
	const {id, version, event, last, gapMs} = stream;
	whenAwake(gapMs, () => {
		if (event > last) {
			res.end();
		} else if (!res.destroyed) {
			res.write(eventText(id, event, version));
			sendEvents(res, {...stream, event: event + 1});
		}
	});
}

const options = JSON.parse(process.argv[2]!) as FaultWorkerOptions;
const server = http.createServer((req, res) => {
	handle(options, req, res);
});
server.listen(options.port, options.host, () => {
	tell({kind: 'listening'});
});
process.on('message', (order: WorkerOrder) => {
	(handlers[order.kind] as (order: WorkerOrder) => void)(order);
});
process.on('disconnect', () => {
	process.exit();
});
