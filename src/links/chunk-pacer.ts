/**
 * Shares the event loop among connections of which some send very small chunks.
 *
 * A read of 64 KiB may hold ten thousand chunks of one byte, each of which costs as much as a large one. Connections that send such chunks
 * are read in turns, so that the others are read in between.
 */
import type {Buffer} from 'node:buffer';
import type http from 'node:http';
import type net from 'node:net';
import process from 'node:process';

/** After how many chunks a connection waits for its next turn, if they are smaller than this on average, in bytes. */
const chunksPerTurn = 250;
const smallChunkBytes = 128;

/** Time between two turns while several connections wait, and between the first reads of new connections, in milliseconds. */
const turnIntervalMs = 20;
const firstReadIntervalMs = 5;

/** For how long after a connection was ended new ones are read in turns, in milliseconds. */
const crowdedMs = 1000;

/** How many connections may wait for their turn before further ones are ended: the rest of what was read of each has to be parsed in any case. */
const maxWaiting = 8;

/** Gives turns to the messages that arrive in small chunks. */
export class ChunkPacer {
	private readonly waiting: Array<{readonly socket: net.Socket; readonly resume: () => void}> = [];
	private readonly watched = new WeakSet<http.IncomingMessage>();
	/** The chunked messages that are arriving, and what makes each wait for its turn. */
	private readonly arriving = new Map<http.IncomingMessage, () => void>();
	/** The connections of clients. */
	private readonly connections = new Set<net.Socket>();
	/** What had been read of each connection when a part of a body was last received, in bytes. */
	private readonly bytesAtBody = new WeakMap<net.Socket, number>();
	/** New connections that are not read so far, the oldest first. */
	private readonly held = new Set<net.Socket>();
	private lastEndMs = Number.NEGATIVE_INFINITY;
	private isRunning = false;

	/**
	 * Reads a new connection in its turn if many others have sent small chunks. The newest one is read first: those that came with the crowd
	 * wait behind those that came later.
	 */
	admit(socket: net.Socket): void {
		this.connections.add(socket);
		socket.once('close', () => {
			this.connections.delete(socket);
			this.held.delete(socket);
		});
		if (this.held.size > 0 || performance.now() - this.lastEndMs < crowdedMs) {
			this.hold(socket);
		}
	}

	/**
	 * Watches a message whose chunks are read as they arrive; it must not be paused elsewhere.
	 *
	 * @param onCrowded - called instead of waiting if many other connections wait; closes the connection
	 */
	watch(message: http.IncomingMessage, onCrowded?: () => void): void {
		if (this.watched.has(message)) {
			return;
		}

		this.watched.add(message);
		let chunks = 0;
		let bytes = 0;
		let isWaiting = false;
		const wait = () => {
			if (isWaiting) {
				return;
			}

			isWaiting = true;
			// Each chunk would make the stream read on from its connection.
			message._read = () => undefined;
			message.socket.pause();
			this.add(message.socket, () => {
				isWaiting = false;
				message.socket?.resume();
			});
		};

		message.on('data', (chunk: Buffer) => {
			chunks++;
			bytes += chunk.length;
			this.bytesAtBody.set(message.socket, message.socket.bytesRead);
			if (chunks < chunksPerTurn || isWaiting) {
				return;
			}

			const isSmall = bytes < chunks * smallChunkBytes;
			chunks = 0;
			bytes = 0;
			if (isSmall && onCrowded && this.waiting.length >= maxWaiting) {
				onCrowded();
				this.readInTurns();
			} else if (isSmall) {
				wait();
			}
		});
		if (onCrowded && message.headers['transfer-encoding'] !== undefined) {
			this.arriving.set(message, wait);
			message.once('close', () => {
				this.arriving.delete(message);
			});
		}
	}

	/** Returns what had been read of a connection when a part of a body was last received, in bytes; undefined if none was. */
	findBytesAtBody(socket: net.Socket): number | undefined {
		return this.bytesAtBody.get(socket);
	}

	private hold(socket: net.Socket): void {
		this.held.add(socket);
		// The server starts to read in the same turn of the event loop.
		process.nextTick(() => {
			socket.pause();
		});
		this.run();
	}

	/** Makes connections of which nothing has been read, and those with chunked bodies, wait for their turns. */
	private readInTurns(): void {
		this.lastEndMs = performance.now();
		for (const socket of this.connections) {
			if (socket.bytesRead === 0 && !socket.destroyed && !this.held.has(socket)) {
				this.hold(socket);
			}
		}

		for (const wait of this.arriving.values()) {
			wait();
		}
	}

	private add(socket: net.Socket, resume: () => void): void {
		this.waiting.push({socket, resume});
		this.run();
	}

	private run(): void {
		if (!this.isRunning) {
			this.isRunning = true;
			setImmediate(this.next);
		}
	}

	private resumeNext(): void {
		let next = this.waiting.shift();
		while (next?.socket.destroyed) {
			next = this.waiting.shift();
		}

		next?.resume();
	}

	private readonly next = () => {
		const newest = [...this.held].at(-1);
		if (newest) {
			this.held.delete(newest);
			newest.resume();
		} else {
			this.resumeNext();
		}

		this.isRunning = this.held.size > 0 || this.waiting.length > 0;
		if (this.isRunning) {
			setTimeout(this.next, newest ? firstReadIntervalMs : turnIntervalMs);
		}
	};
}

/** The turns of all connections of this process. */
export const chunkPacer = new ChunkPacer();
