/** Splits a stream of server-sent events (SSE) into complete events, so that a broken stream can be resumed after the last complete one. */
import {Buffer} from 'node:buffer';

/** One complete event. */
export type StreamEvent = {
	/** The bytes of the event, including the empty line that ends it. */
	readonly bytes: Buffer;
	/** The value of the `id` field; undefined if the event has none. */
	readonly id: string | undefined;
};

const lineFeed = 0x0A;
const carriageReturn = 0x0D;

/** How many bytes before new ones may begin the end of an event. */
const maxEndBytes = 3;

/** Buffers incoming bytes until they form complete events. */
export class EventSplitter {
	/** The incomplete event, perhaps with room behind it. No event that was returned is in it. */
	private storage: Buffer = Buffer.alloc(0);
	private pending = 0;

	/** Number of buffered bytes of an incomplete event. */
	get pendingBytes(): number {
		return this.pending;
	}

	/**
	 * Adds the next bytes of the stream and returns the events that they complete.
	 *
	 * @param chunk - bytes, split anywhere
	 */
	push(chunk: Buffer): StreamEvent[] {
		const searchFrom = Math.max(0, this.pending - maxEndBytes);
		const data = this.pending > 0 ? this.append(chunk) : chunk;
		const events: StreamEvent[] = [];
		let start = 0;
		for (let end = findEventEnd(data, searchFrom); end > 0; end = findEventEnd(data, start)) {
			const bytes = data.subarray(start, end);
			events.push({bytes, id: parseEventId(bytes)});
			start = end;
		}

		this.pending = data.length - start;
		if (start > 0 || data === chunk) {
			this.storage = data.subarray(start);
		}

		return events;
	}

	/** Adds bytes to the incomplete event. The room doubles, so that chunks of one byte do not copy the event each time. */
	private append(chunk: Buffer): Buffer {
		const bytes = this.pending + chunk.length;
		if (bytes > this.storage.length) {
			const larger = Buffer.allocUnsafeSlow(2 * bytes);
			this.storage.copy(larger, 0, 0, this.pending);
			this.storage = larger;
		}

		chunk.copy(this.storage, this.pending);
		return this.storage.subarray(0, bytes);
	}
}

/** Returns the offset after the empty line that ends the event at `from`, or 0 if the event is incomplete. */
function findEventEnd(bytes: Buffer, from: number): number {
	for (let index = bytes.indexOf(lineFeed, from); index !== -1; index = bytes.indexOf(lineFeed, index + 1)) {
		const next = bytes[index + 1] === carriageReturn ? index + 2 : index + 1;
		if (bytes[next] === lineFeed) {
			return next + 1;
		}
	}

	return 0;
}

function parseEventId(bytes: Buffer): string | undefined {
	return /(?:^|\n)id: ?([^\r\n]*)/.exec(bytes.toString('latin1'))?.[1];
}
