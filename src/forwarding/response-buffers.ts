/**
 * Limits the memory of the responses that a gateway keeps until they are complete.
 *
 * An upstream in trouble may send bytes without end. Its responses are the largest ones, so that they are discarded first and
 * others go on.
 */

/** Maximum size of one response that is kept, in bytes; the same as the default limit of a call's body. */
export const maxResponseBytes = 4_194_304;

/** Maximum size of all responses that are kept, in bytes, unless the memory limit of the process is small. */
export const maxBufferedBytes = 33_554_432;

/** Maximum size of one event of a stream, in bytes. */
export const maxEventBytes = 262_144;

/** The keeper of a response. */
export type BufferOwner = {
	/** Discards the response and ends the attempt. */
	readonly discardResponse: () => void;
};

/** Counts the bytes that each owner keeps. */
export class ResponseBuffers {
	private readonly bytesByOwner = new Map<BufferOwner, number>();
	private totalBytes = 0;

	/** @param maxTotalBytes - maximum size of all responses that are kept */
	constructor(private readonly maxTotalBytes = maxBufferedBytes) {}

	/**
	 * Counts further bytes of a response. Discards the largest response if they are too many, which may be the one that they belong to.
	 *
	 * @param bytes - number of bytes received
	 */
	add(owner: BufferOwner, bytes: number): void {
		this.bytesByOwner.set(owner, (this.bytesByOwner.get(owner) ?? 0) + bytes);
		this.totalBytes += bytes;
		if (this.bytesByOwner.get(owner)! > maxResponseBytes) {
			this.discard(owner);
		} else if (this.totalBytes > this.maxTotalBytes) {
			this.discard(this.findLargest());
		}
	}

	/** Forgets a response that has been sent or dropped. */
	release(owner: BufferOwner): void {
		this.totalBytes -= this.bytesByOwner.get(owner) ?? 0;
		this.bytesByOwner.delete(owner);
	}

	private discard(owner: BufferOwner): void {
		this.release(owner);
		owner.discardResponse();
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
