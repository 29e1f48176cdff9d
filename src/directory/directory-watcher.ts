/** Keeps a directory up to date from its source: one reading, then watches; repeats with pauses when the source fails. */
import type {Logger} from '../runtime/logger.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import type {Directory} from './directory.ts';
import {
	type DirectoryPart, type DirectoryChanges, type DirectorySource, HistoryLostError,
} from './directory-types.ts';

/** How long a watch waits for changes, in milliseconds; each watch is a priced call, and a longer one hides a silent connection. */
const watchWaitMs = 10_000;

/** Time that an answer may take beyond the wait, in milliseconds. */
const answerMs = 1500;

/** Pause after the first failure in a row and the longest one, in milliseconds. */
const pauseMs = {first: 150, longest: 1200};

/** Least time between two calls to the source, in milliseconds; bounds the calls when changes come in quick succession. */
const leastIntervalMs = 150;

/** A source that failed for longer than this was out, in milliseconds. */
const outageMs = 800;

/** What a watcher works with. */
export type DirectoryWatcherOptions = {
	readonly part: DirectoryPart;
	readonly source: DirectorySource;
	readonly directory: Directory;
	readonly random: RandomSource;
	readonly log: Logger;
};

/** Watches one part of the directory. */
export class DirectoryWatcher {
	private revision: number | undefined;
	private hasRead = false;
	private failures = 0;
	private failingSinceMs: number | undefined;
	private stopped = false;
	private abort = new AbortController();
	private wakeUp: (() => void) | undefined;

	/** @param options - what the watcher works with */
	constructor(private readonly options: DirectoryWatcherOptions) {}

	/** Whether the last call to the source failed. */
	get isFailing(): boolean {
		return this.failures > 0 || this.revision === undefined;
	}

	/** Starts to read and watch. */
	start(): void {
		void this.run();
	}

	/** Ends the current call and starts over with a whole reading, after a peer knew more or the process was paused. */
	restart(): void {
		this.revision = undefined;
		this.abort.abort();
		this.wakeUp?.();
	}

	/** Stops. */
	stop(): void {
		this.stopped = true;
		this.abort.abort();
		this.wakeUp?.();
	}

	private async run(): Promise<void> {
		while (!this.stopped) {
			const startedMs = performance.now();
			this.abort = new AbortController();
			try {
				await this.step();
				await this.pause(leastIntervalMs - (performance.now() - startedMs));
			} catch (err) {
				await this.recover(err as Error);
			}
		}
	}

	private async step(): Promise<void> {
		const {part, source} = this.options;
		const limitMs = (this.revision === undefined ? 0 : watchWaitMs) + answerMs;
		const signal = AbortSignal.any([this.abort.signal, AbortSignal.timeout(limitMs)]);
		if (this.revision === undefined) {
			const reading = await source.read(part, signal);
			this.take(reading, true, this.noteContact());
		} else {
			const changes = await source.watch(part, this.revision, watchWaitMs, signal);
			this.take(changes, false, this.noteContact());
		}
	}

	private take(changes: DirectoryChanges, isWhole: boolean, isAfterOutage: boolean): void {
		const {part, directory} = this.options;
		const context = {isFirstReading: !this.hasRead, isAfterOutage};
		if (isWhole && part === 'instances') {
			directory.replaceInstances(changes, context);
		} else {
			directory.apply(changes, context);
		}

		this.hasRead = true;

		if (part === 'instances') {
			directory.noteInstancesRevision(changes.revision);
		}

		this.revision = Math.max(this.revision ?? 0, changes.revision);
	}

	/** Returns whether the source was out before. */
	private noteContact(): boolean {
		const {log, part} = this.options;
		let wasOut = false;
		if (this.failingSinceMs !== undefined) {
			const outMs = Math.round(performance.now() - this.failingSinceMs);
			log.info({
				event: 'source_regained', part, outMs, failures: this.failures,
			}, 'directory source answers again');
			wasOut = outMs > outageMs;
		}

		this.failures = 0;
		this.failingSinceMs = undefined;
		return wasOut;
	}

	private async recover(err: Error): Promise<void> {
		const {log, part, random} = this.options;
		if (this.stopped) {
			return;
		}

		if (err instanceof HistoryLostError) {
			log.info({event: 'history_lost', part, revision: this.revision}, 'the source forgot its history; the part is read whole');
			this.revision = undefined;
			return;
		}

		if (this.failures === 0) {
			log.warn({event: 'source_lost', part, err}, 'directory source does not answer');
		}

		this.failures++;
		this.failingSinceMs ??= performance.now();
		await this.pause(random.jitter(Math.min(pauseMs.longest, pauseMs.first * this.failures)));
	}

	private async pause(ms: number): Promise<void> {
		if (ms <= 0 || this.stopped) {
			return;
		}

		await new Promise<void>(resolve => {
			const timer = setTimeout(resolve, ms);
			this.wakeUp = () => {
				clearTimeout(timer);
				resolve();
			};
		});
		this.wakeUp = undefined;
	}
}
