/**
 * Decides what a call may use of an instance while more urgent calls are refused. No I/O, no clock.
 *
 * Without that pressure there is no limit. A part of the less urgent calls is never limited, so that no kind, size or workspace starves.
 */
/** What a call may use of an instance; absent where no more urgent calls are refused. */
export type UrgencyLimit = {
	/** Whether the call gives way to more urgent ones. */
	readonly givesWay: boolean;
	/** Share of the slots of an instance up to which the call may be placed there. */
	readonly slotShare: number;
	/** The same once the call has missed its target time. */
	readonly lateSlotShare: number;
};

/** What the limit of a call depends on. */
export type UrgencyInput = {
	/** Share of the calls of its urgency that should give way. */
	readonly yieldShare: number;
	/** Whether the caller returns after a refusal. */
	readonly isReturning: boolean;
	/** Where the call stands among those of its urgency, from 0 to below 1, at random; the first ones give way. */
	readonly rank: number;
};

/** A call that gives way may still use instances with fewer calls than this share of their slots. */
const yieldingSlotShare = 0.75;

/** Under pressure, late calls may use this share of the slots, more than otherwise: most of them return after a refusal, and should not be refused twice. */
const returningSlotShare = 0.58;

/** Returns the limit of a call at a service where calls give way. */
export function limitByUrgency({yieldShare, isReturning, rank}: UrgencyInput): UrgencyLimit {
	const givesWay = !isReturning && rank < yieldShare;
	return {givesWay, slotShare: givesWay ? yieldingSlotShare : Number.POSITIVE_INFINITY, lateSlotShare: returningSlotShare};
}
