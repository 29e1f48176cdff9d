/**
 * Shares the event loop among connections of which some send very small chunks.
 *
 * A read of 64 KiB may hold ten thousand chunks of one byte, each of which costs as much as a large one. Connections that send such chunks
 * are read in turns, so that the others are read in between.
 */
import type {Buffer} from 'node:buffer';
import type http from 'node:http';

/** After how many chunks a connection waits for its next turn, if they are smaller than this on average, in bytes. */
const chunksPerTurn = 500;
const smallChunkBytes = 128;

/** Time between two turns while several connections wait, in milliseconds. */
const turnIntervalMs = 20;

/** Gives turns to the messages that arrive in small chunks. */
export class ChunkPacer {
	private readonly waiting: Array<() => void> = [];
	private readonly watched = new WeakSet<http.IncomingMessage>();
	private isRunning = false;

	/** Watches a message whose chunks are read as they arrive; it must not be paused elsewhere. */
	watch(message: http.IncomingMessage): void {
		if (this.watched.has(message)) {
			return;
		}

		this.watched.add(message);
		let chunks = 0;
		let bytes = 0;
		let isWaiting = false;
		message.on('data', (chunk: Buffer) => {
			chunks++;
			bytes += chunk.length;
			if (chunks < chunksPerTurn || isWaiting) {
				return;
			}

			isWaiting = bytes < chunks * smallChunkBytes;
			chunks = 0;
			bytes = 0;
			if (isWaiting) {
				// Each chunk would make the stream read on from its connection.
				message._read = () => undefined;
				message.socket.pause();
				this.add(() => {
					isWaiting = false;
					message.socket?.resume();
				});
			}
		});
	}

	private add(resume: () => void): void {
		this.waiting.push(resume);
		if (!this.isRunning) {
			this.isRunning = true;
			setImmediate(this.next);
		}
	}

	private readonly next = () => {
		this.waiting.shift()?.();
		this.isRunning = this.waiting.length > 0;
		if (this.isRunning) {
			setTimeout(this.next, turnIntervalMs);
		}
	};
}

/** The turns of all connections of this process. */
export const chunkPacer = new ChunkPacer();
