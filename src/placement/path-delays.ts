/**
 * Keeps how long messages are under way to each instance and back, as far as answers and missing answers show it. No I/O.
 *
 * Addresses VMs whose links are busy, for example with weights: a call may reach its instance much later than it was sent, and so may
 * the reset that takes it back.
 */
import {DecayingMaximum} from '../runtime/decaying-maximum.ts';
import {type ListeningClock, monotonicClock} from '../runtime/pause-detector.ts';

/** Upper bound of the delay that is assumed of a path, in milliseconds; a longer wait has other causes as well. */
export const maxPathDelayMs = 2000;

/** The time after which a delay counts by half, in milliseconds. */
const delayHalfLifeMs = 2000;

/** How much later than expected a wait may end that tells of the path, in milliseconds; after a longer time, a message was lost or a process stood still. */
const maxTellingOverdueMs = 4000;

/** How long a question may be unanswered before the path counts as unknown, in milliseconds. */
const answerTimeMs = 15;

/** What is known of the path to one instance. */
class Path {
	readonly recent = new DecayingMaximum(delayHalfLifeMs);
	readonly waits = new Set<PathWait>();

	/** Whether a call waits for its start. */
	get hasCalls(): boolean {
		return [...this.waits].some(({isQuestion}) => !isQuestion);
	}

	/** The largest delay that was seen lately, less the older it is, or that a wait shows now, in milliseconds. */
	get seenMs(): number {
		return Math.max(this.recent.value, ...[...this.waits].map(({overdueMs}) => overdueMs));
	}

	/** The delay that is assumed, in milliseconds. */
	get delayMs(): number {
		return Math.max(this.seenMs, ...[...this.waits].map(({keptMs}) => keptMs));
	}
}

/** The wait for an answer of an instance; it counts at once, without the answer. */
export class PathWait {
	/** The delay that counts until the answer is there, in milliseconds; 0 if none is kept. */
	keptMs = 0;
	private sinceMs: number;
	private isArrived = false;

	/** @param expectedMs - when the answer is expected if the path is short, in milliseconds; undefined for a question, which is answered at once */
	constructor(private readonly path: Path, private readonly clock: ListeningClock, private readonly expectedMs?: number) {
		this.sinceMs = clock.listeningMs;
		path.waits.add(this);
	}

	/** Whether it is the wait for the answer to a question, not that of a call. */
	get isQuestion(): boolean {
		return this.expectedMs === undefined;
	}

	/** Whether it is a question that should have been answered; one that has arrived tells nothing of the path. */
	get isUnanswered(): boolean {
		return this.isQuestion && !this.isArrived && this.waitedMs >= answerTimeMs;
	}

	/** How much later than expected the answer is now, in milliseconds. */
	get overdueMs(): number {
		return this.isArrived ? 0 : Math.min(maxPathDelayMs, Math.max(0, this.lateMs));
	}

	private get waitedMs(): number {
		return this.clock.listeningMs - this.sinceMs;
	}

	/** How much later than expected the answer is now, negative before; without regard to other answers. */
	private get lateMs(): number {
		return this.waitedMs - (this.expectedMs ?? 0);
	}

	/** Notes that the question was asked again; it counts anew if the one before has arrived and only its answer is missing. */
	renew(): void {
		if (this.isArrived) {
			this.sinceMs = this.clock.listeningMs;
			this.isArrived = false;
		}
	}

	/** Lets the delay that the path shows now count until the answer is there, since a call that waits does not show that it became shorter. */
	keepDelay(): void {
		this.keptMs = this.path.seenMs;
	}

	/** Ends the wait, with an answer or without; does nothing if it has ended before. */
	end(): void {
		if (this.path.waits.delete(this) && this.lateMs <= maxTellingOverdueMs) {
			this.path.recent.record(this.overdueMs);
		}
	}

	/** Ends the wait with an answer that came over the whole path, so that everything sent before has arrived as well. */
	endWithAnswer(): void {
		this.end();
		for (const wait of this.path.waits) {
			if (wait.sinceMs <= this.sinceMs) {
				wait.isArrived = true;
				wait.keptMs = 0;
			}
		}
	}
}

/** Holds the delay of the path by instance ID. */
export class PathDelays {
	private readonly paths = new Map<string, Path>();

	/** @param clock - tells for how long this process could hear the instances, since its own delays are none of the path */
	constructor(private readonly clock: ListeningClock = monotonicClock) {}

	/** The longest delay to any instance now, in milliseconds. */
	get longestMs(): number {
		return Math.max(0, ...[...this.paths.keys()].map(id => this.delayMs(id)));
	}

	/**
	 * Starts to wait for an answer.
	 *
	 * @param id - the instance ID
	 * @param expectedMs - as in {@link PathWait}
	 */
	wait(id: string, expectedMs?: number): PathWait {
		let path = this.paths.get(id);
		if (!path) {
			path = new Path();
			this.paths.set(id, path);
		}

		return new PathWait(path, this.clock, expectedMs);
	}

	/**
	 * Returns the largest recent delay of the path to an instance, less the older it is, in milliseconds; 0 if none was seen.
	 *
	 * @param id - the instance ID
	 */
	delayMs(id: string): number {
		return this.paths.get(id)?.delayMs ?? 0;
	}

	/**
	 * Returns whether a question to an instance is unanswered for longer than usual, so that the delay of its path is unknown.
	 *
	 * @param id - the instance ID
	 */
	isUnknown(id: string): boolean {
		return [...this.paths.get(id)?.waits ?? []].some(({isUnanswered}) => isUnanswered);
	}

	/**
	 * Discards what is known of other instances, unless a call waits there, which may have to be taken back in time.
	 *
	 * @param present - IDs of the instances to keep
	 */
	retainOnly(present: ReadonlySet<string>): void {
		for (const [id, {hasCalls}] of this.paths) {
			if (!present.has(id) && !hasCalls) {
				this.paths.delete(id);
			}
		}
	}
}
