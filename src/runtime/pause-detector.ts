/** Finds out that the process was paused, after which everything it believed may be out of date. */

/** How often the detector looks at the clock, in milliseconds. */
export const pauseCheckIntervalMs = 250;

/** A gap between two looks that counts as a pause, in milliseconds. */
export const pauseThresholdMs = 2000;

/** Calls its listeners when the event loop did not run for longer than the threshold. */
export class PauseDetector {
	private lastMs = performance.now();
	private readonly listeners = new Set<(gapMs: number) => void>();
	private readonly timer: NodeJS.Timeout;

	constructor() {
		this.timer = setInterval(() => {
			this.check();
		}, pauseCheckIntervalMs);
		this.timer.unref();
	}

	/**
	 * Compares expected and seen time now; callers about to act on old beliefs use it before the timer had its turn.
	 *
	 * @returns the length of the pause in milliseconds, or 0 when there was none
	 */
	check(): number {
		const nowMs = performance.now();
		const gapMs = nowMs - this.lastMs;
		this.lastMs = nowMs;
		if (gapMs < pauseThresholdMs) {
			return 0;
		}

		for (const listener of this.listeners) {
			listener(gapMs);
		}

		return gapMs;
	}

	/**
	 * Adds a listener that is called after each pause.
	 *
	 * @param listener - receives the length of the pause in milliseconds
	 */
	onResume(listener: (gapMs: number) => void): void {
		this.listeners.add(listener);
	}

	/** Stops the timer. */
	stop(): void {
		clearInterval(this.timer);
	}
}
