/** Ends a call whose time is up: at its timeout or the caller's deadline, or a little later if its response has begun. */
import {type InputTimeout, setInputTimeout} from '../runtime/input-timeout.ts';
import type {CallBoundary} from './call-boundary.ts';

/** How long a response that has begun may run past the time, in milliseconds. */
const startedGraceMs = 100;

/** What the timeout of a call needs to know. */
export type CallTimeoutOptions = {
	/** When the call expires, in milliseconds of the monotonic clock. */
	readonly expiresAtMs: number;
	readonly hasStarted: () => boolean;
	readonly onTimeout: () => void;
	/** Runs the timers. */
	readonly boundary: CallBoundary;
};

/** The timeout of one call. */
export class CallTimeout {
	private timeout: InputTimeout | undefined;

	/** @param options - the time and the callbacks */
	constructor(private readonly options: CallTimeoutOptions) {}

	/** Starts the timer. */
	start(): void {
		this.wait(this.options.expiresAtMs, () => {
			if (this.options.hasStarted()) {
				this.wait(this.options.expiresAtMs + startedGraceMs, this.options.onTimeout);
			} else {
				this.options.onTimeout();
			}
		});
	}

	/** Stops the timer, because the call has ended. */
	stop(): void {
		this.timeout?.clear();
	}

	private wait(untilMs: number, listener: () => void): void {
		this.timeout = setInputTimeout(this.options.boundary.wrap('timer', listener), Math.max(1, untilMs - performance.now()));
	}
}
