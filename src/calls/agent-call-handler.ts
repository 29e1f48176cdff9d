/** The agent's call endpoint: records the call, forwards it at most once, and streams the answer as frames. */
import type http from 'node:http';
import VError from 'verror';
import {readBody} from '../links/http-listener.ts';
import type {RefusalCode} from '../messages/call-frame.ts';
import {type CallRequest, callRequestSchema} from '../messages/call-request.ts';
import type {Logger} from '../runtime/logger.ts';
import type {CallLedger, CallRecord} from './call-ledger.ts';
import {FrameWriter} from './frame-writer.ts';
import {type RunOptions, type Upstream, UpstreamStatusError} from './upstream.ts';

/** What the handler works with. */
export type AgentCallHandlerOptions = {
	readonly ledger: CallLedger;
	readonly upstream: Upstream;
	readonly log: Logger;
	readonly incarnation: string;
	/** The service that this agent offers. */
	readonly service: string;
	/** Whether the agent refuses new work. */
	readonly isDraining: () => boolean;
	/** Called before a call is forwarded; after a pause it lets the process find out that it was paused. */
	readonly beforeForward: () => void;
	/** Tells whether the upstream's queue is past its bound while so many calls run; absent: never. */
	readonly isOverloaded?: (runningCalls: number) => boolean;
};

/** Reports a call that must not be forwarded, found right before its first byte would have left. */
class CallRefusedError extends Error {
	constructor(readonly code: RefusalCode) {
		super(`call is refused: ${code}`);
	}
}

/** Runs calls for entries. */
export class AgentCallHandler {
	private running = 0;
	private readonly byVersion = new Map<string, number>();

	/** @param options - what the handler works with */
	constructor(private readonly options: AgentCallHandlerOptions) {}

	/** How many calls are accepted and not settled now. */
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
		const frameWriter = new FrameWriter(res, call.attempt);
		try {
			const decision = this.options.ledger.accept(call);
			switch (decision.kind) {
				case 'refuse': {
					frameWriter.refuse(decision.code);
					break;
				}

				case 'duplicate': {
					await answerDuplicate(decision.record, frameWriter);
					break;
				}

				case 'run': {
					await this.run(call, decision.record, frameWriter, this.computeDeadline(call, receivedAtMs));
					break;
				}
			}
		} finally {
			frameWriter.stop();
		}
	}

	/** The deadline in the agent's own clock also holds for a request that lay in a buffer, for example while the process was stopped. */
	private computeDeadline({remainingMs, agentDeadline}: CallRequest, receivedAtMs: number): number {
		const agentClockDeadlineMs = agentDeadline?.incarnation === this.options.incarnation ? agentDeadline.atMs : Infinity;
		return Math.min(receivedAtMs + remainingMs, agentClockDeadlineMs);
	}

	private async run(call: CallRequest, record: CallRecord, frameWriter: FrameWriter, deadlineAtMs: number): Promise<void> {
		this.updateRunningCounts(call, 1);
		const abortController = new AbortController();
		record.abort = () => {
			abortController.abort();
		};

		// Nobody reads the rest of a stream after its deadline or when its entry is gone; an operation's answer is still recorded.
		const isStream = call.work.kind === 'generate';
		const timer = isStream ? setTimeout(record.abort, Math.max(0, deadlineAtMs - performance.now())) : undefined;
		if (isStream) {
			frameWriter.onClose(record.abort);
		}

		try {
			const beforeSend = (): void => {
				this.checkBeforeSend(call, record, deadlineAtMs);
			};

			await this.forward(call, record, frameWriter, {signal: abortController.signal, beforeSend});
		} finally {
			clearTimeout(timer);
			this.updateRunningCounts(call, -1);
		}
	}

	private updateRunningCounts({work}: CallRequest, change: number): void {
		this.running += change;
		if (work.kind === 'generate') {
			const key = `${work.model}/${work.version}`;
			this.byVersion.set(key, (this.byVersion.get(key) ?? 0) + change);
		}
	}

	private checkBeforeSend(call: CallRequest, record: CallRecord, deadlineAtMs: number): void {
		this.options.beforeForward();
		const refusalCode = this.findRefusal(call, deadlineAtMs);
		if (refusalCode) {
			throw new CallRefusedError(refusalCode);
		}

		if (!this.options.ledger.markForwarded(record)) {
			throw new CallRefusedError('cancelled');
		}
	}

	private findRefusal(call: CallRequest, deadlineAtMs: number): RefusalCode | undefined {
		if (this.options.isDraining()) {
			return 'draining';
		}

		if (performance.now() >= deadlineAtMs) {
			return 'expired';
		}

		// A ticket may outlive a change of its route to another service; its call must not run at the old one.
		if (call.service !== this.options.service) {
			return 'wrong_service';
		}

		if (!this.options.upstream.serves(call)) {
			return 'version_not_served';
		}

		// The count includes this call itself.
		return this.options.isOverloaded?.(this.running - 1) === true ? 'overloaded' : undefined;
	}

	private async forward(call: CallRequest, record: CallRecord, frameWriter: FrameWriter, options: RunOptions): Promise<void> {
		const {ledger, upstream, log} = this.options;
		let result: {status: number; body: unknown} | undefined;
		try {
			const refusalCode = this.findRefusal(call, Infinity);
			if (refusalCode) {
				throw new CallRefusedError(refusalCode);
			}

			for await (const event of upstream.run(call, options)) {
				if (event.kind === 'result') {
					result = {status: event.status, body: event.body};
					// The answer is kept before it is sent, so that a slow or lost entry cannot keep it from a repeat.
					ledger.markFinished(record, result);
				}

				await frameWriter.write(event.kind === 'tokens' ? {...event, tokens: [...event.tokens]} : event);
			}

			ledger.markFinished(record, result);
			frameWriter.end();
		} catch (err) {
			this.settleFailure(record, frameWriter, err as Error);
			log.warn({
				event: 'call_failed', err, state: record.state, request_id: call.requestId, workspace: call.workspace,
			}, 'upstream did not finish the call');
		}
	}

	private settleFailure(record: CallRecord, frameWriter: FrameWriter, err: Error): void {
		// Only a call that was never written to the upstream can become a tombstone.
		if (this.options.ledger.markNotRun(record)) {
			frameWriter.refuse(refusalCodeOf(err, record));
			return;
		}

		this.options.ledger.markFinished(record, undefined);
		frameWriter.fail(err instanceof UpstreamStatusError ? 'upstream_failed' : 'outcome_unknown', err.message);
	}
}

function refusalCodeOf(err: Error, record: CallRecord): RefusalCode {
	const cause = err instanceof VError ? VError.cause(err) : err;
	if (cause instanceof CallRefusedError) {
		return cause.code;
	}

	return record.cancelled ? 'cancelled' : 'upstream_unreachable';
}

async function answerDuplicate(record: CallRecord, frameWriter: FrameWriter): Promise<void> {
	await record.settled;
	if (record.state === 'finished' && record.answer) {
		await frameWriter.write({kind: 'head', version: null});
		await frameWriter.write({kind: 'result', status: record.answer.status, body: record.answer.body});
		frameWriter.end();
	} else if (record.state === 'tombstone') {
		frameWriter.refuse('cancelled');
	} else {
		frameWriter.fail('outcome_unknown', 'an earlier try of this call did not finish');
	}
}
