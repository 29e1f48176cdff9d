/** Reports that an upstream has sent nothing for too long. */
import type {CallBoundary} from './call-boundary.ts';

/** The timer of one attempt; it does not run until {@link restart}. */
export class StallTimer {
	private timer: NodeJS.Timeout | undefined;
	private readonly onSilent: () => void;

	/**
	 * @param onSilent - called once for each restart that is not followed by another one or by {@link stop} in time
	 * @param boundary - runs the timer
	 */
	constructor(onSilent: () => void, boundary: CallBoundary) {
		this.onSilent = boundary.wrap('timer', onSilent);
	}

	/**
	 * Restarts the timer.
	 *
	 * @param limitMs - how long the upstream may stay silent, in milliseconds
	 */
	restart(limitMs: number): void {
		this.stop();
		this.timer = setTimeout(this.onSilent, limitMs);
	}

	/** Stops the timer. */
	stop(): void {
		clearTimeout(this.timer);
	}
}
