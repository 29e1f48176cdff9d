/**
 * The bodies that are still arriving, and which of them end first.
 *
 * A client that stops short of the end of its body would hold room and a connection until the request times out. Its body ends earlier
 * if it makes no progress, or as soon as others need the room.
 */

/** Why a body was ended. */
export type SlowBodyReason = 'body_stalled' | 'body_too_slow' | 'room_needed' | 'chunks_too_small';

/** Limits for bodies that arrive. */
export type BodyProgressLimits = {
	/** Longest time between two parts of a body, in milliseconds. */
	readonly idleMs: number;
	/** Bytes per second that a body has to make on average once it is older than {@link graceMs}. */
	readonly minBytesPerSecond: number;
	readonly graceMs: number;
};

/** Limits that no client meets that sends a body within the usual limits of a request. */
export const defaultBodyProgress: BodyProgressLimits = {idleMs: 15_000, minBytesPerSecond: 100, graceMs: 10_000};

/** How often the progress of bodies is checked, in milliseconds. */
export const progressCheckMs = 500;

/** Progress in the last one to two checks below which a body may be ended because others need its room, in bytes. */
const slowWindowBytes = 16_384;

const msPerSecond = 1000;

/** One body that is arriving. */
export class BodyProgress {
	/** Whether it takes room of the large bodies. */
	isLarge = false;
	/** Whether its head takes room of the large heads. */
	isHeadLarge = false;
	private bytes = 0;
	private bytesAtCheck = 0;
	private bytesAtCheckBefore = 0;
	private lastBytesAtMs: number;

	/** @param end - refuses the call and drops its body */
	constructor(readonly end: (reason: SlowBodyReason) => void, private readonly startedAtMs: number) {
		this.lastBytesAtMs = startedAtMs;
	}

	/** Records a part of the body. */
	record(bytes: number, nowMs: number): void {
		this.bytes += bytes;
		this.lastBytesAtMs = nowMs;
	}

	/** Bytes that arrived in the last one to two intervals of the checks. */
	get recentBytes(): number {
		return this.bytes - this.bytesAtCheckBefore;
	}

	/** Starts the next interval. */
	markCheck(): void {
		this.bytesAtCheckBefore = this.bytesAtCheck;
		this.bytesAtCheck = this.bytes;
	}

	/** Returns why the body has to end; undefined if it may go on. */
	findFault({idleMs, minBytesPerSecond, graceMs}: BodyProgressLimits, nowMs: number): SlowBodyReason | undefined {
		if (nowMs - this.lastBytesAtMs > idleMs) {
			return 'body_stalled';
		}

		const ageMs = nowMs - this.startedAtMs;
		return ageMs > graceMs && this.bytes < minBytesPerSecond * ageMs / msPerSecond ? 'body_too_slow' : undefined;
	}

	/** Whether the body is slow enough to be ended for others. */
	isSlow(nowMs: number): boolean {
		return nowMs - this.startedAtMs > progressCheckMs && this.recentBytes < slowWindowBytes;
	}

	/** Whether this body is to be ended before another one. */
	isSlowerThan(other: BodyProgress): boolean {
		return this.recentBytes === other.recentBytes ? this.lastBytesAtMs < other.lastBytesAtMs : this.recentBytes < other.recentBytes;
	}
}

/** Watches the bodies that are arriving at one listener. */
export class IncompleteBodies {
	private readonly bodies = new Set<BodyProgress>();

	/** @param limits - limits that apply whether or not others need the room */
	constructor(private readonly limits = defaultBodyProgress) {}

	/** Number of bodies that are arriving. */
	get count(): number {
		return this.bodies.size;
	}

	/** Adds a body whose first byte is still to come. */
	add(end: (reason: SlowBodyReason) => void, nowMs: number): BodyProgress {
		const body = new BodyProgress(end, nowMs);
		this.bodies.add(body);
		return body;
	}

	/** Forgets a body that is complete, or that is not read any more. */
	remove(body: BodyProgress): void {
		this.bodies.delete(body);
	}

	/** Ends the bodies without enough progress; called every {@link progressCheckMs}. */
	check(nowMs: number): void {
		for (const body of this.bodies) {
			const fault = body.findFault(this.limits, nowMs);
			if (fault) {
				this.end(body, fault);
			} else {
				body.markCheck();
			}
		}
	}

	/**
	 * Ends the slowest body because others need its room.
	 *
	 * @param mayEnd - returns whether the end of a body would help
	 * @returns false if none of these is slow
	 */
	endSlowest(nowMs: number, mayEnd: (body: BodyProgress) => boolean = () => true): boolean {
		let slowest: BodyProgress | undefined;
		for (const body of this.bodies) {
			if (mayEnd(body) && body.isSlow(nowMs) && (!slowest || body.isSlowerThan(slowest))) {
				slowest = body;
			}
		}

		if (slowest) {
			this.end(slowest, 'room_needed');
		}

		return slowest !== undefined;
	}

	private end(body: BodyProgress, reason: SlowBodyReason): void {
		this.bodies.delete(body);
		body.end(reason);
	}
}
