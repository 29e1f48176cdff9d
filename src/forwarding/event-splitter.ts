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

/** Buffers incoming bytes until they form complete events. */
export class EventSplitter {
	private buffered: Buffer = Buffer.alloc(0);

	/** Number of buffered bytes of an incomplete event. */
	get pendingBytes(): number {
		return this.buffered.length;
	}

	/**
	 * Adds the next bytes of the stream and returns the events that they complete.
	 *
	 * @param chunk - bytes, split anywhere
	 */
	push(chunk: Buffer): StreamEvent[] {
		const data = this.buffered.length > 0 ? Buffer.concat([this.buffered, chunk]) : chunk;
		const events: StreamEvent[] = [];
		let start = 0;
		for (let end = findEventEnd(data, start); end > 0; end = findEventEnd(data, start)) {
			const bytes = data.subarray(start, end);
			events.push({bytes, id: parseEventId(bytes)});
			start = end;
		}

		this.buffered = data.subarray(start);
		return events;
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
