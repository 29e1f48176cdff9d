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
	private rest: Buffer = Buffer.alloc(0);

	/** Bytes of an event that is not whole yet. */
	get pendingBytes(): number {
		return this.rest.length;
	}

	/**
	 * Takes the next part of the stream.
	 *
	 * @param part - bytes as they arrived
	 */
	push(part: Buffer): StreamEvent[] {
		const all = this.rest.length > 0 ? Buffer.concat([this.rest, part]) : part;
		const events: StreamEvent[] = [];
		let start = 0;
		for (let end = endOfEvent(all, start); end > 0; end = endOfEvent(all, start)) {
			const bytes = all.subarray(start, end);
			events.push({bytes, id: idOf(bytes)});
			start = end;
		}

		this.rest = all.subarray(start);
		return events;
	}
}

/** Returns the position after the empty line that ends an event, or 0 when it is not there yet. */
function endOfEvent(bytes: Buffer, from: number): number {
	for (let at = bytes.indexOf(lineFeed, from); at !== -1; at = bytes.indexOf(lineFeed, at + 1)) {
		const next = bytes[at + 1] === carriageReturn ? at + 2 : at + 1;
		if (bytes[next] === lineFeed) {
			return next + 1;
		}
	}

	return 0;
}

function idOf(bytes: Buffer): string | undefined {
	return /(?:^|\n)id: ?([^\r\n]*)/.exec(bytes.toString('latin1'))?.[1];
}
