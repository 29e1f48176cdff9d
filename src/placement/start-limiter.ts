/** Decides for one cold instance which starts are granted, over all gateways. No I/O, no clock. */
import type {GrantSpacing} from './cold-quota.ts';

/** The decision about one start, and after what time the next one is expected to be allowed, in milliseconds. */
export type StartDecision = {readonly isAllowed: boolean; readonly waitMs: number};

/** Upper bound of the time after which a refused gateway may ask again, in milliseconds. */
const maxWaitMs = 1000;

/** Spaces the granted starts, as the authority beside the instance. */
export class StartLimiter {
	/** When the next start is due if all are spaced evenly, in milliseconds; undefined before the first claim. */
	private dueMs: number | undefined;
	/** Claims refused since the last granted one. */
	private refused = 0;

	/** @param startedAtMs - when this process started; an earlier one may have granted starts until then */
	constructor(private readonly startedAtMs: number) {}

	/**
	 * Grants a start, or refuses it. Each refused claim is given a later time than the ones before it, so that those that ask again do not
	 * all come at once.
	 *
	 * @param nowMs - the time, in milliseconds of the monotonic clock
	 * @param spacing - how starts are spaced
	 */
	claim(nowMs: number, {intervalMs, toleranceMs}: GrantSpacing): StartDecision {
		const dueMs = this.dueMs ?? this.startedAtMs + intervalMs + toleranceMs;
		const waitMs = dueMs - toleranceMs - nowMs;
		if (waitMs > 0) {
			this.dueMs = dueMs;
			const laterMs = this.refused++ * intervalMs;
			return {isAllowed: false, waitMs: Math.max(waitMs, Math.min(maxWaitMs, waitMs + laterMs))};
		}

		this.refused = 0;
		this.dueMs = Math.max(dueMs, nowMs) + intervalMs;
		return {isAllowed: true, waitMs: Math.max(0, this.dueMs - toleranceMs - nowMs)};
	}
}
