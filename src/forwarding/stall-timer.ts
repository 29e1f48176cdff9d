/** Reports that an upstream has sent nothing for too long. */
import type {ListeningClock} from '../runtime/pause-detector.ts';
import type {CallBoundary} from './call-boundary.ts';

/** How long nothing was heard, and for how much of that time this process did not run, in milliseconds. */
export type Silence = {readonly silentMs: number; readonly stalledMs: number};

/** The timer of one attempt; it does not run until {@link restart}. */
export class StallTimer {
	private timer: NodeJS.Timeout | undefined;
	private readonly onSilent: () => void;
	private startedAtMs = 0;
	private startedAtListeningMs = 0;

	/**
	 * @param onSilent - called once for each restart that is not followed by another one or by {@link stop} in time
	 * @param boundary - runs the timer
	 * @param clock - tells for how long this process could hear something
	 */
	constructor(onSilent: () => void, boundary: CallBoundary, private readonly clock: ListeningClock) {
		this.onSilent = boundary.wrap('timer', onSilent);
	}

	/** The silence since the last {@link restart}, for the log. */
	get silence(): Silence {
		const silentMs = performance.now() - this.startedAtMs;
		const listenedMs = this.clock.listeningMs - this.startedAtListeningMs;
		return {silentMs: Math.round(silentMs), stalledMs: Math.round(Math.max(0, silentMs - listenedMs))};
	}

	/**
	 * Restarts the timer.
	 *
	 * @param limitMs - how long the upstream may stay silent, in milliseconds
	 */
	restart(limitMs: number): void {
		this.stop();
		this.startedAtMs = performance.now();
		this.startedAtListeningMs = this.clock.listeningMs;
		this.timer = setTimeout(this.onSilent, limitMs);
	}

	/** Stops the timer. */
	stop(): void {
		clearTimeout(this.timer);
	}
}
