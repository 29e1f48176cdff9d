/** One attempt of an entry at one agent, and the question what became of it. */
import {randomUUID} from 'node:crypto';
import {type AttemptId, createAttemptId} from '../ids/attempt-id.ts';
import {LinkError, type PeerClient, releaseBody} from '../links/peer-client.ts';
import type {CallFrame} from '../messages/call-frame.ts';
import {type CallRequest, callsPath} from '../messages/call-request.ts';
import {
	callsCancelMethod, type CallsCancelParams, type CallsCancelResult, callsCancelResultSchema,
} from '../messages/calls-cancel.ts';
import type {AttemptEndKind} from './decide-outcome.ts';
import {BrokenAnswerError} from './frame-checker.ts';
import {readFrames} from './frame-reader.ts';

/** How long the agent may take to say what became of a call, in milliseconds. */
export const cancelTimeoutMs = 1500;

/** How long an attempt may receive no frame, in milliseconds; agents send a progress frame four times as often. */
export const progressTimeoutMs = 2000;

/** How an attempt ended; `code` is the agent's code of a refusal or failure. */
export type AttemptEnd = {readonly kind: AttemptEndKind; readonly code?: string; readonly err?: Error};

/** How an attempt may take place. */
export type AttemptOptions = {
	/** Receives each frame; the next one is read when its promise resolves. */
	readonly onFrame: (frame: CallFrame) => Promise<void> | void;
	/** Ends the attempt when the caller is gone. */
	readonly callerGone: AbortSignal;
	/** Uses a connection that was not open before, since an earlier attempt went silent and other old connections may have too. */
	readonly freshConnection?: boolean;
};

/** Creates the id of a new attempt. */
export function newAttemptId(): AttemptId {
	return createAttemptId(randomUUID());
}

/** Sends calls to agents. */
export class AttemptClient {
	/** @param links - sends the requests */
	constructor(private readonly links: PeerClient) {}

	/**
	 * Sends a call and hands over the frames of its answer.
	 *
	 * @param address - the agent's control listener
	 * @param call - the call
	 * @param options - receives the frames
	 * @returns how the attempt ended
	 */
	async run(address: string, call: CallRequest, options: AttemptOptions): Promise<AttemptEnd> {
		if (options.freshConnection) {
			this.links.renew(address);
		}

		const watchdog = new AttemptWatchdog(call.remainingMs, options.callerGone);
		try {
			return await this.sendCall(address, call, options, watchdog);
		} catch (err) {
			if (watchdog.reason === 'silent') {
				this.links.renew(address);
			}

			return {kind: watchdog.reason ?? (err instanceof LinkError && !err.sent ? 'unsent' : 'broken'), err: err as Error};
		} finally {
			watchdog.stop();
		}
	}

	/**
	 * Asks over a fresh connection what became of a call; what has not started never will.
	 *
	 * @param address - the agent's control listener
	 * @param params - names the call
	 * @param timeoutMs - how long to wait for the answer, in milliseconds
	 * @returns `unknown` when the agent does not answer
	 */
	async cancel(address: string, params: CallsCancelParams, timeoutMs: number = cancelTimeoutMs): Promise<CallsCancelResult> {
		try {
			const call = {method: callsCancelMethod, params};
			return await this.links.rpc(address, call, callsCancelResultSchema, {timeoutMs, fresh: true});
		} catch {
			return {state: 'unknown'};
		}
	}

	private async sendCall(address: string, call: CallRequest, options: AttemptOptions, watchdog: AttemptWatchdog): Promise<AttemptEnd> {
		const req = {method: 'POST', body: JSON.stringify(call)} as const;
		const res = await this.links.send(`http://${address}${callsPath}`, req, {timeoutMs: call.remainingMs, signal: watchdog.signal});
		let isComplete = false;
		try {
			if (res.status !== 200) {
				throw new BrokenAnswerError(`agent answered status ${res.status}`);
			}

			for await (const frame of readFrames(res.body, call)) {
				watchdog.pause();
				isComplete = frame.kind === 'end' || frame.kind === 'refused' || frame.kind === 'failed';
				if (frame.kind === 'refused' || frame.kind === 'failed') {
					return {kind: frame.kind, code: frame.code, err: new Error(frame.message)};
				}

				await options.onFrame(frame);
				watchdog.expectFrame();
			}

			return {kind: 'answered'};
		} finally {
			releaseBody(res.body, isComplete);
		}
	}
}

/** Ends an attempt at the deadline of the call, at its progress deadline, or when the caller is gone. */
class AttemptWatchdog {
	reason: 'expired' | 'silent' | undefined;
	private readonly abortController = new AbortController();
	private readonly deadlineTimer: NodeJS.Timeout;
	private readonly progressTimer: NodeJS.Timeout;
	private paused = false;

	constructor(remainingMs: number, private readonly callerGone: AbortSignal) {
		this.deadlineTimer = setTimeout(() => {
			this.abortWith('expired');
		}, remainingMs);
		this.progressTimer = setTimeout(() => {
			// While the caller takes its time to read, the agent is not expected to send.
			if (!this.paused) {
				this.abortWith('silent');
			}
		}, progressTimeoutMs);
		callerGone.addEventListener('abort', this);
		if (callerGone.aborted) {
			this.handleEvent();
		}
	}

	get signal(): AbortSignal {
		return this.abortController.signal;
	}

	pause(): void {
		this.paused = true;
	}

	expectFrame(): void {
		this.paused = false;
		this.progressTimer.refresh();
	}

	stop(): void {
		clearTimeout(this.deadlineTimer);
		clearTimeout(this.progressTimer);
		this.callerGone.removeEventListener('abort', this);
	}

	/** Ends the attempt when the caller is gone. */
	handleEvent(): void {
		this.abortController.abort();
	}

	private abortWith(reason: 'expired' | 'silent'): void {
		this.reason ??= reason;
		this.abortController.abort();
	}
}
