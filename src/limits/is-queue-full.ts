/** Decides when an agent refuses calls because its upstream's queue is too long. */

/** Calls that may wait in an upstream, as a share of those that it runs at once. */
export const queueShare = 0.5;

/** Calls that may always wait, so that small upstreams stay busy between two calls. */
const minQueue = 2;

/**
 * Tells whether one more call would wait too long inside the upstream.
 *
 * @param running - calls that were forwarded and did not end
 * @param capacity - calls that the upstream runs at once
 */
export function isQueueFull(running: number, capacity: number): boolean {
	return running >= capacity + Math.max(minQueue, Math.ceil(capacity * queueShare));
}
