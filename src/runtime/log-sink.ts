/** Writes log lines without blocking the event loop. The queue is bounded, one write runs at a time, and dropped lines are counted. */
import {Buffer} from 'node:buffer';
import {fstatSync, write} from 'node:fs';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** The maximum size of the queued lines, in bytes; routine lines leave half of it for lines about failures. */
const maxQueuedBytes = 256 * 1024;

/** Token bucket that limits the rate of lines: sustained lines per second, and the maximum burst. Lines beyond it are dropped. */
const rateLimit = {perSecond: 400, burst: 800};

/** The lowest bunyan level of lines that may use the reserve of the token bucket and of the queue; lines below it are routine lines. */
const warnLevel = 40;

/**
 * Events that may use the reserve whatever their level: they tell what a process believes of the directory, which lines of calls refer to. They
 * come at most a few times a change.
 */
const priorityEvents: ReadonlySet<string | undefined> = new Set(['configuration_taken', 'directory_confirmed', 'version_named', 'watch_started', 'watch_stopped']);

/** The time for which lines are collected into one write, in milliseconds. */
const batchIntervalMs = 50;

/** The maximum time for which the shutdown of a process waits for the queued lines to be written, in milliseconds. */
const maxDrainMs = 200;

/** The interval between two checks for remaining lines during that wait, in milliseconds. */
const drainCheckIntervalMs = 5;

const msPerSecond = 1000;

/** A bunyan record, with the fields that the sink uses. */
type LogRecord = {readonly level: number; readonly event?: string; readonly name?: string; readonly vm?: string; readonly hostname?: string; readonly pid?: number};

/** A non-blocking output stream for bunyan records, with a bounded queue and a rate limit. */
export class LogSink {
	/** The number of lines dropped since the process started. */
	dropped = 0;
	/** The connection that pipes and sockets are written through; undefined for files, and until the first line. */
	private socket: net.Socket | undefined;
	private isOpened = false;
	/** The fields of the last record that name its process, for lines that the sink writes itself. */
	private source: LogRecord | undefined;
	private readonly queue: Buffer[] = [];
	private queuedBytes = 0;
	private isWriting = false;
	private lastWriteAtMs = Number.NEGATIVE_INFINITY;
	private timer: NodeJS.Timeout | undefined;
	private reportedDropped = 0;
	private tokens = rateLimit.burst;
	private lastRefillAtMs = performance.now();

	/** @param fd - the file descriptor that the lines are written to */
	constructor(private readonly fd: number) {}

	/**
	 * Queues a record, or drops it if the rate limit or the size of the queue is exceeded.
	 *
	 * @param record - a bunyan record
	 */
	write(record: LogRecord): void {
		this.source = record;
		if (!this.tryTakeToken(record)) {
			this.dropped++;
			return;
		}

		const line = Buffer.from(`${JSON.stringify(record)}\n`);
		if (this.queuedBytes + line.length > (mayUseReserve(record) ? maxQueuedBytes : maxQueuedBytes / 2)) {
			this.dropped++;
			return;
		}

		this.queue.push(line);
		this.queuedBytes += line.length;
		this.scheduleFlush();
	}

	/** Waits until all queued lines are written, for at most {@link maxDrainMs}. */
	async drain(): Promise<void> {
		const endMs = performance.now() + maxDrainMs;
		this.flush();
		while ((this.isWriting || this.queue.length > 0) && performance.now() < endMs) {
			await sleep(drainCheckIntervalMs);
		}
	}

	/** Writes the queued lines as {@link drain} does, then gives up what is not written, so that a reader that stopped does not keep the process alive. */
	async close(): Promise<void> {
		await this.drain();
		this.socket?.destroy();
	}

	/** Takes a token from the bucket. Routine lines leave half of the burst as a reserve for lines about failures. */
	private tryTakeToken(record: LogRecord): boolean {
		const nowMs = performance.now();
		this.tokens = Math.min(rateLimit.burst, this.tokens + ((nowMs - this.lastRefillAtMs) / msPerSecond * rateLimit.perSecond));
		this.lastRefillAtMs = nowMs;
		const reserve = mayUseReserve(record) ? 0 : rateLimit.burst / 2;
		if (this.tokens < 1 + reserve) {
			return false;
		}

		this.tokens--;
		return true;
	}

	/** Schedules a write: at once for the first line after an idle time, otherwise after the time for which lines are collected. */
	private scheduleFlush(): void {
		if (this.timer === undefined && !this.isWriting) {
			this.timer = setTimeout(() => {
				this.timer = undefined;
				this.flush();
			}, this.lastWriteAtMs + batchIntervalMs > performance.now() ? batchIntervalMs : 0);
			this.timer.unref();
		}
	}

	private flush(): void {
		if (this.isWriting || this.queue.length === 0) {
			return;
		}

		if (this.dropped > this.reportedDropped) {
			this.queue.push(this.describeDropped());
			this.reportedDropped = this.dropped;
		}

		const lines = this.queue.splice(0);
		this.isWriting = true;
		this.lastWriteAtMs = performance.now();
		this.open();
		this.writeBatch(Buffer.concat(lines), lines.length);
	}

	private describeDropped(): Buffer {
		const {name, vm, hostname, pid} = this.source ?? {};
		return Buffer.from(`${JSON.stringify({
			name,
			vm,
			hostname,
			pid,
			level: warnLevel,
			event: 'lines_dropped',
			dropped: this.dropped,
			added: this.dropped - this.reportedDropped,
			msg: 'lines were dropped',
			time: new Date().toISOString(),
			v: 0,
		})}\n`);
	}

	/** Opens a pipe or socket as a connection: a blocked `fs.write` to it would hold a thread that the process waits for at its end. */
	private open(): void {
		if (this.isOpened) {
			return;
		}

		this.isOpened = true;
		const stats = fstatSync(this.fd);
		if (stats.isFIFO() || stats.isSocket()) {
			this.socket = new net.Socket({fd: this.fd, readable: false, writable: true});
			this.socket.on('error', () => {
				// The callback of the write reports it, too.
			});
			this.socket.unref();
		}
	}

	private writeBatch(batch: Buffer, lineCount: number): void {
		if (this.socket) {
			this.socket.write(batch, err => {
				this.endBatch(lineCount, err);
			});
			return;
		}

		write(this.fd, batch, 0, batch.length, null, (err, written) => {
			if (!err && written < batch.length) {
				this.writeBatch(batch.subarray(written), lineCount);
			} else {
				this.endBatch(lineCount, err);
			}
		});
	}

	private endBatch(lineCount: number, err: Error | null | undefined): void {
		if (err) {
			// The failure cannot be logged, but the count is exported as a metric.
			this.dropped += lineCount;
		}

		this.queuedBytes = 0;
		for (const line of this.queue) {
			this.queuedBytes += line.length;
		}

		this.isWriting = false;
		if (this.queue.length > 0) {
			this.scheduleFlush();
		}
	}
}

function mayUseReserve({level, event}: LogRecord): boolean {
	return level >= warnLevel || priorityEvents.has(event);
}
