/** Detects that the process was paused, for example by a frozen VM. After a pause, all state received from other processes may be outdated. */
import {DecayingMaximum} from './decaying-maximum.ts';

/** The interval of the timer that checks for pauses, in milliseconds. */
const pauseCheckIntervalMs = 100;

/** The minimum time between two checks that counts as a pause, in milliseconds. */
export const pauseThresholdMs = 2000;

/** The minimum delay of a check that {@link PauseDetector.onDelay} reports, in milliseconds; shorter ones are common on a busy VM. */
const reportedDelayMs = 200;

/** How long a message may wait in its socket without a delay of the event loop that is noticed, in milliseconds. */
const unnoticedMessageDelayMs = 250;

/** The time after which {@link PauseDetector.recentDelayMs} counts a delay by half, in milliseconds. */
const delayHalfLifeMs = 2000;

/** A clock for silence: it stands still while the event loop does not run, since this process can hear nothing then. */
export type ListeningClock = {
	/** The time, in milliseconds. */
	readonly listeningMs: number;
};

/** A clock that pauses do not stop, for programs without a {@link PauseDetector}. */
export const monotonicClock: ListeningClock = {
	get listeningMs() {
		return performance.now();
	},
};

/** Calls its listeners after the event loop did not run for at least {@link pauseThresholdMs}. */
export class PauseDetector implements ListeningClock {
	private lastCheckAtMs = performance.now();
	private lastTickAtMs = performance.now();
	/** How long the event loop has not run since the start, without the delay of the next tick, in milliseconds. */
	private stalledMs = 0;
	private readonly recentDelay = new DecayingMaximum(delayHalfLifeMs);
	/** The delay of the last tick, or half of that of an earlier one for each tick since, while messages from before it may still wait. */
	private messageWaitMs = 0;
	private readonly listeners = new Set<(gapMs: number) => void>();
	private readonly delayListeners = new Set<(delayMs: number) => void>();
	private readonly tickListeners = new Set<() => void>();
	private readonly timer: NodeJS.Timeout;

	constructor() {
		this.timer = setInterval(() => {
			this.recordDelay();
			this.check();
			for (const listener of this.tickListeners) {
				listener();
			}
		}, pauseCheckIntervalMs);
		this.timer.unref();
	}

	/** The largest recent delay of the event loop, less the older it is, in milliseconds: how late a timer may run now. */
	get recentDelayMs(): number {
		return Math.max(this.recentDelay.value, this.tickDelayMs);
	}

	get listeningMs(): number {
		return performance.now() - this.totalStalledMs;
	}

	/** How long the event loop has not run since the start, in milliseconds. */
	get totalStalledMs(): number {
		return this.stalledMs + this.tickDelayMs;
	}

	/** How long a message that is read now may have waited in its socket, in milliseconds. */
	get maxMessageDelayMs(): number {
		return unnoticedMessageDelayMs + this.messageWaitMs + this.tickDelayMs;
	}

	/** How late the next tick is, in milliseconds. */
	private get tickDelayMs(): number {
		return Math.max(0, performance.now() - this.lastTickAtMs - pauseCheckIntervalMs);
	}

	/**
	 * Checks for a pause now, and calls the listeners if there was one.
	 *
	 * Code that is about to act on possibly outdated state calls this, because the timer may not have run yet after the pause.
	 *
	 * @returns the time since the last check if it counts as a pause, in milliseconds; otherwise 0
	 */
	check(): number {
		const nowMs = performance.now();
		const gapMs = nowMs - this.lastCheckAtMs;
		this.lastCheckAtMs = nowMs;
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
	 * @param listener - receives the time between the checks before and after the pause, in milliseconds
	 */
	onResume(listener: (gapMs: number) => void): void {
		this.listeners.add(listener);
	}

	/**
	 * Adds a listener that is called when the event loop ran a check late, which is how late it acts on timers and messages then.
	 *
	 * @param listener - receives the delay, in milliseconds
	 */
	onDelay(listener: (delayMs: number) => void): void {
		this.delayListeners.add(listener);
	}

	/** Adds a listener that is called with each check of the timer, for other checks that are due as often. */
	onTick(listener: () => void): void {
		this.tickListeners.add(listener);
	}

	/** Stops the timer. */
	stop(): void {
		clearInterval(this.timer);
	}

	private recordDelay(): void {
		const delayMs = this.tickDelayMs;
		this.recentDelay.record(delayMs);
		this.stalledMs += delayMs;
		this.messageWaitMs = Math.max(delayMs, this.messageWaitMs / 2);
		this.lastTickAtMs = performance.now();
		if (delayMs < reportedDelayMs) {
			return;
		}

		for (const listener of this.delayListeners) {
			listener(delayMs);
		}
	}
}
