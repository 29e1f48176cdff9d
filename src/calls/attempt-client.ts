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

		const watch = new AttemptWatch(call.remainingMs, options.callerGone);
		try {
			return await this.exchange(address, call, options, watch);
		} catch (err) {
			if (watch.reason === 'silent') {
				this.links.renew(address);
			}

			return {kind: watch.reason ?? (err instanceof LinkError && !err.sent ? 'unsent' : 'broken'), err: err as Error};
		} finally {
			watch.stop();
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

	private async exchange(address: string, call: CallRequest, options: AttemptOptions, watch: AttemptWatch): Promise<AttemptEnd> {
		const req = {method: 'POST', body: JSON.stringify(call)} as const;
		const res = await this.links.send(`http://${address}${callsPath}`, req, {timeoutMs: call.remainingMs, signal: watch.signal});
		let isWhole = false;
		try {
			if (res.status !== 200) {
				throw new BrokenAnswerError(`agent answered status ${res.status}`);
			}

			for await (const frame of readFrames(res.body, call)) {
				watch.pause();
				isWhole = frame.kind === 'end' || frame.kind === 'refused' || frame.kind === 'failed';
				if (frame.kind === 'refused' || frame.kind === 'failed') {
					return {kind: frame.kind, code: frame.code, err: new Error(frame.message)};
				}

				await options.onFrame(frame);
				watch.expectFrame();
			}

			return {kind: 'answered'};
		} finally {
			releaseBody(res.body, isWhole);
		}
	}
}

/** Ends an attempt at the deadline of the call, at its progress deadline, or when the caller is gone. */
class AttemptWatch {
	reason: 'expired' | 'silent' | undefined;
	private readonly aborter = new AbortController();
	private readonly deadline: NodeJS.Timeout;
	private readonly progress: NodeJS.Timeout;
	private paused = false;

	constructor(remainingMs: number, private readonly gone: AbortSignal) {
		this.deadline = setTimeout(() => {
			this.end('expired');
		}, remainingMs);
		this.progress = setTimeout(() => {
			// While the caller takes its time to read, the agent is not expected to send.
			if (!this.paused) {
				this.end('silent');
			}
		}, progressTimeoutMs);
		gone.addEventListener('abort', this);
		if (gone.aborted) {
			this.handleEvent();
		}
	}

	get signal(): AbortSignal {
		return this.aborter.signal;
	}

	pause(): void {
		this.paused = true;
	}

	expectFrame(): void {
		this.paused = false;
		this.progress.refresh();
	}

	stop(): void {
		clearTimeout(this.deadline);
		clearTimeout(this.progress);
		this.gone.removeEventListener('abort', this);
	}

	/** Ends the attempt when the caller is gone. */
	handleEvent(): void {
		this.aborter.abort();
	}

	private end(reason: 'expired' | 'silent'): void {
		this.reason ??= reason;
		this.aborter.abort();
	}
}
