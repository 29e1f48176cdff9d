/**
 * Memory that requests share: for their bodies, for their heads, or for what is parsed of them.
 *
 * Large requests may wait for room in the order of their arrival: the caller's connection is not read meanwhile. Small ones have room of
 * their own, so that a few large requests do not hold up many small ones.
 */

/** Up to this size, what a request takes counts as small, in bytes. */
export const maxSmallBytes = 65_536;

/** How long a large request may wait for room, in milliseconds; callers retry elsewhere after that. */
const maxWaitMs = 600;

/** Room for large requests and for small ones, in bytes. */
export type MemoryRoom = {readonly large: number; readonly small: number};

type Pool = keyof MemoryRoom;

type Waiting = {readonly bytes: number; readonly admit: (lease: MemoryLease | undefined) => void; readonly timer: NodeJS.Timeout};

/** Room that a request has taken. */
export class MemoryLease {
	/** Whether the room was given back. */
	isReleased = false;

	/** @param bytes - the bytes taken so far */
	constructor(private readonly budget: MemoryBudget, private pool: Pool, private bytes: number) {}

	/** Whether it is room for large requests. */
	get isLarge(): boolean {
		return this.pool === 'large';
	}

	/** Takes room for a body of unknown length that has become longer; returns false if there is none. */
	growTo(bytes: number): boolean {
		const pool = findPool(bytes);
		const added = pool === this.pool ? bytes - this.bytes : bytes;
		if (this.isReleased || !this.budget.tryTakeBytes(pool, added)) {
			return false;
		}

		if (pool !== this.pool) {
			this.budget.giveBack(this.pool, this.bytes);
			this.pool = pool;
		}

		this.bytes = bytes;
		return true;
	}

	/** Gives the room back; does nothing if it was given back before. */
	release(): void {
		if (!this.isReleased) {
			this.isReleased = true;
			this.budget.giveBack(this.pool, this.bytes);
		}
	}
}

/** Shares the room among requests. */
export class MemoryBudget {
	private readonly used = {large: 0, small: 0};
	private readonly waiting: Waiting[] = [];

	/** @param room - the room that is shared */
	constructor(private readonly room: MemoryRoom) {}

	/** Bytes taken by all requests. */
	get usedBytes(): number {
		return this.used.large + this.used.small;
	}

	/**
	 * Takes room, or waits for it.
	 *
	 * @param bytes - what the request takes; 0 for a body of unknown length, for which the lease grows
	 * @returns undefined if there is no room in time
	 */
	async take(bytes: number): Promise<MemoryLease | undefined> {
		const lease = this.tryTake(bytes);
		const canWait = bytes > maxSmallBytes && bytes <= this.room.large;
		if (lease !== undefined || !canWait) {
			return lease;
		}

		return new Promise(resolve => {
			const entry: Waiting = {
				bytes, admit: resolve, timer: setTimeout(() => {
					this.waiting.splice(this.waiting.indexOf(entry), 1);
					resolve(undefined);
					this.admitWaiting();
				}, maxWaitMs),
			};
			this.waiting.push(entry);
		});
	}

	/** Takes room if there is some now and no other request waits for it. */
	tryTake(bytes: number): MemoryLease | undefined {
		const pool = findPool(bytes);
		if (pool === 'large' && this.waiting.length > 0) {
			return undefined;
		}

		return this.tryTakeBytes(pool, bytes) ? new MemoryLease(this, pool, bytes) : undefined;
	}

	/** Returns whether so many bytes take room of the large requests. */
	isLarge(bytes: number): boolean {
		return findPool(bytes) === 'large';
	}

	/** Returns whether there is room for so many bytes while there is no other request. */
	canHold(bytes: number): boolean {
		return bytes <= this.room[findPool(bytes)];
	}

	/** Takes bytes of a pool for a lease. */
	tryTakeBytes(pool: Pool, bytes: number): boolean {
		if (this.used[pool] + bytes > this.room[pool]) {
			return false;
		}

		this.used[pool] += bytes;
		return true;
	}

	/** Gives bytes of a pool back and admits the requests that wait for them. */
	giveBack(pool: Pool, bytes: number): void {
		this.used[pool] -= bytes;
		this.admitWaiting();
	}

	private admitWaiting(): void {
		for (let [next] = this.waiting; next && this.tryTakeBytes('large', next.bytes); [next] = this.waiting) {
			this.waiting.shift();
			clearTimeout(next.timer);
			next.admit(new MemoryLease(this, 'large', next.bytes));
		}
	}
}

function findPool(bytes: number): Pool {
	return bytes > maxSmallBytes ? 'large' : 'small';
}
