/**
 * Blocks the event loop of this process after a time, as a machine without free processors does: timers that are due run before sockets are read.
 *
 * @param ms - when the block begins, in milliseconds
 * @param forMs - how long it lasts, in milliseconds
 */
export function blockAfter(ms: number, forMs: number): void {
	setTimeout(() => {
		setImmediate(() => {
			Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, forMs);
		});
	}, ms);
}
