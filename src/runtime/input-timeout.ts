/**
 * Timeouts that do not take a pause of this process for the silence of others.
 *
 * After a pause, the event loop runs the timers that are due before it reads what has arrived meanwhile. A timeout that ends a wait for
 * input therefore has to read first.
 */

/** A timeout that can be cleared. */
export type InputTimeout = {
	/** Keeps the callback from being called. */
	readonly clear: () => void;
};

/**
 * Calls back after a time, and after everything that had arrived by then has been read.
 *
 * @param callback - called once, unless the timeout is cleared
 * @param ms - the time, in milliseconds
 */
export function setInputTimeout(callback: () => void, ms: number): InputTimeout {
	let immediate: NodeJS.Immediate | undefined;
	const timer = setTimeout(() => {
		// An immediate runs after sockets are read. The second one leaves time for what the first reads set off.
		immediate = setImmediate(() => {
			immediate = setImmediate(callback);
		});
	}, ms);
	return {
		clear() {
			clearTimeout(timer);
			clearImmediate(immediate);
		},
	};
}
