/** Reports that nothing was heard for too long; only time in which this process could hear something counts. */
import {type InputTimeout, setInputTimeout} from './input-timeout.ts';
import type {ListeningClock} from './pause-detector.ts';

/** How long nothing was heard, and for how much of that time this process did not run, in milliseconds. */
export type Silence = {readonly silentMs: number; readonly stalledMs: number};

/** The timer of one wait; it does not run until {@link restart}. */
export class SilenceTimer {
	private timeout: InputTimeout | undefined;
	private limitMs = 0;
	private heardAtMs = performance.now();
	private heardAtListeningMs: number;
	/** When the timeout ends at the earliest, by the listening clock; a restart within it needs no new one. */
	private endsAtListeningMs = Number.POSITIVE_INFINITY;

	/**
	 * @param clock - tells for how long this process could hear something
	 * @param onSilent - called once for each {@link restart} or {@link extend} that is not followed by another one or by {@link stop} in time
	 */
	constructor(private readonly clock: ListeningClock, private readonly onSilent: () => void) {
		this.heardAtListeningMs = clock.listeningMs;
	}

	/** The silence since the last {@link restart}. */
	get silence(): Silence {
		const silentMs = performance.now() - this.heardAtMs;
		return {silentMs: Math.round(silentMs), stalledMs: Math.round(Math.max(0, silentMs - this.listenedMs))};
	}

	/**
	 * Starts the wait again, because something was heard.
	 *
	 * @param limitMs - how long nothing may be heard, in milliseconds
	 */
	restart(limitMs: number): void {
		this.limitMs = limitMs;
		this.heardAtMs = performance.now();
		this.heardAtListeningMs = this.clock.listeningMs;
		if (!this.timeout || this.heardAtListeningMs + limitMs < this.endsAtListeningMs) {
			this.wait(limitMs);
		}
	}

	/**
	 * Waits for longer, although nothing was heard.
	 *
	 * @param ms - how much longer, in milliseconds
	 */
	extend(ms: number): void {
		this.limitMs = this.listenedMs + ms;
		this.wait(ms);
	}

	/** Ends the wait. */
	stop(): void {
		this.timeout?.clear();
		this.timeout = undefined;
	}

	private get listenedMs(): number {
		return this.clock.listeningMs - this.heardAtListeningMs;
	}

	private wait(ms: number): void {
		this.stop();
		this.endsAtListeningMs = this.clock.listeningMs + ms;
		this.timeout = setInputTimeout(() => {
			this.timeout = undefined;
			const leftMs = this.limitMs - this.listenedMs;
			if (leftMs > 0) {
				this.wait(leftMs);
			} else {
				this.onSilent();
			}
		}, Math.ceil(ms));
	}
}
