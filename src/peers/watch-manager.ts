/** Starts and stops this process's watchers of the directory source, according to its duty in its zone. */
import type {DirectoryWatcher} from '../directory/directory-watcher.ts';
import type {PeerInfo} from '../messages/peers-exchange.ts';
import type {Logger} from '../runtime/logger.ts';
import {
	rankForWatch, shouldWatch, type WatchCoverage, watchersPerZone,
} from './watch-duty.ts';

/** When a process decides first after its start, and how long it waits while it knows no other process, in milliseconds. */
const startHoldMs = {min: 250, max: 600};

/** Interval between two decisions, in milliseconds. */
const decisionIntervalMs = 500;

/** Dependencies of a {@link WatchManager}. */
export type WatchManagerOptions = {
	readonly self: PeerInfo;
	/** Returns the other processes. */
	readonly others: () => readonly PeerInfo[];
	readonly coverage: WatchCoverage;
	readonly watchers: readonly DirectoryWatcher[];
	readonly log: Logger;
};

/** Decides periodically whether this process watches. */
export class WatchManager {
	/** Whether this process reads and watches the source. */
	isWatching = false;
	private startedAtMs = 0;
	private shortSinceMs: number | undefined;
	private timer: NodeJS.Timeout | undefined;

	constructor(private readonly options: WatchManagerOptions) {}

	/** Whether the source does not respond to this process although it should watch. */
	get isFailing(): boolean {
		return this.isWatching && this.options.watchers.some(watcher => watcher.isFailing);
	}

	/** Starts the watchers, since after a power failure no other process may know anything yet, and decides soon whether they go on. */
	start(): void {
		this.setWatching(true, {});
		this.startedAtMs = performance.now();
		this.shortSinceMs = this.startedAtMs;
		this.schedule(startHoldMs.min);
	}

	/** Stops the watchers. */
	stop(): void {
		clearTimeout(this.timer);
		this.setWatching(false, {});
	}

	/** Reads the source anew, since this process was paused. */
	restart(): void {
		if (this.isWatching) {
			for (const watcher of this.options.watchers) {
				watcher.restart();
			}
		}
	}

	/** Records whether this process watches successfully, for messages to others. */
	recordOwnCoverage(): void {
		const {coverage, self, watchers} = this.options;
		if (!this.isWatching || this.isFailing) {
			coverage.remove(self.vm);
			return;
		}

		coverage.record(self.vm, Math.max(...watchers.map(({responseAgeMs}) => responseAgeMs)));
	}

	private schedule(waitMs: number): void {
		this.timer = setTimeout(() => {
			const isAlone = this.options.others().length === 0;
			if (isAlone && performance.now() - this.startedAtMs < startHoldMs.max) {
				this.schedule(startHoldMs.min);
				return;
			}

			this.decide();
			this.schedule(decisionIntervalMs);
		}, waitMs);
		this.timer.unref();
	}

	private decide(): void {
		const {self, others, coverage} = this.options;
		this.recordOwnCoverage();
		const processes = [self, ...others()];
		const ranking = rankForWatch(self.zone, processes);
		const position = ranking.indexOf(self.vm);
		const {ages} = coverage;
		const workingAbove = ranking.slice(0, position).filter(vm => ages.has(vm)).length;
		const wanted = watchersPerZone(new Set(processes.map(({zone}) => zone)).size);
		const nowMs = performance.now();
		this.shortSinceMs = workingAbove < wanted ? this.shortSinceMs ?? nowMs : undefined;
		const shortForMs = nowMs - (this.shortSinceMs ?? nowMs);
		const inputs = {wanted, position, workingAbove};
		this.setWatching(shouldWatch({...inputs, isWatching: this.isWatching, shortForMs}), inputs);
	}

	private setWatching(isWatching: boolean, inputs: Record<string, number>): void {
		if (isWatching === this.isWatching) {
			return;
		}

		this.isWatching = isWatching;
		this.options.log.info({event: isWatching ? 'watch_started' : 'watch_stopped', ...inputs}, isWatching ? 'watching the directory source for the zone' : 'other processes of the zone watch the directory source');
		for (const watcher of this.options.watchers) {
			if (isWatching) {
				watcher.start();
			} else {
				watcher.stop();
			}
		}
	}
}
