/** Writes log lines without ever blocking the event loop: a bounded queue, one write at a time, and a count of what was dropped. */
import {Buffer} from 'node:buffer';
import {write} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';

/** Bytes that may wait to be written. */
const maxQueuedBytes = 256 * 1024;

/** Lines a second and the burst beyond which routine lines are dropped. */
const lineRate = {perSecond: 400, burst: 800};

/** The bunyan level from which a line is no routine. */
const warnLevel = 40;

/** How long lines are gathered for one write, in milliseconds. */
const gatherMs = 50;

/** How long and how often the end of a process waits for its last lines, in milliseconds. */
const longestDrainMs = 200;
const drainCheckMs = 5;

const msPerSecond = 1000;

/** A stream that a logger writes records to. */
export class LogSink {
	/** Lines that were dropped since the start. */
	dropped = 0;
	private readonly queue: Buffer[] = [];
	private queuedBytes = 0;
	private isWriting = false;
	private wroteAtMs = Number.NEGATIVE_INFINITY;
	private timer: NodeJS.Timeout | undefined;
	private reportedDropped = 0;
	private tokens = lineRate.burst;
	private filledAtMs = performance.now();

	/** @param fd - the file descriptor that lines go to */
	constructor(private readonly fd: number) {}

	/**
	 * Takes one record.
	 *
	 * @param record - a bunyan record
	 */
	write(record: {readonly level: number}): void {
		if (!this.mayWrite(record.level)) {
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
		this.flushSoon();
	}

	/** Waits until what is queued was written, for a short time at most. */
	async drain(): Promise<void> {
		const endMs = performance.now() + longestDrainMs;
		this.flush();
		while ((this.isWriting || this.queue.length > 0) && performance.now() < endMs) {
			await sleep(drainCheckMs);
		}
	}

	/** Lines about failures may use the whole burst, routine ones leave half of it. */
	private mayWrite(level: number): boolean {
		const nowMs = performance.now();
		this.tokens = Math.min(lineRate.burst, this.tokens + ((nowMs - this.filledAtMs) / msPerSecond * lineRate.perSecond));
		this.filledAtMs = nowMs;
		const reserve = level >= warnLevel ? 0 : lineRate.burst / 2;
		if (this.tokens < 1 + reserve) {
			return false;
		}

		this.tokens--;
		return true;
	}

	/** The first line after a pause goes out at once, later ones within a short time in one write. */
	private flushSoon(): void {
		if (this.timer === undefined && !this.isWriting) {
			this.timer = setTimeout(() => {
				this.timer = undefined;
				this.flush();
			}, this.wroteAtMs + gatherMs > performance.now() ? gatherMs : 0);
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
		this.wroteAtMs = performance.now();
		this.writeBatch(batch);
	}

	private writeBatch(batch: Buffer): void {
		write(this.fd, batch, 0, batch.length, null, (err, written) => {
			if (!err && written < batch.length) {
				this.writeBatch(batch.subarray(written));
				return;
			}

			if (err) {
				// Nobody is left to tell; the count shows in the metrics.
				this.dropped++;
			}

			this.queuedBytes = 0;
			for (const line of this.queue) {
				this.queuedBytes += line.length;
			}

			this.isWriting = false;
			if (this.queue.length > 0) {
				this.flushSoon();
			}
		});
	}
}
