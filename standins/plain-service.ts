/** Stand-in for a plain service: runs operations and keeps a ledger of every run. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	HttpListener, type ListenAddress, readBody, sendJson,
} from '../src/links/http-listener.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';

/** How the service behaves. */
export type PlainServiceOptions = {
	/** Time that one run takes, in milliseconds. */
	readonly runMs: number;
};

/** The service's stand-in. */
export class PlainServiceStandin {
	/** Runs by booking; an operation names its booking in the body's `booking`. */
	readonly ledger = new Map<string, number>();
	/** Drops the connection after the run, before the answer. */
	dropResponses = false;
	/** Runs wait for this before they answer. */
	responseGate: Promise<void> = Promise.resolve();
	private readonly listener: HttpListener;

	/** @param options - how the service behaves */
	constructor(private readonly options: PlainServiceOptions) {
		this.listener = new HttpListener({
			'POST /v1/operations/*': async (req, res, [operation]) => {
				const body = JSON.parse(await readBody(req)) as {booking?: string; query?: string} | null;
				if (body?.query !== undefined) {
					await sleep(this.options.runMs);
					sendJson(res, 200, {operation, query: body.query});
					return;
				}

				const booking = body?.booking ?? 'none';
				const run = (this.ledger.get(booking) ?? 0) + 1;
				this.ledger.set(booking, run);
				await sleep(this.options.runMs);
				await this.responseGate;
				if (this.dropResponses) {
					res.destroy();
					return;
				}

				sendJson(res, 200, {operation, booking, run});
			},
			'GET /v1/ledger': (req, res) => {
				sendJson(res, 200, Object.fromEntries(this.ledger));
			},
		}, createSilentLogger());
	}

	/**
	 * Starts to listen.
	 *
	 * @param address - port 0 takes any free port
	 */
	async start(address: ListenAddress): Promise<ListenAddress> {
		return this.listener.start(address);
	}

	/** Closes all connections. */
	stop(): void {
		this.listener.destroy();
	}
}
