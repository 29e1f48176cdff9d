/** Starts and stops this process's watchers of the directory source, according to its duty in its zone. */
import type {DirectoryWatcher} from '../directory/directory-watcher.ts';
import type {PeerInfo} from '../messages/peers-exchange.ts';
import type {Logger} from '../runtime/logger.ts';
import type {ListeningClock} from '../runtime/pause-detector.ts';
import {
	type OwnWatch, rankForWatch, shouldWatch, type WatchCoverage, watchersPerZone,
} from './watch-duty.ts';

/** When a process decides first after its start, and how long it waits while it knows no other process, in milliseconds. */
const startHoldMs = {min: 250, max: 600};

/** Interval between two decisions, in milliseconds. */
const decisionIntervalMs = 500;

/** How long a process that was cut off goes on watching after it was last found to be, in milliseconds. */
const cutOffHoldMs = 3000;

/**
 * How long a watch waits for changes, in milliseconds. Each watch is a billed call, which favours a long wait; connections that went silent are
 * found only at its end, so the first watcher of the fleet, and a process that nobody else watches for, wait for a short time.
 */
const watchWaitMs = {short: 1700, long: 5000};

/** Dependencies of a {@link WatchManager}. */
export type WatchManagerOptions = {
	readonly self: PeerInfo;
	/** Returns the other processes; the same list until they change. */
	readonly others: () => readonly PeerInfo[];
	readonly coverage: WatchCoverage;
	readonly watchers: readonly DirectoryWatcher[];
	readonly log: Logger;
	/** Tells for how long this process could hear of other watchers. */
	readonly clock: ListeningClock;
};

/** The rank of this process for the duty to watch, among the processes of `list`. */
type Duty = {
	readonly list: readonly PeerInfo[];
	readonly position: number;
	/** The VMs of higher rank. */
	readonly above: readonly string[];
	/** Number of processes of the zone that should watch. */
	readonly wanted: number;
	/** Whether this process comes first in the first zone. */
	readonly isFirst: boolean;
};

/** Decides periodically whether this process watches. */
export class WatchManager {
	/** Whether this process reads and watches the source. */
	isWatching = false;
	private startedAtMs = 0;
	/** Since when there have been too few watchers, by the listening clock. */
	private shortSinceMs: number | undefined;
	private timer: NodeJS.Timeout | undefined;
	private lastDuty: Duty | undefined;
	/** Until when this process counts as cut off from the others. */
	private cutOffUntilMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: WatchManagerOptions) {}

	/** Whether the source does not respond to this process although it should watch. */
	get isFailing(): boolean {
		return this.isWatching && this.options.watchers.some(watcher => watcher.isFailing);
	}

	/** What this process knows of the source: a process that fails to watch although it need not says nothing of an outage. */
	get ownWatch(): OwnWatch {
		if (!this.isWatching) {
			return 'none';
		}

		if (!this.isFailing) {
			return 'working';
		}

		return this.duty.position < this.duty.wanted ? 'failing' : 'none';
	}

	/** How long the next watch should wait for changes, in milliseconds. */
	get waitMs(): number {
		return this.duty.isFirst || this.isCutOff ? watchWaitMs.short : watchWaitMs.long;
	}

	/** Watches for a while, since no other process confirms what this one knows. */
	watchAlone(): void {
		this.cutOffUntilMs = performance.now() + cutOffHoldMs;
		this.decide();
	}

	/** Starts the watchers, since after a power failure no other process may know anything yet, and decides soon whether they go on. */
	start(): void {
		this.setWatching(true, {});
		this.startedAtMs = performance.now();
		this.shortSinceMs = this.options.clock.listeningMs;
		this.schedule(startHoldMs.min);
	}

	/** Stops the watchers. */
	stop(): void {
		clearTimeout(this.timer);
		this.setWatching(false, {});
	}

	/** Reads the source again in full, since this process was paused. */
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

	private get isCutOff(): boolean {
		return performance.now() < this.cutOffUntilMs;
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

	/** The position of this process in the ranking of its zone, computed again when the list of processes has changed. */
	private get duty(): Duty {
		const {self, others} = this.options;
		const list = others();
		if (this.lastDuty?.list !== list) {
			const processes = [self, ...list];
			const zones = [...new Set(processes.map(({zone}) => zone))].toSorted();
			const ranking = rankForWatch(self.zone, processes);
			const position = ranking.indexOf(self.vm);
			this.lastDuty = {
				list, position, above: ranking.slice(0, position), wanted: watchersPerZone(zones.length), isFirst: position === 0 && self.zone === zones[0],
			};
		}

		return this.lastDuty;
	}

	private decide(): void {
		const {coverage, clock} = this.options;
		this.recordOwnCoverage();
		const {position, above, wanted} = this.duty;
		const {ages} = coverage;
		const workingAbove = above.filter(vm => ages.has(vm)).length;
		const nowMs = clock.listeningMs;
		this.shortSinceMs = workingAbove < wanted ? this.shortSinceMs ?? nowMs : undefined;
		const shortForMs = nowMs - (this.shortSinceMs ?? nowMs);
		const inputs = {
			wanted, position, workingAbove, isCutOff: this.isCutOff,
		};
		this.setWatching(shouldWatch({...inputs, isWatching: this.isWatching, shortForMs}), inputs);
	}

	private setWatching(isWatching: boolean, inputs: Record<string, number | boolean>): void {
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
