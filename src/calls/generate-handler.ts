/** Runs callers' generations: streams tokens, and tries again elsewhere while that is invisible to the caller. */
import type http from 'node:http';
import {z} from 'zod';
import type {CallFrame} from '../messages/call-frame.ts';
import type {CallRequest} from '../messages/call-request.ts';
import type {AttemptResultKind, RouteTarget, UpstreamRouter} from '../routing/upstream-router.ts';
import {LinkError} from '../links/peer-client.ts';
import type {Logger} from '../runtime/logger.ts';
import {type AttemptClient, newAttemptId} from './attempt-client.ts';
import {CallerError} from './caller-error.ts';
import type {CallerRequest} from './caller-request.ts';

/** How many agents one call may try. */
export const maxAttempts = 3;

/** The body of a generation. */
export const generateBodySchema = z.strictObject({
	prompt: z.string(),
	max_tokens: z.number().int().positive().max(100_000),
});

/** What the handler works with. */
export type GenerateHandlerOptions = {
	readonly attempts: AttemptClient;
	readonly router: UpstreamRouter;
	readonly log: Logger;
};

type Generation = {
	readonly caller: CallerRequest;
	readonly body: z.infer<typeof generateBodySchema>;
	readonly res: http.ServerResponse;
	readonly excluded: Set<string>;
	/** Ends all attempts when the caller is gone. */
	readonly aborter: AbortController;
	sentTokens: number;
	version: string | undefined;
	/** Whether an attempt may have reached an engine. */
	mayHaveRun: boolean;
};

/** Runs generations. */
export class GenerateHandler {
	/** @param options - what the handler works with */
	constructor(private readonly options: GenerateHandlerOptions) {}

	/**
	 * Runs one generation and streams its answer.
	 *
	 * @param caller - the caller's request
	 * @param body - prompt and length
	 * @param res - the response, with nothing sent yet
	 * @throws CallerError when nothing was sent to the caller
	 */
	async run(caller: CallerRequest, body: z.infer<typeof generateBodySchema>, res: http.ServerResponse): Promise<void> {
		const generation: Generation = {
			caller, body, res, excluded: new Set(), aborter: new AbortController(), sentTokens: 0, version: undefined, mayHaveRun: false,
		};
		res.once('close', () => {
			generation.aborter.abort();
		});
		for (let tries = 0; tries < maxAttempts && !res.destroyed && performance.now() < caller.deadlineAtMs; tries++) {
			const target = this.options.router.choose(caller.route, generation.excluded, generation.version, body.prompt);
			if (!target) {
				break;
			}

			if (await this.attempt(generation, target)) {
				return;
			}

			generation.excluded.add(target.member.vm);
		}

		this.giveUp(generation);
	}

	private giveUp(generation: Generation): void {
		if (generation.res.headersSent) {
			// A broken connection without a last line tells the caller that the answer is not whole.
			generation.res.destroy();
			return;
		}

		const outcome = generation.mayHaveRun ? 'unknown' : 'not_run';
		throw new CallerError(generation.mayHaveRun ? 'outcome_unknown' : 'no_upstream', outcome, 'no upstream gave a whole answer in time');
	}

	private async attempt(generation: Generation, target: RouteTarget): Promise<boolean> {
		const {attempts, router, log} = this.options;
		const finish = router.begin(target.member.vm, generation.caller.route.service);
		let result: AttemptResultKind = 'failed';
		const call = createGenerateCall(generation, target);
		const signal = AbortSignal.any([generation.aborter.signal, AbortSignal.timeout(call.remainingMs)]);
		try {
			for await (const frame of attempts.open(target.member.address, call, signal)) {
				if (frame.kind === 'refused') {
					result = frame.code === 'overloaded' ? 'overloaded' : 'refused';
					return false;
				}

				generation.mayHaveRun = true;
				if (frame.kind === 'failed') {
					return false;
				}

				sendFrame(generation, frame);
				if (frame.kind === 'end') {
					result = 'answered';
					return true;
				}
			}

			return false;
		} catch (err) {
			result = signal.aborted ? 'abandoned' : 'failed';
			generation.mayHaveRun ||= !(err instanceof LinkError) || err.sent;
			log.info({
				event: 'attempt_failed', err, vm: target.member.vm, request_id: generation.caller.requestId, workspace: generation.caller.workspace,
			}, 'attempt failed');
			return false;
		} finally {
			finish(result);
		}
	}
}

function createGenerateCall(generation: Generation, target: RouteTarget): CallRequest {
	const {caller, body} = generation;
	return {
		attempt: newAttemptId(),
		requestId: caller.requestId,
		workspace: caller.workspace,
		service: caller.route.service,
		priority: caller.priority,
		remainingMs: Math.max(1, Math.ceil(caller.deadlineAtMs - performance.now())),
		ticket: null,
		work: {
			kind: 'generate', model: target.model ?? '', version: target.version ?? '', adapter: caller.route.adapter ?? null,
			prompt: body.prompt, maxTokens: body.max_tokens, resumeFrom: generation.sentTokens,
		},
	};
}

function sendFrame(generation: Generation, frame: CallFrame): void {
	const {res, caller} = generation;
	if (frame.kind === 'tokens') {
		if (!res.headersSent) {
			generation.version = frame.version;
			res.writeHead(200, {'content-type': 'application/x-ndjson', 'x-request-id': caller.requestId, 'x-model-version': frame.version});
		}

		res.write(frame.tokens.map(token => `${JSON.stringify({token})}\n`).join(''));
		generation.sentTokens += frame.tokens.length;
	} else if (frame.kind === 'end') {
		res.end(`${JSON.stringify({done: true, tokens: generation.sentTokens, version: generation.version})}\n`);
	}
}
