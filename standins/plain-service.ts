/** Stand-in for a plain service: an HTTP server that simulates operations and counts the runs of each booking in a ledger. */
import {setTimeout as sleep} from 'node:timers/promises';
import {HttpListener, type ListenAddress, sendJson} from '../src/links/http-listener.ts';
import {readBody} from '../src/links/read-body.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';

/** Options of a {@link PlainServiceStandin}. */
export type PlainServiceOptions = {
	/** Duration of one run of an operation, in milliseconds. */
	readonly runMs: number;
};

/** An HTTP server that speaks the protocol of a plain service. */
export class PlainServiceStandin {
	/** Number of runs by booking. A request names its booking in the field `booking` of its body; without one it counts as `none`. Queries are not counted. */
	readonly ledger = new Map<string, number>();
	/** Closes the connection after each run instead of responding. */
	dropResponses = false;
	/** Awaited after each run, before the response is sent. */
	responseGate: Promise<void> = Promise.resolve();
	private readonly listener: HttpListener;

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
	 * @param address - port 0 selects any free port
	 * @returns the address with the port in use
	 */
	async start(address: ListenAddress): Promise<ListenAddress> {
		return this.listener.start(address);
	}

	/** Stops listening and closes all connections. */
	stop(): void {
		this.listener.destroy();
	}
}
