/** Measures the time to the first byte of one attempt, and reports once if it takes longer than almost all of its class. */
import {SilenceTimer} from '../runtime/silence-timer.ts';
import type {ListeningClock} from '../runtime/pause-detector.ts';
import type {CallBoundary} from './call-boundary.ts';
import type {AttemptClass, ServiceHedging} from './service-hedging.ts';

/** What a {@link FirstByteWatch} needs. */
export type FirstByteWatchOptions = {
	readonly hedging: ServiceHedging;
	readonly attemptClass: AttemptClass;
	/** Only time in which this process could hear something counts. */
	readonly clock: ListeningClock;
	/** Runs the report. */
	readonly boundary: CallBoundary;
	readonly onLate: () => void;
};

/** The watch of one attempt; it runs from the beginning, but only for calls that may run again, and while second attempts of late calls are turned on. */
export class FirstByteWatch {
	/** Whether the first byte is late and has not arrived. */
	isLate = false;
	/** After what time the first byte is late, in milliseconds; infinite if that is not known. */
	readonly lateAfterMs: number;
	private isEnded: boolean;
	private readonly startedAtMs = performance.now();
	private readonly timer: SilenceTimer | undefined;

	constructor(private readonly options: FirstByteWatchOptions) {
		const {hedging, attemptClass, clock, boundary, onLate} = options;
		this.isEnded = !hedging.isOn || attemptClass.route.kind === 'once';
		this.lateAfterMs = (this.isEnded ? undefined : hedging.findLateAfterMs(attemptClass, this.startedAtMs)) ?? Number.POSITIVE_INFINITY;
		if (Number.isFinite(this.lateAfterMs)) {
			this.timer = new SilenceTimer(clock, boundary.wrap('timer', () => {
				this.isLate = true;
				onLate();
			}));
			this.timer.restart(this.lateAfterMs);
		}
	}

	/** How long the attempt has waited, in milliseconds. */
	get waitedMs(): number {
		return performance.now() - this.startedAtMs;
	}

	/** Records the first byte of an answer; does nothing after the first one. */
	recordFirstByte(): void {
		this.end(true);
	}

	/** Ends the watch, because the attempt has ended or was answered with an error. A late attempt counts with the time that it has taken so far. */
	stop(): void {
		this.end(this.isLate);
	}

	private end(isMeasured: boolean): void {
		if (this.isEnded) {
			return;
		}

		this.isEnded = true;
		this.isLate = false;
		this.timer?.stop();
		if (isMeasured) {
			this.options.hedging.recordFirstByte(this.options.attemptClass, this.waitedMs, performance.now());
		}
	}
}
