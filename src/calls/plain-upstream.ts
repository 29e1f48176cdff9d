/** Runs operations of a plain service. */
import {type PeerClient, readText} from '../links/peer-client.ts';
import type {CallRequest} from '../messages/call-request.ts';
import type {RunOptions, Upstream, UpstreamEvent} from './upstream.ts';

/**
 * How long an answer is waited for, in milliseconds.
 *
 * It covers the longest deadline of a call, so that the answer to a call whose entry gave up is still recorded for a repeat.
 */
const answerTimeoutMs = 150_000;

/** A plain service behind HTTP. */
export class PlainUpstream implements Upstream {
	/**
	 * @param links - sends the requests
	 * @param baseUrl - the service's address
	 */
	constructor(private readonly links: PeerClient, private readonly baseUrl: string) {}

	/** Plain services run every operation. */
	serves(req: CallRequest): boolean {
		return req.work.kind === 'operation';
	}

	/** Sends the operation and yields its answer. */
	async * run(req: CallRequest, options: RunOptions): AsyncGenerator<UpstreamEvent> {
		if (req.work.kind !== 'operation') {
			return;
		}

		const url = `${this.baseUrl}/v1/operations/${encodeURIComponent(req.work.operation)}`;
		const body = JSON.stringify(req.work.body);
		const res = await this.links.send(url, {method: 'POST', body}, {...options, timeoutMs: answerTimeoutMs});
		yield {kind: 'head', version: null};
		yield {kind: 'result', status: res.status, body: parseBody(await readText(res.body))};
	}
}

function parseBody(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return text;
	}
}
