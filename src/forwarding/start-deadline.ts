/** Ends the wait of a call that has not started when the version of weights it was sent to expires, also if that time changes meanwhile. */

import {type InputTimeout, setInputTimeout} from '../runtime/input-timeout.ts';
import type {CallBoundary} from './call-boundary.ts';

/** The maximum time between two looks at the time left, in milliseconds, since a clock jump or a late event loop shortens it without a call of {@link StartDeadline.check}. */
const maxCheckIntervalMs = 100;

/** The time until which one call may start; it depends on the announced versions and on how late this process runs. */
export class StartDeadline {
	/** How long the call could start when it was sent, in milliseconds. */
	readonly windowMs: number;
	private timeout: InputTimeout | undefined;
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
		this.timeout?.clear();
		const leftMs = this.timeLeftMs();
		if (!this.isStopped && leftMs < Number.POSITIVE_INFINITY) {
			this.timeout = setInputTimeout(this.boundary.wrap('timer', () => {
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
		this.timeout?.clear();
	}
}
