/** Aborts a request when its time is over. */
import type {ListeningClock} from '../runtime/pause-detector.ts';
import {SilenceTimer} from '../runtime/silence-timer.ts';
import type {PeerRequestOptions} from './peer-client.ts';

/** The time limit of one request. A timer that outlived the request, as that of `AbortSignal.timeout`, would wake the process up for nothing. */
export class RequestDeadline {
	/** Aborted when the time is over, or when the signal in the options is. */
	readonly signal: AbortSignal;
	private readonly timeoutMs: number;
	private readonly timer: SilenceTimer;

	/**
	 * @param clock - tells for how long this process could hear a response
	 * @param options - the time limit, and a signal that aborts the request earlier
	 * @param onTimeout - called before the request is aborted
	 */
	constructor(clock: ListeningClock, {timeoutMs, signal}: Pick<PeerRequestOptions, 'timeoutMs' | 'signal'>, onTimeout?: () => void) {
		const controller = new AbortController();
		this.timeoutMs = timeoutMs;
		this.signal = signal ? AbortSignal.any([signal, controller.signal]) : controller.signal;
		this.timer = new SilenceTimer(clock, () => {
			onTimeout?.();
			controller.abort(new Error(`no response within ${timeoutMs} ms`));
		});
	}

	/** Starts the time. */
	start(): void {
		this.timer.restart(this.timeoutMs);
	}

	/** Ends the deadline. */
	clear(): void {
		this.timer.stop();
	}
}
