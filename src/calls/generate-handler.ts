/** Runs callers' generations: streams the tokens, and retries at another upstream as long as the caller cannot notice it. */
import type http from 'node:http';
import {z} from 'zod';
import {writeWithBackpressure} from '../links/write-with-backpressure.ts';
import type {CallFrame} from '../messages/call-frame.ts';
import type {CallRequest} from '../messages/call-request.ts';
import type {CallMetrics, TokenTiming} from '../reports/call-metrics.ts';
import type {UpstreamRouter, UpstreamTarget} from '../routing/upstream-router.ts';
import type {CallRunner, CallTarget} from './call-runner.ts';
import type {CallerRequest} from './caller-request.ts';
import {createCallRequest} from './create-call-request.ts';

/** The body of a caller's generate request. */
export const generateBodySchema = z.strictObject({
	prompt: z.string(),
	max_tokens: z.number().int().positive().max(100_000),
});

/** Dependencies of the handler. */
export type GenerateHandlerOptions = {
	readonly runner: CallRunner;
	readonly router: UpstreamRouter;
	readonly metrics: CallMetrics;
};

type GenerateTarget = CallTarget & {readonly route: UpstreamTarget};

type Generation = {
	readonly caller: CallerRequest;
	readonly body: z.infer<typeof generateBodySchema>;
	readonly res: http.ServerResponse;
	/** The model and version of the current attempt; the version is fixed once the headers were sent to the caller. */
	currentAttempt: {model: string; version: string} | undefined;
	sentTokenCount: number;
	/** Measures the time to the first tokens and the times between tokens. */
	readonly timing: TokenTiming;
};

/** Runs generations. */
export class GenerateHandler {
	constructor(private readonly options: GenerateHandlerOptions) {}

	/**
	 * Runs one generation and streams its answer.
	 *
	 * @param res - the response; its headers must not have been sent
	 * @throws CallerError when the call fails before anything was sent to the caller
	 */
	async run(caller: CallerRequest, body: z.infer<typeof generateBodySchema>, res: http.ServerResponse): Promise<void> {
		const generation: Generation = {
			caller, body, res, currentAttempt: undefined, sentTokenCount: 0, timing: this.options.metrics.startTokenTiming(),
		};
		const callerGone = new AbortController();
		res.once('close', () => {
			// The connection also closes after a complete answer. Aborting then would create an exception with a stack trace on each call.
			if (!res.writableFinished) {
				callerGone.abort();
			}
		});
		const end = await this.options.runner.run<GenerateTarget>({
			caller,
			idempotent: true,
			chooseTarget: excluded => this.chooseTarget(generation, excluded),
			createCall: target => createGenerateCall(generation, target.route),
			onFrame: async frame => sendFrame(generation, frame),
			hasSent: () => res.headersSent,
			callerGone: callerGone.signal,
		});
		if (end.kind === 'answered') {
			endAnswer(generation);
		} else {
			// A connection that closes without the `done` line tells the caller that the answer is incomplete.
			res.destroy();
		}
	}

	private chooseTarget(generation: Generation, excluded: ReadonlySet<string>): GenerateTarget | undefined {
		const {caller, res, currentAttempt: attempted} = generation;
		const route = this.options.router.choose(caller.route, excluded, res.headersSent ? attempted?.version : undefined, generation.body.prompt);
		return route && {vm: route.member.vm, address: route.member.address, route};
	}
}

function createGenerateCall(generation: Generation, target: UpstreamTarget): CallRequest {
	const {caller, body} = generation;
	const model = target.model ?? '';
	const version = target.version ?? '';
	generation.currentAttempt = {model, version};
	return createCallRequest(caller, target.member, {
		ticket: null,
		work: {
			kind: 'generate', model, version, adapter: caller.route.adapter ?? null,
			prompt: body.prompt, maxTokens: body.max_tokens, resumeFrom: generation.sentTokenCount,
		},
	});
}

async function sendFrame(generation: Generation, frame: CallFrame): Promise<void> {
	const {res} = generation;
	if (frame.kind !== 'tokens' || frame.tokens.length === 0) {
		return;
	}

	sendHead(generation);
	generation.sentTokenCount += frame.tokens.length;
	generation.timing.recordTokens();
	await writeWithBackpressure(res, frame.tokens.map(token => `{"token":${JSON.stringify(token)}}\n`).join(''));
}

function sendHead({res, caller, currentAttempt: attempted}: Generation): void {
	if (!res.headersSent) {
		res.writeHead(200, {'content-type': 'application/x-ndjson', 'x-request-id': caller.requestId, 'x-model-version': attempted?.version});
	}
}

function endAnswer(generation: Generation): void {
	sendHead(generation);
	generation.res.end(`${JSON.stringify({done: true, tokens: generation.sentTokenCount, version: generation.currentAttempt?.version})}\n`);
}
