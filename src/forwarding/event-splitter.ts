/** Cuts a stream of server-sent events into whole events, so that a stream can go on elsewhere after its last whole one. */
import {Buffer} from 'node:buffer';

/** One whole event. */
export type StreamEvent = {
	/** The event's bytes, with the empty line that ends it. */
	readonly bytes: Buffer;
	/** The event's id; undefined when it has none. */
	readonly id: string | undefined;
};

const lineFeed = 0x0A;
const carriageReturn = 0x0D;

/** Takes parts and returns the events that became whole. */
export class EventSplitter {
	private buffered: Buffer = Buffer.alloc(0);

	/** Bytes of an event that is not whole yet. */
	get pendingBytes(): number {
		return this.buffered.length;
	}

	/**
	 * Takes the next part of the stream.
	 *
	 * @param chunk - bytes as they arrived
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

/** Returns the position after the empty line that ends an event, or 0 when it is not there yet. */
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
