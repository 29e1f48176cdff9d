/** Writes log lines without blocking the event loop. The queue is bounded, one write runs at a time, and dropped lines are counted. */
import {Buffer} from 'node:buffer';
import {write} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';

/** The maximum size of the queued lines, in bytes. */
const maxQueuedBytes = 256 * 1024;

/** Token bucket that limits the rate of lines: sustained lines per second, and the maximum burst. Lines beyond it are dropped. */
const rateLimit = {perSecond: 400, burst: 800};

/** The lowest bunyan level of lines that may use the reserve of the token bucket; lines below it are routine lines. */
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

/** A non-blocking output stream for bunyan records, with a bounded queue and a rate limit. */
export class LogSink {
	/** The number of lines dropped since the process started. */
	dropped = 0;
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
	write(record: {readonly level: number; readonly event?: string}): void {
		if (!this.tryTakeToken(record)) {
			this.dropped++;
			return;
		}

		const line = Buffer.from(`${JSON.stringify(record)}\n`);
		if (this.queuedBytes + line.length > maxQueuedBytes) {
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

	/** Takes a token from the bucket. Routine lines leave half of the burst as a reserve for lines about failures. */
	private tryTakeToken({level, event}: {readonly level: number; readonly event?: string}): boolean {
		const nowMs = performance.now();
		this.tokens = Math.min(rateLimit.burst, this.tokens + ((nowMs - this.lastRefillAtMs) / msPerSecond * rateLimit.perSecond));
		this.lastRefillAtMs = nowMs;
		const reserve = level >= warnLevel || priorityEvents.has(event) ? 0 : rateLimit.burst / 2;
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
			this.queue.push(Buffer.from(`${JSON.stringify({
				level: warnLevel, event: 'lines_dropped', dropped: this.dropped, time: new Date().toISOString(),
			})}\n`));
			this.reportedDropped = this.dropped;
		}

		const batch = Buffer.concat(this.queue.splice(0));
		this.isWriting = true;
		this.lastWriteAtMs = performance.now();
		this.writeBatch(batch);
	}

	private writeBatch(batch: Buffer): void {
		write(this.fd, batch, 0, batch.length, null, (err, written) => {
			if (!err && written < batch.length) {
				this.writeBatch(batch.subarray(written));
				return;
			}

			if (err) {
				// The failure cannot be logged, but the count is exported as a metric.
				this.dropped++;
			}

			this.queuedBytes = 0;
			for (const line of this.queue) {
				this.queuedBytes += line.length;
			}

			this.isWriting = false;
			if (this.queue.length > 0) {
				this.scheduleFlush();
			}
		});
	}
}
