/**
 * A clock for lower bounds of the time at which something happened elsewhere.
 *
 * The monotonic clock stands still while a VM is suspended, and the wall clock does not. This clock advances with the monotonic clock, and
 * by each forward jump of the wall clock against it. If the wall clock was only set, the bounds are too early until tighter ones arrive.
 */

/** The minimum jump that counts as one, in milliseconds; smaller ones between two checks come from the adjustment of the wall clock. */
const minJumpMs = 100;

/** How long a message may be under way, in milliseconds: links that carry weights hold messages up for about a second. */
const maxUnderWayMs = 1500;

/** Tells the time, and when a message that is read now may have been sent. */
export class ElapsedClock {
	/** The sum of the jumps so far, in milliseconds. */
	private jumpedMs = 0;
	private lastJump = {atMs: Number.NEGATIVE_INFINITY, jumpMs: 0};
	private offsetMs = readOffsetMs();
	private readonly listeners = new Set<(jumpMs: number) => void>();

	/** @param maxDelayMs - returns how long a message that is read now may have waited in a socket, in milliseconds */
	constructor(private readonly maxDelayMs: () => number = () => 0) {}

	/** The time, in milliseconds. */
	get nowMs(): number {
		this.check();
		return performance.now() + this.jumpedMs;
	}

	/**
	 * The earliest time at which a message that is read now was sent, if its sender does not answer a request whose time is known. It lies
	 * seconds back, so bounds that count from it are provisional, and answers to own requests replace them.
	 */
	get sentAfterMs(): number {
		return this.arrivedAfter(maxUnderWayMs);
	}

	/** The earliest time at which a message that is read now has arrived. */
	get arrivedAfterMs(): number {
		return this.arrivedAfter(0);
	}

	/** Adds a listener that is called with the length of each jump, in milliseconds. */
	onJump(listener: (jumpMs: number) => void): void {
		this.listeners.add(listener);
	}

	/** Looks for a jump since the last check; code that is about to act on bounds calls this. */
	check(): void {
		const offsetMs = readOffsetMs();
		const jumpMs = offsetMs - this.offsetMs;
		this.offsetMs = offsetMs;
		if (jumpMs < minJumpMs) {
			return;
		}

		this.jumpedMs += jumpMs;
		this.lastJump = {atMs: performance.now(), jumpMs};
		for (const listener of this.listeners) {
			listener(jumpMs);
		}
	}

	/** Converts a time of this clock to the monotonic time that it stands for as far as is known now. */
	toMonotonicMs(timeMs: number): number {
		return timeMs - this.jumpedMs;
	}

	private arrivedAfter(underWayMs: number): number {
		const {nowMs} = this;
		const maxDelayMs = underWayMs + this.maxDelayMs();
		const {atMs, jumpMs} = this.lastJump;
		return nowMs - maxDelayMs - (performance.now() - atMs <= maxDelayMs ? jumpMs : 0);
	}
}

function readOffsetMs(): number {
	return Date.now() - performance.now();
}
