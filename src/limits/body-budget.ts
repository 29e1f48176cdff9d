/**
 * The memory for calls with their heads and bodies, which are kept whole until their calls have ended.
 *
 * Large bodies wait for room in the order of their arrival: the caller's connection is not read meanwhile. Small ones have room of their
 * own, so that a few large calls do not hold up many small ones.
 */

/** Up to this size, a body counts as small, in bytes. */
export const smallBodyBytes = 65_536;

/** How long a large body may wait for room, in milliseconds; callers retry elsewhere after that. */
const maxWaitMs = 600;

/** The room for bodies, in bytes. */
export type BodyRoom = {readonly large: number; readonly small: number};

/** Shares of the memory limit of the process. Each body may be in memory twice while it is put together or sent. */
const shares = {large: 0.16, small: 0.04};

/** Room that a process has whatever its memory limit, in bytes: for two of the largest usual bodies, and for some small ones. */
const minRoom: BodyRoom = {large: 8_388_608, small: 2_097_152};

const bytesPerMegabyte = 1_000_000;

/** The room of a listener that receives only messages of other processes and of operators, in bytes: two of the largest bodies, and some small ones. */
export const messageBodyRoom: BodyRoom = {large: 8_388_608, small: 1_048_576};

/** Returns the room for a process with a memory limit in megabytes. */
export function bodyRoomFor(memoryMb: number): BodyRoom {
	const memoryBytes = memoryMb * bytesPerMegabyte;
	return {large: Math.max(minRoom.large, memoryBytes * shares.large), small: Math.max(minRoom.small, memoryBytes * shares.small)};
}

type Pool = keyof BodyRoom;

type Waiting = {readonly bytes: number; readonly admit: (lease: BodyLease | undefined) => void; readonly timer: NodeJS.Timeout};

/** Room that a body has taken. */
export class BodyLease {
	/** Whether the room was given back. */
	isReleased = false;

	/** @param bytes - the bytes taken so far */
	constructor(private readonly budget: BodyBudget, private pool: Pool, private bytes: number) {}

	/** Whether it is room for large bodies. */
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

/** Shares the room among calls. */
export class BodyBudget {
	private readonly used = {large: 0, small: 0};
	private readonly waiting: Waiting[] = [];

	/** @param room - the room for bodies */
	constructor(private readonly room: BodyRoom) {}

	/** Bytes taken by all bodies. */
	get usedBytes(): number {
		return this.used.large + this.used.small;
	}

	/**
	 * Takes room for a body, or waits for it.
	 *
	 * @param bytes - the length of the body; 0 if it is not known, for which the lease grows
	 * @returns undefined if there is no room in time
	 */
	async take(bytes: number): Promise<BodyLease | undefined> {
		const lease = this.tryTake(bytes);
		const canWait = bytes > smallBodyBytes && bytes <= this.room.large;
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

	/** Takes room for a body if there is some now and no other call waits for it. */
	tryTake(bytes: number): BodyLease | undefined {
		const pool = findPool(bytes);
		if (pool === 'large' && this.waiting.length > 0) {
			return undefined;
		}

		return this.tryTakeBytes(pool, bytes) ? new BodyLease(this, pool, bytes) : undefined;
	}

	/** Returns whether a body takes room of the large ones. */
	isLarge(bytes: number): boolean {
		return findPool(bytes) === 'large';
	}

	/** Returns whether there is room for a body while there is no other one. */
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

	/** Gives bytes of a pool back and admits the calls that wait for them. */
	giveBack(pool: Pool, bytes: number): void {
		this.used[pool] -= bytes;
		this.admitWaiting();
	}

	private admitWaiting(): void {
		for (let [next] = this.waiting; next && this.tryTakeBytes('large', next.bytes); [next] = this.waiting) {
			this.waiting.shift();
			clearTimeout(next.timer);
			next.admit(new BodyLease(this, 'large', next.bytes));
		}
	}
}

function findPool(bytes: number): Pool {
	return bytes > smallBodyBytes ? 'large' : 'small';
}
