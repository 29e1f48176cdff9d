/**
 * Limits the memory of the responses that a process keeps, because they are not complete or their callers read slowly.
 *
 * The callers that read most slowly are disconnected first. An upstream in trouble may send bytes without end: its responses are the
 * largest ones, so that they are discarded next and others go on.
 */

/** Maximum size of one response that is kept, in bytes; the same as the default limit of a call's body. */
export const maxResponseBytes = 4_194_304;

/** Returns the published length of a body that is kept, in bytes; 0 if it is not known, or too large to be kept. */
export function findBodyLength(rawHeaders: readonly string[]): number {
	const at = rawHeaders.findIndex((name, index) => index % 2 === 0 && name.toLowerCase() === 'content-length');
	const bytes = at === -1 ? 0 : Number(rawHeaders[at + 1]);
	return bytes > 0 && bytes <= maxResponseBytes ? bytes : 0;
}

/** Maximum size of all responses that are kept, in bytes, unless the memory limit of the process is small. */
const maxBufferedBytes = 33_554_432;

/** The usual share of the memory limit of the process that responses may take. */
const defaultMemoryShare = 0.1;

const bytesPerMegabyte = 1_000_000;

/** Returns how many bytes of responses a listener may keep, for a memory limit in megabytes. */
export function maxBufferedBytesFor(memoryMb: number, share = defaultMemoryShare): number {
	return Math.min(maxBufferedBytes, memoryMb * bytesPerMegabyte * share);
}

/** Maximum size of one event of a stream, in bytes. */
export const maxEventBytes = 262_144;

/** How long a caller may read nothing before it counts as slow, in milliseconds. */
const slowReaderMs = 100;

/** The keeper of a response. */
export type BufferOwner = {
	/** Since when the caller has read nothing although the response waits for it; undefined if nothing waits. */
	readonly waitingSinceMs?: number | undefined;
	/** Discards the response, and ends the attempt or closes the connection of the caller. */
	readonly discardResponse: () => void;
};

/** Counts the bytes that each owner keeps. */
export class ResponseBuffers {
	/** Responses that were discarded since their callers read too slowly. */
	slowReaderCount = 0;
	private readonly bytesByOwner = new Map<BufferOwner, number>();
	private totalBytes = 0;

	/** Number of bytes that are kept. */
	get usedBytes(): number {
		return this.totalBytes;
	}

	/**
	 * @param maxTotalBytes - maximum size of all responses that are kept
	 * @param maxBytes - maximum size of one of them
	 */
	constructor(private readonly maxTotalBytes = maxBufferedBytes, private readonly maxBytes = maxResponseBytes) {}

	/**
	 * Counts further bytes of a response. Discards responses if they are too many, among them perhaps the one that they belong to.
	 *
	 * @param bytes - number of bytes received
	 */
	add(owner: BufferOwner, bytes: number): void {
		this.bytesByOwner.set(owner, (this.bytesByOwner.get(owner) ?? 0) + bytes);
		this.totalBytes += bytes;
		if (this.bytesByOwner.get(owner)! > this.maxBytes) {
			this.discard(owner);
		}

		while (this.totalBytes > this.maxTotalBytes) {
			this.discard(this.findSlowest(performance.now()) ?? this.findLargest());
		}
	}

	/** Forgets bytes of a response that have been sent. */
	subtract(owner: BufferOwner, bytes: number): void {
		const counted = this.bytesByOwner.get(owner);
		if (counted !== undefined) {
			const sent = Math.min(bytes, counted);
			this.totalBytes -= sent;
			this.bytesByOwner.set(owner, counted - sent);
		}
	}

	/** Forgets a response that has been sent or dropped. */
	release(owner: BufferOwner): void {
		this.totalBytes -= this.bytesByOwner.get(owner) ?? 0;
		this.bytesByOwner.delete(owner);
	}

	/** Disconnects the caller that has read nothing for the longest time; returns false if none is slow. */
	discardSlowest(): boolean {
		const slowest = this.findSlowest(performance.now());
		if (slowest) {
			this.discard(slowest);
		}

		return slowest !== undefined;
	}

	private discard(owner: BufferOwner): void {
		this.slowReaderCount += Number(owner.waitingSinceMs !== undefined);
		this.release(owner);
		owner.discardResponse();
	}

	/** Returns the keeper whose caller has read nothing for the longest time; undefined if no caller is slow. */
	private findSlowest(nowMs: number): BufferOwner | undefined {
		let slowest: BufferOwner | undefined;
		let sinceMs = nowMs - slowReaderMs;
		for (const owner of this.bytesByOwner.keys()) {
			if (owner.waitingSinceMs !== undefined && owner.waitingSinceMs < sinceMs) {
				[slowest, sinceMs] = [owner, owner.waitingSinceMs];
			}
		}

		return slowest;
	}

	private findLargest(): BufferOwner {
		let [largest, largestBytes] = [...this.bytesByOwner][0]!;
		for (const [owner, bytes] of this.bytesByOwner) {
			if (bytes > largestBytes) {
				[largest, largestBytes] = [owner, bytes];
			}
		}

		return largest;
	}
}
