/** Reads the bodies of calls into the memory that there is for them, and ends those that arrive too slowly. */
import type {Buffer} from 'node:buffer';
import type http from 'node:http';
import type {MemoryBudget, MemoryLease} from '../limits/memory-budget.ts';
import {growBody, takeHead} from '../limits/take-memory.ts';
import {dropHead, estimateHeadBytes} from '../limits/head-memory.ts';
import {IncompleteBodies, progressCheckMs, type SlowBodyReason} from '../limits/incomplete-bodies.ts';
import {ByteCollector} from '../links/byte-collector.ts';
import {chunkPacer} from '../links/chunk-pacer.ts';
import type {Logger} from '../runtime/logger.ts';
import type {CallBoundary} from './call-boundary.ts';
import type {ResponseWriter} from './response-writer.ts';
import type {WireCodec} from './wire-codec.ts';

/** When callers may return for whose bodies there was no memory, in milliseconds. */
const noMemoryRetryAfterMs = 500;

/** The responses to calls whose bodies are ended: 408 if the caller has to send in another way, 503 if others only need the room. */
const slowBodyResponses: Readonly<Record<SlowBodyReason, {readonly status: number; readonly message: string}>> = {
	body_stalled: {status: 408, message: 'the body stalled; not run'},
	body_too_slow: {status: 408, message: 'the body arrived too slowly; not run'},
	chunks_too_small: {status: 408, message: 'the body arrived in too small chunks; not run'},
	room_needed: {status: 503, message: 'no memory for the body; not run'},
};

/** How a call that is being read is answered, and what runs its code. */
export type Receiver = {readonly writer: ResponseWriter; readonly boundary: CallBoundary};

/** Dependencies of a {@link BodyReceiver}. */
export type BodyReceiverOptions = {
	readonly codec: WireCodec;
	readonly log: Logger;
	/** The memory for heads. */
	readonly heads: MemoryBudget;
	/** The memory for bodies. */
	readonly bodies: MemoryBudget;
	/** Returns the largest size of a body, in bytes. */
	readonly maxBytes: () => number;
	/** Returns whether each response closes its connection. */
	readonly isClosing: () => boolean;
	/** Refuses a call whose body is larger than the limit. */
	readonly onTooLarge: (req: http.IncomingMessage, writer: ResponseWriter) => void;
	/** Called for each call that was refused. */
	readonly onRefused?: (reason: string) => void;
};

/** Reads bodies. */
export class BodyReceiver {
	/** The bodies that have room and are arriving. */
	readonly incomplete = new IncompleteBodies();
	private timer: NodeJS.Timeout | undefined;

	/** @param options - dependencies */
	constructor(private readonly options: BodyReceiverOptions) {}

	/** Starts to watch the progress of bodies. */
	start(): void {
		this.timer = setInterval(() => {
			this.incomplete.check(performance.now());
		}, progressCheckMs).unref();
	}

	/** Stops. */
	stop(): void {
		clearInterval(this.timer);
	}

	/** Ends the slowest body; returns false if none is slow. */
	endSlowest(): boolean {
		return this.incomplete.endSlowest(performance.now());
	}

	/** Reads the body of a call once there is memory for it, or refuses the call. */
	receive(req: http.IncomingMessage, receiver: Receiver, onComplete: (body: Buffer) => void): void {
		const {writer, boundary} = receiver;
		const head = takeHead(this.options.heads, this.incomplete, estimateHeadBytes(req.rawHeaders));
		if (!head) {
			this.refuse(req, receiver, 'no_memory_for_head');
			return;
		}

		writer.onceClosed(() => {
			head.release();
		});
		const bytes = Number(req.headers['content-length'] ?? 0);
		const read = (lease: MemoryLease) => {
			writer.onceClosed(() => {
				lease.release();
			});
			this.read(req, {...receiver, head, lease}, onComplete);
		};

		const lease = this.tryTake(bytes);
		if (lease) {
			read(lease);
			return;
		}

		void boundary.runAsync('receive', async () => {
			const late = await this.options.bodies.take(bytes);
			if (!late) {
				this.refuse(req, receiver, 'no_memory_for_body');
			} else if (writer.isClosed) {
				late.release();
			} else {
				read(late);
			}
		});
	}

	/**
	 * Refuses a call that has not run. What is left of its body is read and dropped: the caller, which is still sending, would lose the
	 * response if its connection were closed meanwhile.
	 */
	refuse(req: http.IncomingMessage, {writer, boundary}: Receiver, reason: string): void {
		const {log, codec, bodies, isClosing, onRefused} = this.options;
		log.warn({
			event: 'call_refused', id: boundary.attemptId, status: 503, reason, bodyBytes: bodies.usedBytes,
		}, 'call refused');
		onRefused?.(reason);
		const respond = () => {
			writer.sendError(503, 'not run; return later', codec.writeRefusalHeaders(noMemoryRetryAfterMs));
		};

		if (isClosing() && !req.complete) {
			// The response closes the connection.
			req.once('end', boundary.wrap('receive', respond));
		} else {
			const isLast = !isClosing() && writer.keepConnection();
			respond();
			req.once('end', () => {
				if (isLast) {
					req.socket.end();
				}
			});
		}

		dropHead(req);
		chunkPacer.watch(req);
		req.resume();
	}

	private read(req: http.IncomingMessage, {writer, boundary, head, lease}: Receiver & {readonly head: MemoryLease; readonly lease: MemoryLease}, onComplete: (body: Buffer) => void): void {
		const hasLength = req.headers['content-length'] !== undefined;
		const collector = new ByteCollector(Number(req.headers['content-length'] ?? 0));
		let isDropped = false;
		const drop = () => {
			isDropped = true;
			collector.clear();
			this.incomplete.remove(progress);
			dropHead(req);
			head.release();
			lease.release();
		};

		const progress = this.incomplete.add(boundary.wrap('receive', reason => {
			drop();
			this.endSlow({writer, boundary}, reason);
		}), performance.now());
		progress.isLarge = lease.isLarge;
		progress.isHeadLarge = head.isLarge;
		const growing = {
			budget: this.options.bodies, incomplete: this.incomplete, lease, progress,
		};
		writer.onceClosed(drop);
		chunkPacer.watch(req, () => {
			progress.end('chunks_too_small');
			req.socket.destroy();
		});
		req.on('data', boundary.wrap('receive', (chunk: Buffer) => {
			const bytes = collector.length + chunk.length;
			if (isDropped) {
				return;
			}

			if (bytes > this.options.maxBytes()) {
				drop();
				this.options.onTooLarge(req, writer);
			} else if (hasLength || growBody(growing, bytes)) {
				collector.push(chunk);
				progress.record(chunk.length, performance.now());
			} else if (!writer.isClosed) {
				drop();
				this.refuse(req, {writer, boundary}, 'no_memory_for_body');
			}
		}));
		req.once('end', boundary.wrap('forward', () => {
			this.incomplete.remove(progress);
			if (!isDropped && !writer.isClosed) {
				onComplete(collector.take());
			}
		}));
		req.on('error', () => {
			// The caller disconnected before its call was complete; the `close` event of the response follows.
		});
	}

	/** Ends a body that arrives too slowly, and closes its connection after the response. */
	private endSlow({writer, boundary}: Receiver, reason: SlowBodyReason): void {
		const {log, codec, bodies, onRefused} = this.options;
		const {status, message} = slowBodyResponses[reason];
		log.warn({
			event: 'call_refused', id: boundary.attemptId, status, reason, bodyBytes: bodies.usedBytes,
		}, 'call refused');
		onRefused?.(reason);
		writer.sendError(status, message, ['connection', 'close', ...codec.writeRefusalHeaders(noMemoryRetryAfterMs)]);
	}

	private tryTake(bytes: number): MemoryLease | undefined {
		const {bodies} = this.options;
		let lease = bodies.tryTake(bytes);
		while (!lease && bodies.canHold(bytes) && this.incomplete.endSlowest(performance.now(), body => body.isLarge === bodies.isLarge(bytes))) {
			lease = bodies.tryTake(bytes);
		}

		return lease;
	}
}
