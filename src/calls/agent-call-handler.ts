/** The agent's call endpoint: records each call, forwards it to the upstream at most once, and streams the answer as frames. */
import type http from 'node:http';
import VError from 'verror';
import {readBody} from '../links/read-body.ts';
import type {RefusalCode} from '../messages/call-frame.ts';
import {type CallRequest, callRequestSchema} from '../messages/call-request.ts';
import {setInputTimeout} from '../runtime/input-timeout.ts';
import type {Logger} from '../runtime/logger.ts';
import type {CallLedger, CallRecord} from './call-ledger.ts';
import {FrameWriter} from './frame-writer.ts';
import {type RunOptions, type Upstream, UpstreamStatusError} from './upstream.ts';

/** Dependencies and settings of the handler. */
export type AgentCallHandlerOptions = {
	readonly ledger: CallLedger;
	readonly upstream: Upstream;
	readonly log: Logger;
	readonly incarnation: string;
	/** The service that this agent runs calls for. */
	readonly service: string;
	/** Whether the agent is draining and refuses new calls. */
	readonly isDraining: () => boolean;
	/** Called right before a call is forwarded, so that a process that was paused can detect the pause first. */
	readonly beforeForward: () => void;
	/** Whether the upstream's queue exceeds its limit with this many running calls; if absent, no call is refused as overloaded. */
	readonly isOverloaded?: (runningCalls: number) => boolean;
};

/** Thrown when a call must not be forwarded. The last check runs right before the first byte is sent to the upstream. */
class CallRefusedError extends Error {
	constructor(readonly code: RefusalCode) {
		super(`call refused: ${code}`);
	}
}

/** Handles `POST /calls` requests from entries. */
export class AgentCallHandler {
	private running = 0;
	private readonly byVersion = new Map<string, number>();

	constructor(private readonly options: AgentCallHandlerOptions) {}

	/** Number of calls that are accepted and not yet settled. */
	get runningCalls(): number {
		return this.running;
	}

	/** Number of running generations by `model/version`. */
	get runningByVersion(): ReadonlyMap<string, number> {
		return this.byVersion;
	}

	/** Handles one `POST /calls` request. */
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

	/**
	 * Returns the earlier of two deadlines: the time left when the request was read, and the deadline in the agent's own clock.
	 *
	 * The second one still holds for a request that waited in a buffer, for example while the process was stopped.
	 */
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

		// Abort a generation at its deadline or when its entry disconnects, since nobody reads the rest. An operation runs on, so that
		// its answer can be recorded.
		const isStream = call.work.kind === 'generate';
		const deadline = isStream ? setInputTimeout(record.abort, Math.max(0, deadlineAtMs - performance.now())) : undefined;
		if (isStream) {
			frameWriter.onClose(record.abort);
		}

		try {
			const beforeSend = (): void => {
				this.checkBeforeSend(call, record, deadlineAtMs);
			};

			await this.forward(call, record, frameWriter, {signal: abortController.signal, beforeSend});
		} finally {
			deadline?.clear();
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

		// A route may move to another service after its ticket was issued; the call must not run at the old service.
		if (call.service !== this.options.service) {
			return 'wrong_service';
		}

		if (!this.options.upstream.serves(call)) {
			return 'version_not_served';
		}

		// `running` includes this call.
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
					// Record the answer before sending it, so that a retry gets it even if this entry is slow or disconnects.
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
			}, 'call did not complete at the upstream');
		}
	}

	private settleFailure(record: CallRecord, frameWriter: FrameWriter, err: Error): void {
		// Only a call that was not yet forwarded to the upstream can become a tombstone.
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
