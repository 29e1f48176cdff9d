/** The agent's call endpoint: records the call, forwards it at most once, and streams the answer as frames. */
import type http from 'node:http';
import {LinkError} from '../links/peer-client.ts';
import {readBody} from '../links/http-listener.ts';
import type {CallFrame, RefusalCode} from '../messages/call-frame.ts';
import {type CallRequest, callRequestSchema} from '../messages/call-request.ts';
import type {Logger} from '../runtime/logger.ts';
import type {CallLedger, CallRecord} from './call-ledger.ts';
import type {Upstream} from './upstream.ts';

/** What the handler works with. */
export type AgentCallHandlerOptions = {
	readonly ledger: CallLedger;
	readonly upstream: Upstream;
	readonly log: Logger;
	/** Whether the agent refuses new work. */
	readonly isDraining: () => boolean;
	/** Called before a call is forwarded; after a pause it lets the process find out that it was paused. */
	readonly beforeForward: () => void;
};

type FrameBody = CallFrame extends infer Frame ? Frame extends CallFrame ? Omit<Frame, 'attempt' | 'seq'> : never : never;

/** Runs calls for entries. */
export class AgentCallHandler {
	private running = 0;
	private readonly byVersion = new Map<string, number>();

	/** @param options - what the handler works with */
	constructor(private readonly options: AgentCallHandlerOptions) {}

	/** How many calls run at the upstream now. */
	get runningCalls(): number {
		return this.running;
	}

	/** Calls that run now, by `model/version`. */
	get runningByVersion(): ReadonlyMap<string, number> {
		return this.byVersion;
	}

	/** Handles `POST /calls`. */
	async handle(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		const receivedAtMs = performance.now();
		const call = callRequestSchema.parse(JSON.parse(await readBody(req)));
		const answer = new FrameWriter(res, call.attempt);
		const deadlineAtMs = receivedAtMs + call.remainingMs;
		const decision = this.options.ledger.accept(call);
		switch (decision.kind) {
			case 'refuse': {
				answer.refuse(decision.code);
				break;
			}

			case 'duplicate': {
				await this.answerDuplicate(decision.record, answer);
				break;
			}

			case 'run': {
				await this.run(call, decision.record, answer, deadlineAtMs);
				break;
			}
		}
	}

	private async answerDuplicate(record: CallRecord, answer: FrameWriter): Promise<void> {
		await record.settled;
		if (record.state === 'finished' && record.answer) {
			answer.write({kind: 'head', version: null});
			answer.write({kind: 'result', status: record.answer.status, body: record.answer.body});
			answer.end();
		} else if (record.state === 'tombstone') {
			answer.refuse('cancelled');
		} else {
			answer.fail('outcome_unknown', 'an earlier try of this call did not finish');
		}
	}

	private async run(call: CallRequest, record: CallRecord, answer: FrameWriter, deadlineAtMs: number): Promise<void> {
		const {ledger} = this.options;
		this.options.beforeForward();
		const refusal = this.refusalBeforeForward(call, deadlineAtMs);
		if (refusal) {
			ledger.bury(record);
			answer.refuse(refusal);
			return;
		}

		if (!ledger.forward(record)) {
			answer.refuse('cancelled');
			return;
		}

		this.count(call, 1);
		try {
			await this.forward(call, record, answer);
		} finally {
			this.count(call, -1);
		}
	}

	private count(call: CallRequest, change: number): void {
		this.running += change;
		if (call.work.kind === 'generate') {
			const key = `${call.work.model}/${call.work.version}`;
			this.byVersion.set(key, (this.byVersion.get(key) ?? 0) + change);
		}
	}

	private refusalBeforeForward(call: CallRequest, deadlineAtMs: number): RefusalCode | undefined {
		if (this.options.isDraining()) {
			return 'draining';
		}

		if (performance.now() >= deadlineAtMs) {
			return 'expired';
		}

		return this.options.upstream.serves(call) ? undefined : 'version_not_served';
	}

	private async forward(call: CallRequest, record: CallRecord, answer: FrameWriter): Promise<void> {
		const {ledger, upstream, log} = this.options;
		const aborter = new AbortController();
		record.abort = () => {
			aborter.abort();
		};

		if (call.work.kind === 'generate') {
			// Nobody reads the rest of a stream whose entry is gone; an operation's answer is still recorded.
			answer.onClose(record.abort);
		}

		let result: {status: number; body: unknown} | undefined;
		try {
			for await (const event of upstream.run(call, aborter.signal)) {
				if (event.kind === 'result') {
					result = {status: event.status, body: event.body};
				}

				answer.write(event.kind === 'tokens' ? {...event, tokens: [...event.tokens]} : event);
			}

			ledger.finish(record, result);
			answer.end();
		} catch (err) {
			log.warn({
				event: 'call_failed', err, request_id: call.requestId, workspace: call.workspace,
			}, 'upstream did not finish the call');
			this.settleFailure(record, answer, err as Error);
		}
	}

	private settleFailure(record: CallRecord, answer: FrameWriter, err: Error): void {
		if (err instanceof LinkError && !err.sent) {
			this.options.ledger.bury(record);
			answer.refuse('upstream_unreachable');
			return;
		}

		this.options.ledger.finish(record, undefined);
		answer.fail('upstream_failed', err.message);
	}
}

/** Writes the frames of one answer. */
class FrameWriter {
	private seq = 0;
	private tokens = 0;

	/**
	 * @param res - the response, with nothing sent yet
	 * @param attempt - the attempt that the frames answer
	 */
	constructor(private readonly res: http.ServerResponse, private readonly attempt: string) {}

	/**
	 * Calls a function when the entry closes the connection before the answer ended.
	 *
	 * @param listener - the function
	 */
	onClose(listener: () => void): void {
		this.res.once('close', () => {
			if (!this.res.writableFinished) {
				listener();
			}
		});
	}

	/**
	 * Writes one frame.
	 *
	 * @param body - the frame without attempt and position
	 */
	write(body: FrameBody): void {
		if (this.seq === 0) {
			this.res.writeHead(200, {'content-type': 'application/x-ndjson'});
		}

		if (body.kind === 'tokens') {
			this.tokens += body.tokens.length;
		}

		this.res.write(`${JSON.stringify({attempt: this.attempt, seq: this.seq, ...body})}\n`);
		this.seq++;
	}

	/** Ends a whole answer. */
	end(): void {
		this.write({kind: 'end', tokens: this.tokens});
		this.res.end();
	}

	/**
	 * Ends the answer of a call that did not reach the upstream.
	 *
	 * @param code - the reason
	 */
	refuse(code: RefusalCode): void {
		this.write({kind: 'refused', code, message: `call was refused before it reached the upstream: ${code}`});
		this.res.end();
	}

	/**
	 * Ends the answer of a call that reached the upstream and did not finish.
	 *
	 * @param code - the reason
	 * @param message - one sentence
	 */
	fail(code: string, message: string): void {
		this.write({kind: 'failed', code, message});
		this.res.end();
	}
}
