/** Stand-in for an instance that says in its responses that it is leaving, or for how long it wants no calls. Answers every call it accepts at once. */
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {headerNames} from '../platform/wire-names.ts';

/** How long calls may still arrive after a response has said that the instance is leaving or wants quiet, in milliseconds. */
const graceMs = {leaving: 500, quiet: 500};

/** Calls that may arrive in a quiet time. */
const maxQuietArrivals = 2;

/** A quiet time that the instance has asked for, and the calls that arrived in it after the grace. */
type QuietTime = {readonly fromMs: number; readonly untilMs: number; arrivals: number};

/** An HTTP server whose state the test changes between calls. */
export class SignallingUpstream {
	/** When each call arrived, in milliseconds of the monotonic clock. */
	readonly arrivals: number[] = [];
	/** Number of connections so far, also those without a call. */
	connections = 0;
	/** `ip:port`, set by {@link start}. */
	address = '';
	/** Whether every response states that the instance is leaving. */
	isLeaving = false;
	/** Whether calls are turned away with 503. */
	refusesCalls = false;
	/** If set, calls are turned away with 503 and this `Retry-After`. */
	retryAfter: string | undefined;
	/** Whether calls for another instance are turned away with 421. */
	checksId = true;
	/** Whether responses name the instance. */
	namesItself = false;
	/** Time before the head of each response, in milliseconds. */
	responseDelayMs = 0;
	/** Time before each event of a stream, in milliseconds. */
	eventDelayMs = 0;
	/** What arrived although the instance had asked for no calls. */
	readonly violations: string[] = [];
	private saidLeavingAtMs = Number.POSITIVE_INFINITY;
	private quietTimes: QuietTime[] = [];
	private readonly server = http.createServer((req, res) => {
		this.arrivals.push(performance.now());
		if (req.headers[headerNames.expectedInstance] === this.id) {
			this.checkArrival(performance.now());
		}

		req.resume();
		setTimeout(() => {
			this.respond(req, res);
		}, this.responseDelayMs);
	});

	/** @param id - the instance ID */
	constructor(public id: string) {
		this.server.on('connection', () => {
			this.connections++;
		});
	}

	/** Starts to listen on any free port of the loopback interface. */
	async start(): Promise<void> {
		await new Promise<void>(resolve => {
			this.server.listen(0, '127.0.0.1', resolve);
		});
		this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
	}

	/** Breaks all connections and starts to listen again at the same address as another run, which has said nothing yet. */
	async restart(id: string): Promise<void> {
		const {port} = this.server.address() as AddressInfo;
		this.close();
		this.id = id;
		this.isLeaving = false;
		this.refusesCalls = false;
		this.retryAfter = undefined;
		this.saidLeavingAtMs = Number.POSITIVE_INFINITY;
		this.quietTimes = [];
		await new Promise<void>(resolve => {
			this.server.listen(port, '127.0.0.1', resolve);
		});
	}

	/** Stops listening and closes all connections. */
	close(): void {
		this.server.close();
		this.server.closeAllConnections();
	}

	private checkArrival(nowMs: number): void {
		if (nowMs > this.saidLeavingAtMs + graceMs.leaving) {
			this.violations.push(`${this.id}: a call ${Math.round(nowMs - this.saidLeavingAtMs)} ms after the instance said that it is leaving`);
		}

		for (const quiet of this.quietTimes) {
			if (nowMs > quiet.fromMs + graceMs.quiet && nowMs < quiet.untilMs && ++quiet.arrivals > maxQuietArrivals) {
				this.violations.push(`${this.id}: call ${quiet.arrivals} in a quiet time`);
			}
		}
	}

	private respond(req: http.IncomingMessage, res: http.ServerResponse): void {
		const headers: Record<string, string> = {[headerNames.attemptId]: String(req.headers[headerNames.attemptId])};
		if (this.isLeaving) {
			headers[headerNames.leaving] = '1';
		}

		if (this.namesItself) {
			headers[headerNames.servedBy] = this.id;
		}

		if (this.checksId && req.headers[headerNames.expectedInstance] !== this.id) {
			res.writeHead(421, headers).end();
			return;
		}

		if (this.isLeaving) {
			this.saidLeavingAtMs = Math.min(this.saidLeavingAtMs, performance.now());
		}

		if (this.refusesCalls || this.retryAfter !== undefined) {
			const retry = this.retryAfter === undefined ? {} : {'retry-after': this.retryAfter};
			res.writeHead(503, {...headers, ...retry, [headerNames.notRun]: '1'}).end();
			const nowMs = performance.now();
			this.quietTimes.push({fromMs: nowMs, untilMs: nowMs + (Number(this.retryAfter ?? 0) * 1000), arrivals: 0});
			return;
		}

		headers[headerNames.seal] = 's';
		if (req.headers.model === undefined) {
			res.writeHead(200, {...headers, 'content-length': '2'}).end('ok');
		} else {
			res.writeHead(200, {...headers, 'content-type': 'text/event-stream', [headerNames.version]: '1'});
			res.flushHeaders();
			this.sendEvents(res, 1);
		}
	}

	private sendEvents(res: http.ServerResponse, id: number): void {
		const lastId = 4;
		if (id > lastId) {
			res.end();
			return;
		}

		setTimeout(() => {
			res.write(`id: ${id}\ndata: t${id}\n\n`);
			this.sendEvents(res, id + 1);
		}, this.eventDelayMs);
	}
}
