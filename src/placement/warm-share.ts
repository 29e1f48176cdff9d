/**
 * Decides how much of an instance that was cold, slow or out of use may be used already. No I/O, no clock.
 *
 * An instance that comes back is the emptiest one, so that all gateways would choose it at once.
 */

/** Share of the slots that is used at first. */
const firstShare = 0.35;

/** Time from the first share to all slots, in milliseconds. */
const riseMs = 2000;

/**
 * Returns the share of its slots that an instance may use, from 0 to 1.
 *
 * @param nowMs - the time
 * @param risesFromMs - when the instance started, stopped being cold, and its zone was returned to; in the future while it is cold
 */
export function warmShare(nowMs: number, ...risesFromMs: readonly number[]): number {
	const warmMs = Math.max(0, nowMs - Math.max(...risesFromMs));
	return Math.min(1, firstShare + ((1 - firstShare) * warmMs / riseMs));
}
