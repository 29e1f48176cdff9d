/**
 * Takes back a call that has not started when the version of weights it was sent to expires, also if that time changes meanwhile.
 *
 * The time ends a permission. Unlike the end of a wait for input, it does not wait until what has arrived is read: a round of a busy event
 * loop takes long, and the upstream may start the call meanwhile.
 */
import type {CallBoundary} from './call-boundary.ts';

/** The maximum time between two looks at the time left, in milliseconds, since a clock jump or a late event loop shortens it without a call of {@link StartDeadline.check}. */
const maxCheckIntervalMs = 100;

/** The time until which one call may start; it depends on the announced versions and on how late this process runs. */
export class StartDeadline {
	/** How long the call could start when it was sent, in milliseconds. */
	readonly windowMs: number;
	private timer: NodeJS.Timeout | undefined;
	private isStopped = false;

	/**
	 * @param timeLeftMs - returns how long calls may still start on the version, in milliseconds; infinite unless a newer version was announced
	 * @param onPassed - called once when no time is left, never before the constructor has returned
	 * @param boundary - runs the timers
	 */
	constructor(private readonly timeLeftMs: () => number, private readonly onPassed: () => void, private readonly boundary: CallBoundary) {
		this.windowMs = timeLeftMs();
		this.check();
	}

	/**
	 * Returns whether a call that starts after the given time would start early enough.
	 *
	 * @param ms - the predicted time to the start of the call, in milliseconds
	 */
	allowsStartIn(ms: number): boolean {
		return ms <= this.timeLeftMs();
	}

	/** Applies a change of the announced versions; does nothing after {@link stop}. */
	check(): void {
		clearTimeout(this.timer);
		const leftMs = this.timeLeftMs();
		if (!this.isStopped && leftMs < Number.POSITIVE_INFINITY) {
			this.timer = setTimeout(this.boundary.wrap('timer', () => {
				if (this.timeLeftMs() > 0) {
					this.check();
				} else {
					this.onPassed();
				}
			}), Math.min(maxCheckIntervalMs, Math.max(0, leftMs)));
		}
	}

	/** Ends the check, because the call has started or ended. */
	stop(): void {
		this.isStopped = true;
		clearTimeout(this.timer);
	}
}
