/** The entry's client for agents: sends one attempt of a call, or cancels an attempt and asks for its state. */
import {randomUUID} from 'node:crypto';
import {type AttemptId, createAttemptId} from '../ids/attempt-id.ts';
import {PeerRequestError, type PeerClient, releaseBody} from '../links/peer-client.ts';
import type {CallFrame} from '../messages/call-frame.ts';
import {type CallRequest, callsPath} from '../messages/call-request.ts';
import {
	callsCancelMethod, type CallsCancelParams, type CallsCancelResult, callsCancelResultSchema,
} from '../messages/calls-cancel.ts';
import {type InputTimeout, setInputTimeout} from '../runtime/input-timeout.ts';
import type {ListeningClock} from '../runtime/pause-detector.ts';
import {SilenceTimer} from '../runtime/silence-timer.ts';
import type {AttemptEndKind} from './decide-outcome.ts';
import {BrokenAnswerError} from './frame-checker.ts';
import {readFrames} from './frame-reader.ts';

/** Timeout of a `calls.cancel` request, in milliseconds. */
export const cancelTimeoutMs = 1500;

/** Longest time without a frame before an attempt counts as silent, in milliseconds. Agents send a progress frame every quarter of it. */
export const progressTimeoutMs = 2000;

/** The end of an attempt; `code` is the agent's code for a refusal or failure. */
export type AttemptEnd = {readonly kind: AttemptEndKind; readonly code?: string; readonly err?: Error};

/** Options of an attempt. */
export type AttemptOptions = {
	/** Called with each frame; the next frame is read once the returned promise resolves. */
	readonly onFrame: (frame: CallFrame) => Promise<void> | void;
	/** Aborted when the caller disconnects, which ends the attempt. */
	readonly callerGone: AbortSignal;
	/** Opens a new connection, since an earlier attempt went silent and the other open connections may be dead too. */
	readonly freshConnection?: boolean;
};

export function newAttemptId(): AttemptId {
	return createAttemptId(randomUUID());
}

/** Sends calls to agents and cancels them. */
export class AttemptClient {
	/** @param clock - tells for how long this process could hear agents */
	constructor(private readonly links: PeerClient, private readonly clock: ListeningClock) {}

	/**
	 * Sends a call and passes the frames of its answer to `onFrame`.
	 *
	 * @param address - address of the agent's control listener
	 * @returns how the attempt ended; errors are returned as an end, not thrown
	 */
	async run(address: string, call: CallRequest, options: AttemptOptions): Promise<AttemptEnd> {
		if (options.freshConnection) {
			this.links.replaceConnections(address);
		}

		const watchdog = new AttemptWatchdog(this.clock, call.remainingMs, options.callerGone);
		try {
			return await this.sendCall(address, call, options, watchdog);
		} catch (err) {
			if (watchdog.reason === 'silent') {
				this.links.replaceConnections(address);
			}

			return {kind: watchdog.reason ?? (err instanceof PeerRequestError && !err.sent ? 'unsent' : 'broken'), err: err as Error};
		} finally {
			watchdog.stop();
		}
	}

	/**
	 * Cancels a call over a fresh connection and returns its state. A call that has not started will never run.
	 *
	 * @param address - address of the agent's control listener
	 * @returns `unknown` if the agent does not answer
	 */
	async cancel(address: string, params: CallsCancelParams, timeoutMs: number = cancelTimeoutMs): Promise<CallsCancelResult> {
		try {
			const call = {method: callsCancelMethod, params};
			return await this.links.rpc(address, call, callsCancelResultSchema, {timeoutMs, freshConnection: true});
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
				throw new BrokenAnswerError(`agent responded with status ${res.status}`);
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

/** Aborts an attempt at the call's deadline, after `progressTimeoutMs` without a frame, or when the caller disconnects. */
class AttemptWatchdog {
	reason: 'expired' | 'silent' | undefined;
	private readonly abortController = new AbortController();
	private readonly deadline: InputTimeout;
	private readonly progressTimer: SilenceTimer;
	private paused = false;

	constructor(clock: ListeningClock, remainingMs: number, private readonly callerGone: AbortSignal) {
		this.deadline = setInputTimeout(() => {
			this.abortWith('expired');
		}, remainingMs);
		this.progressTimer = new SilenceTimer(clock, () => {
			// While a frame waits for a slow caller, the agent is not expected to send the next one.
			if (!this.paused) {
				this.abortWith('silent');
			}
		});
		this.progressTimer.restart(progressTimeoutMs);
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
		this.progressTimer.restart(progressTimeoutMs);
	}

	stop(): void {
		this.deadline.clear();
		this.progressTimer.stop();
		this.callerGone.removeEventListener('abort', this);
	}

	/** Handles the `abort` event of `callerGone`. */
	handleEvent(): void {
		this.abortController.abort();
	}

	private abortWith(reason: 'expired' | 'silent'): void {
		this.reason ??= reason;
		this.abortController.abort();
	}
}
