/** Upstream adapter for a model engine: sends generations over HTTP and checks the token stream. */
import {z} from 'zod';
import {type PeerClient, releaseBody} from '../links/peer-client.ts';
import type {CallRequest} from '../messages/call-request.ts';
import {BrokenAnswerError} from './frame-checker.ts';
import {readLineBatches} from './frame-reader.ts';
import {
	type RunOptions, type Upstream, type UpstreamEvent, UpstreamStatusError,
} from './upstream.ts';

const engineLineSchema = z.union([
	z.object({
		version: z.string(), seq: z.number(), token: z.string(), done: z.undefined().optional(),
	}),
	z.object({version: z.string(), seq: z.number(), done: z.literal(true)}),
]);

/** Longest pause of an engine within an answer, in milliseconds. Time in the engine's queue does not count, as it passes before the answer starts. */
const engineIdleTimeoutMs = 10_000;

/** Dependencies and settings of the adapter. */
export type EngineUpstreamOptions = {
	readonly links: PeerClient;
	readonly baseUrl: string;
	/** Whether the engine reports that it serves the version, with verified weights. */
	readonly isServed: (model: string, version: string, adapter: string | null) => boolean;
};

/** Runs generations at a model engine. */
export class EngineUpstream implements Upstream {
	constructor(private readonly options: EngineUpstreamOptions) {}

	/** Whether the engine serves the model version and adapter of the call. */
	serves(req: CallRequest): boolean {
		return req.work.kind === 'generate' && this.options.isServed(req.work.model, req.work.version, req.work.adapter);
	}

	/** Sends the prompt and yields the tokens, which are all of one version. */
	async * run(req: CallRequest, options: RunOptions): AsyncGenerator<UpstreamEvent> {
		const {work} = req;
		if (work.kind !== 'generate') {
			return;
		}

		const body = JSON.stringify({
			model: work.model, version: work.version, adapter: work.adapter, prompt: work.prompt,
			tokens: work.maxTokens, priority: req.priority, resumeFrom: work.resumeFrom,
		});
		const url = `${this.options.baseUrl}/v1/generate`;
		const res = await this.options.links.send(url, {method: 'POST', body}, {...options, timeoutMs: req.remainingMs, bodyIdleTimeoutMs: engineIdleTimeoutMs});
		if (res.status !== 200) {
			res.body.destroy();
			throw new UpstreamStatusError(`engine answered status ${res.status}`);
		}

		yield {kind: 'head', version: work.version};
		let isComplete = false;
		try {
			yield * readEngineStream(readLineBatches(res.body), work.version, work.resumeFrom);
			isComplete = true;
		} finally {
			releaseBody(res.body, isComplete);
		}
	}
}

async function * readEngineStream(lineBatches: AsyncGenerator<readonly string[]>, version: string, resumeFrom: number): AsyncGenerator<UpstreamEvent> {
	let nextSeq = resumeFrom;
	for await (const lines of lineBatches) {
		const tokens: string[] = [];
		let done = false;
		for (const text of lines) {
			const line = engineLineSchema.parse(JSON.parse(text));
			if (done || line.version !== version || line.seq !== nextSeq) {
				throw new BrokenAnswerError(`engine sent ${line.version}#${line.seq} where ${version}#${nextSeq} was due`);
			}

			if (line.done) {
				done = true;
			} else {
				tokens.push(line.token);
				nextSeq++;
			}
		}

		if (tokens.length > 0) {
			yield {kind: 'tokens', version, tokens};
		}

		if (done) {
			return;
		}
	}

	throw new BrokenAnswerError('engine ended the stream without its last line');
}
