/** Keeps a part of the directory up to date: one full read, then long-polling watches, with delayed retries when the source fails. */
import {DecayingMaximum} from '../runtime/decaying-maximum.ts';
import {setInputTimeout} from '../runtime/input-timeout.ts';
import type {Logger} from '../runtime/logger.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import {noEra, type StoreEra} from '../ids/store-era.ts';
import type {Directory} from './directory.ts';
import {
	type DirectoryPart, type DirectoryChanges, type DirectorySource, HistoryLostError, SourceError,
} from './directory-types.ts';

/** Timeout of a read, and of a watch beyond its wait, in milliseconds. */
const responseTimeoutMs = 1500;

/** Timeout of a watch beyond its wait while the source answers fast, in milliseconds; half of it counts as fast. */
const fastTimeoutMs = 800;

/** Retry delay per consecutive failure and its maximum, in milliseconds. */
const retryDelayMs = {step: 150, max: 1200};

/**
 * Mean interval between two calls to a source that responds, in milliseconds. Changes that follow each other are read together, since each
 * call is billed; as the intervals of several watchers differ, one of them reads the next change soon.
 */
const callIntervalMs = 500;

/** How long a request may be under way to a source that works, in milliseconds. A watch that is answered sooner may tell changes from before it. */
const maxRequestMs = 250;

/** The time after which the delay that a watch showed counts by half, in milliseconds: a few watches. */
const delayHalfLifeMs = 10_000;

/**
 * How long after a rise of the era writers may still repeat what the source has lost, in milliseconds. Versions that are named then may have
 * been named before the rise.
 */
const rewriteMs = 5000;

/** Failures of the source that last longer than this count as an outage, in milliseconds. */
const minOutageMs = 800;

/** Dependencies of {@link DirectoryWatcher}. */
export type DirectoryWatcherOptions = {
	readonly part: DirectoryPart;
	readonly source: DirectorySource;
	readonly directory: Directory;
	/** Returns how long the next watch waits for changes, in milliseconds. */
	readonly watchWaitMs: () => number;
	readonly random: RandomSource;
	readonly log: Logger;
};

/** The circumstances of a response. Times are those of the directory's clock. */
type ResponseInfo = {
	readonly isFullRead: boolean;
	/** The earliest time at which the changes in the response may have been made. */
	readonly namedAfterMs: number;
	/** The time up to which the response is complete. */
	readonly completeUntilMs: number;
};

/** When a call is made, in milliseconds of the directory's clock, and what a watch starts from and how long it waits; none for a read. */
type CallInput = {readonly requestedAtMs: number; readonly watch: {readonly after: number; readonly waitMs: number} | undefined};

/** Reads and watches one part of the directory, and applies the changes. */
export class DirectoryWatcher {
	private revision: number | undefined;
	/** The era of the last response. */
	private era: StoreEra = noEra;
	/** Until when versions count as named before the last rise of the era, and the time from which they may have been lost. */
	private rewrite = {untilMs: Number.NEGATIVE_INFINITY, lostAfterMs: Number.POSITIVE_INFINITY};
	private hasReadOnce = false;
	/** The latest time up to which this process has learned of all changes, also from before a restart; versions that it learns of next were named later. */
	private completeUntilMs = Number.NEGATIVE_INFINITY;
	/** Whether the last response came in a fraction of the time that one may take. */
	private isFast = false;
	/** How much longer than their wait watches took lately: requests and answers are under way for as long. */
	private readonly delay = new DecayingMaximum(delayHalfLifeMs);
	private failures = 0;
	private failingSinceMs: number | undefined;
	private respondedAtMs = Number.NEGATIVE_INFINITY;
	/** Increases with each start and stop, and ends the loop of an earlier start. */
	private run = 0;
	private stopped = true;
	private abortController = new AbortController();
	private cancelSleep: (() => void) | undefined;

	constructor(private readonly options: DirectoryWatcherOptions) {}

	/** Whether the last call to the source failed, or no read has succeeded since the start or restart. */
	get isFailing(): boolean {
		return this.failures > 0 || this.revision === undefined;
	}

	/** How long ago the source last responded, in milliseconds. */
	get responseAgeMs(): number {
		return performance.now() - this.respondedAtMs;
	}

	/** Starts to read and watch, with a full read first. */
	start(): void {
		this.stopped = false;
		this.revision = undefined;
		this.hasReadOnce = false;
		this.failures = 0;
		this.failingSinceMs = undefined;
		void this.watchUntilStopped(++this.run);
	}

	/** Aborts the current call and starts over with a full read, for use after a peer had newer data or the process was paused. */
	restart(): void {
		this.revision = undefined;
		this.abortController.abort();
		this.cancelSleep?.();
	}

	/** Stops; the watcher can be started again. */
	stop(): void {
		this.stopped = true;
		this.run++;
		this.abortController.abort();
		this.cancelSleep?.();
	}

	/**
	 * The revision to watch from; undefined before a read of the present era. A watch from an earlier one would be answered at once with
	 * instances that other processes have told of.
	 */
	private get knownRevision(): number | undefined {
		const {part, directory} = this.options;
		if (this.revision === undefined || directory.era > this.era) {
			return undefined;
		}

		return part === 'instances' && directory.instancesEra === this.era ? Math.max(this.revision, directory.instancesRevision) : this.revision;
	}

	private async watchUntilStopped(run: number): Promise<void> {
		while (run === this.run) {
			const startedMs = performance.now();
			this.abortController = new AbortController();
			try {
				await this.readOrWatch(run);
				await this.sleep(this.options.random.jitter(callIntervalMs) - (performance.now() - startedMs));
			} catch (err) {
				if (run === this.run) {
					await this.handleFailure(err as Error);
				}
			}
		}
	}

	private async readOrWatch(run: number): Promise<void> {
		const requestedAtMs = this.options.directory.clock.nowMs;
		const watch = this.knownRevision === undefined ? undefined : {after: this.knownRevision, waitMs: this.options.watchWaitMs()};
		const waitMs = watch?.waitMs ?? 0;
		const limitMs = waitMs + (watch && this.isFast ? fastTimeoutMs : responseTimeoutMs);
		const {abortController} = this;
		const timeout = setInputTimeout(() => {
			abortController.abort(new Error(`no response within ${limitMs} ms`));
		}, limitMs);
		try {
			const startedMs = performance.now();
			await this.call(run, {requestedAtMs, watch}, abortController.signal);
			this.recordSpeed(performance.now() - startedMs - waitMs);
		} finally {
			timeout.clear();
		}
	}

	/** Learns from a response that the source did not hold back for less than the wait how long one takes; a change ends the wait at any time. */
	private recordSpeed(beyondWaitMs: number): void {
		if (beyondWaitMs >= 0) {
			this.isFast = beyondWaitMs < fastTimeoutMs / 2;
		}
	}

	/** Watches the part, or reads it if it has not been read yet. */
	private async call(run: number, {requestedAtMs, watch}: CallInput, signal: AbortSignal): Promise<void> {
		const {part, source, directory: {clock}} = this.options;
		if (watch) {
			const changes = await source.watch(part, watch.after, watch.waitMs, signal);
			// Without a change, the source answers when the wait is over.
			this.delay.record(Math.max(0, clock.nowMs - requestedAtMs - watch.waitMs));
			const delayMs = this.delay.value;
			const answeredAfterMs = clock.arrivedAfterMs - delayMs;
			// The source answers a watch as soon as there is a change, so one that is answered late tells what has just changed.
			const namedAfterMs = answeredAfterMs > requestedAtMs + maxRequestMs + delayMs ? answeredAfterMs : this.completeUntilMs;
			this.applyResponse(run, changes, {isFullRead: false, namedAfterMs, completeUntilMs: Math.max(requestedAtMs, answeredAfterMs)});
		} else {
			const snapshot = await source.read(part, signal);
			this.applyResponse(run, snapshot, {isFullRead: true, namedAfterMs: this.completeUntilMs, completeUntilMs: requestedAtMs});
		}
	}

	private applyResponse(run: number, changes: DirectoryChanges, response: ResponseInfo): void {
		if (run !== this.run) {
			return;
		}

		const {directory} = this.options;
		const {era = directory.era} = changes;
		if (era < directory.era) {
			throw new SourceError(`the response is of era ${era}, and era ${directory.era} is known`);
		}

		if (era > this.era && !response.isFullRead) {
			throw new HistoryLostError(`the changes are those since a revision of era ${this.era}`, era);
		}

		const wasOutage = this.recordSuccess();
		directory.observeEra(era, 'source');
		this.enterEra(era);
		this.applyChanges(changes, this.boundNaming(response), wasOutage);
		this.completeUntilMs = Math.max(this.completeUntilMs, response.completeUntilMs);
	}

	/** Records the era of a full read. What was named before it and is named again counts as named since the last response of the earlier era. */
	private enterEra(era: StoreEra): void {
		if (era > this.era && Number.isFinite(this.completeUntilMs)) {
			const nowMs = performance.now();
			const lostAfterMs = nowMs < this.rewrite.untilMs ? this.rewrite.lostAfterMs : Number.POSITIVE_INFINITY;
			this.rewrite = {untilMs: nowMs + rewriteMs, lostAfterMs: Math.min(lostAfterMs, this.completeUntilMs)};
		}

		this.era = era;
	}

	private boundNaming(response: ResponseInfo): ResponseInfo {
		const isRewriting = performance.now() < this.rewrite.untilMs;
		return isRewriting ? {...response, namedAfterMs: Math.min(response.namedAfterMs, this.rewrite.lostAfterMs)} : response;
	}

	private applyChanges(changes: DirectoryChanges, {isFullRead, namedAfterMs}: ResponseInfo, isAfterOutage: boolean): void {
		const {part, directory} = this.options;
		// Before the first read, other processes may have had an outage of the source that this one did not notice.
		const context = {isAfterOutage: isAfterOutage || !this.hasReadOnce, namedAfterMs};
		const ofEra = {...changes, era: this.era};
		if (part === 'published') {
			directory.evacuations.recordComplete(ofEra, isFullRead);
		}

		if (isFullRead && part === 'instances') {
			directory.replaceInstances(ofEra, context);
		} else {
			directory.apply(ofEra, context);
		}

		if (isFullRead && part === 'published') {
			directory.evacuations.confirmation.confirm();
		}

		this.hasReadOnce = true;

		if (part === 'instances') {
			directory.advanceInstancesRevision(changes.revision, this.era);
		}

		this.revision = isFullRead ? changes.revision : Math.max(this.revision ?? 0, changes.revision);
	}

	/** Resets the failure state; returns whether an outage has just ended. */
	private recordSuccess(): boolean {
		const {log, part} = this.options;
		let wasOutage = false;
		if (this.failingSinceMs !== undefined) {
			const outMs = Math.round(performance.now() - this.failingSinceMs);
			log.info({
				event: 'source_regained', part, outMs, failures: this.failures,
			}, 'directory source responds again');
			wasOutage = outMs > minOutageMs;
		}

		this.failures = 0;
		this.failingSinceMs = undefined;
		this.respondedAtMs = performance.now();
		return wasOutage;
	}

	private async handleFailure(err: Error): Promise<void> {
		const {log, part, random, directory} = this.options;
		if (err instanceof SourceError && err.era !== undefined) {
			directory.observeEra(err.era, 'source');
		}

		if (err instanceof HistoryLostError) {
			log.info({event: 'history_lost', part, revision: this.revision}, 'the directory source no longer has the requested history; reading the part in full');
			this.revision = undefined;
			return;
		}

		if (this.failures === 0) {
			log.warn({event: 'source_lost', part, err}, 'call to the directory source failed');
		}

		this.failures++;
		this.isFast = false;
		this.failingSinceMs ??= performance.now();
		await this.sleep(random.jitter(Math.min(retryDelayMs.max, retryDelayMs.step * this.failures)));
	}

	private async sleep(ms: number): Promise<void> {
		if (ms <= 0 || this.stopped) {
			return;
		}

		await new Promise<void>(resolve => {
			const timer = setTimeout(resolve, ms);
			this.cancelSleep = () => {
				clearTimeout(timer);
				resolve();
			};
		});
		this.cancelSleep = undefined;
	}
}
