/** Watches whether the instance of one attempt sends something, and reports its silence. */
import type {ListeningClock} from '../runtime/pause-detector.ts';
import {type Silence, SilenceTimer} from '../runtime/silence-timer.ts';
import type {CallBoundary} from './call-boundary.ts';

/** The time until a silence that goes on is reported again, in milliseconds; it doubles each time. */
const reportIntervalsMs = {min: 500, max: 4000};

/** What a {@link SilenceWatch} needs. */
export type SilenceWatchOptions = {
	readonly clock: ListeningClock;
	/** Runs the reports. */
	readonly boundary: CallBoundary;
	/** How long the instance may send nothing before the first byte and after it, in milliseconds. */
	readonly limitsMs: {readonly first: number; readonly next: number};
	/** @param isFirstReport - whether the instance has sent something since the last report, or this is the first one */
	readonly onSilent: (isFirstReport: boolean) => void;
};

/** The watch of one attempt; it runs from the beginning. */
export class SilenceWatch {
	/** Whether the instance has sent nothing for too long. */
	isSilent = false;
	private readonly timer: SilenceTimer;
	private intervalMs = reportIntervalsMs.min;

	constructor(private readonly options: SilenceWatchOptions) {
		this.timer = new SilenceTimer(options.clock, options.boundary.wrap('timer', () => {
			this.report();
		}));
		this.timer.restart(options.limitsMs.first);
	}

	/** How long the instance has sent nothing. */
	get silence(): Silence {
		return this.timer.silence;
	}

	/** Starts the wait for the next byte. */
	restart(): void {
		this.isSilent = false;
		this.timer.restart(this.options.limitsMs.next);
	}

	/** Ends the watch until {@link restart}. */
	stop(): void {
		this.timer.stop();
	}

	private report(): void {
		const isFirstReport = !this.isSilent;
		this.isSilent = true;
		this.intervalMs = isFirstReport ? reportIntervalsMs.min : Math.min(reportIntervalsMs.max, this.intervalMs * 2);
		this.timer.extend(this.intervalMs);
		this.options.onSilent(isFirstReport);
	}
}
