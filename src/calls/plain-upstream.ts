/** Upstream adapter for a plain service: sends operations over HTTP. */
import {type PeerClient, readText} from '../links/peer-client.ts';
import type {CallRequest} from '../messages/call-request.ts';
import type {RunOptions, Upstream, UpstreamEvent} from './upstream.ts';

/**
 * How long to wait for an answer, in milliseconds.
 *
 * It is longer than the largest deadline of a call, so that the answer is still recorded for a retry after the entry gave up.
 */
const answerTimeoutMs = 150_000;

/** Runs operations at a plain service. */
export class PlainUpstream implements Upstream {
	constructor(private readonly links: PeerClient, private readonly baseUrl: string) {}

	/** A plain service accepts every operation. */
	serves(req: CallRequest): boolean {
		return req.work.kind === 'operation';
	}

	/** Sends the operation and yields its answer as one result. */
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
