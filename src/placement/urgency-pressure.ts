/**
 * Counts beside an engine how often more urgent calls are refused, and tells less urgent ones how many of them should give way.
 *
 * Answers the load of callers that ask for more than the engines can serve in time: each gateway sees only a few refusals, the counter
 * samples those of all gateways. No I/O, no clock.
 */

/** Urgencies are whole numbers from 0, the most urgent, up to this. */
export const leastUrgency = 9;

/** Number of calls of an urgency. */
export type CountByUrgency = readonly [urgency: number, calls: number];

/** Shares of the calls that should give way, by urgency; without the urgencies of which none should. */
export type YieldShares = ReadonlyArray<readonly [urgency: number, share: number]>;

/** What a gateway tells a counter with a question. */
export type UrgencyReport = {
	/** Urgency of the call that is to be placed. */
	readonly urgency: number;
	/** Whether this is the first question for a call that was not refused before. */
	readonly isNewCall: boolean;
	/** The new calls that the gateway has refused since its last question because the engines were full. */
	readonly refused: readonly CountByUrgency[];
};

/** Largest share of the calls of an urgency that gives way, so that the rest is served like any other call. */
export const maxYieldShare = 0.67;

const noYields: YieldShares = [];

/** Smaller shares are left out of answers. */
const minYieldShare = 0.01;

/** Increase of a share for each refusal of a more urgent call. */
const refusalStep = 0.1;

/**
 * Decrease of a share for each more urgent call that arrives: a fixed part, so that rare refusals have no effect, and a part of the
 * share, so that it settles in proportion to the refusals and does not swing between its bounds.
 */
const arrivalStep = 0.005;
const arrivalFactor = 0.02;

/** The least urgent calls give way first; the next ones follow when those do so to this part of the maximum. */
const nextUrgencyFrom = 0.9;

/** How long an urgency counts as present after its last call, in milliseconds. */
const presenceMs = 5000;

/** Time in which the shares fall to a third without reports, in milliseconds. */
const decayMs = 6000;

/** Maximum number of refusals that one report may carry for an urgency. */
export const maxReportedRefusals = 20;

/** Rounds and clamps a priority to an urgency. */
export function toUrgency(priority: number): number {
	return Number.isFinite(priority) ? Math.min(leastUrgency, Math.max(0, Math.round(priority))) : leastUrgency;
}

/** The shares of the calls that should give way, by urgency. */
export class UrgencyPressure {
	private readonly yieldShares = Array.from({length: leastUrgency + 1}, () => 0);
	private readonly lastCallMs = Array.from({length: leastUrgency + 1}, () => Number.NEGATIVE_INFINITY);
	private updatedAtMs = 0;

	/**
	 * Takes the report of a gateway.
	 *
	 * @param nowMs - the time, in milliseconds of a monotonic clock
	 */
	record({urgency, isNewCall, refused}: UrgencyReport, nowMs: number): void {
		this.decay(nowMs);
		const asking = toUrgency(urgency);
		this.lastCallMs[asking] = nowMs;
		if (isNewCall) {
			this.lower(asking);
		}

		for (const [refusedUrgency, calls] of refused) {
			this.raise(toUrgency(refusedUrgency), Math.min(maxReportedRefusals, Math.max(0, calls)) * refusalStep, nowMs);
		}
	}

	/**
	 * Returns the shares of the calls that should give way, for the urgencies where there are any.
	 *
	 * @param nowMs - the time, in milliseconds of a monotonic clock
	 */
	yields(nowMs: number): YieldShares {
		this.decay(nowMs);
		if (this.yieldShares.every(share => share < minYieldShare)) {
			return noYields;
		}

		return [...this.yieldShares.entries()].filter(([, share]) => share >= minYieldShare);
	}

	private lower(arrived: number): void {
		for (let urgency = arrived + 1; urgency <= leastUrgency; urgency++) {
			this.yieldShares[urgency] = Math.max(0, (this.yieldShares[urgency]! * (1 - arrivalFactor)) - arrivalStep);
		}
	}

	/** Raises the share of the least urgent calls that are less urgent than the refused ones and do not give way fully yet. */
	private raise(refused: number, step: number, nowMs: number): void {
		for (let urgency = leastUrgency; urgency > refused; urgency--) {
			if (nowMs - this.lastCallMs[urgency]! >= presenceMs) {
				continue;
			}

			const before = this.yieldShares[urgency]!;
			this.yieldShares[urgency] = Math.min(maxYieldShare, before + step);
			if (before < nextUrgencyFrom * maxYieldShare) {
				return;
			}
		}
	}

	private decay(nowMs: number): void {
		const factor = Math.exp(-Math.max(0, nowMs - this.updatedAtMs) / decayMs);
		this.updatedAtMs = Math.max(this.updatedAtMs, nowMs);
		for (const [urgency, share] of this.yieldShares.entries()) {
			this.yieldShares[urgency] = share * factor;
		}
	}
}
