/** Admission check of an agent: refuses calls when its upstream's queue is too long. */

/** Number of calls that may queue in an upstream, as a fraction of the calls that it runs at once. */
export const maxQueuedFraction = 0.5;

/** Number of calls that may always queue, so that a small upstream has work between two calls. */
const minQueueLength = 2;

/**
 * Returns whether the upstream's queue is full, so that one more call would wait too long.
 *
 * @param inFlight - calls that were forwarded to the upstream and have not ended
 * @param capacity - calls that the upstream runs at once
 */
export function isQueueFull(inFlight: number, capacity: number): boolean {
	return inFlight >= capacity + Math.max(minQueueLength, Math.ceil(capacity * maxQueuedFraction));
}
