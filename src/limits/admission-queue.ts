/** Decides which calls of one service run, wait or are shed before they are forwarded. It holds no timers and does no I/O. */
import type {ConcurrencyLimit} from './concurrency-limit.ts';
import {type FairCall, FairQueue, type Share} from './fair-queue.ts';
import {ServiceTime} from './service-time-estimator.ts';

/** Most waiting calls of one workspace at one entry; bounds memory where the wait alone would not. */
export const maxWaitingPerWorkspace = 1000;

/** Why a call is shed. */
export const shedReasons = ['queue_full', 'expected_wait', 'wait_exceeded', 'deadline'] as const;

/** Why a call is shed. */
export type ShedReason = (typeof shedReasons)[number];

/** A call that asks for a slot. */
export type AdmissionCall = FairCall & {
	/** Monotonic time at which the call arrived, in milliseconds. */
	readonly arrivedAtMs: number;
	/** Monotonic time after which an answer is worth nothing, in milliseconds. */
	readonly deadlineAtMs: number;
};

/** What happens to a call that waited. */
export type Verdict<Call> = {readonly call: Call; readonly shed: ShedReason | undefined};

/** What the queue works with. */
export type AdmissionQueueOptions = {
	readonly limit: Pick<ConcurrencyLimit, 'current' | 'recordAnswer'>;
	readonly shareOf: (workspace: string) => Share;
	/** The longest wait, in milliseconds. */
	readonly maxWaitMs: number;
};

/** The slots and the waiting calls of one service. */
export class AdmissionQueue<Call extends AdmissionCall> {
	/** Shed calls by reason. */
	readonly shedCounts: Record<ShedReason, number> = {
		queue_full: 0, expected_wait: 0, wait_exceeded: 0, deadline: 0,
	};

	private readonly queue: FairQueue<Call>;
	private readonly holders = new Map<Call, number>();
	private readonly inFlight = new Map<string, number>();
	private readonly times = new ServiceTime();

	/** @param options - what the queue works with */
	constructor(private readonly options: AdmissionQueueOptions) {
		this.queue = new FairQueue(options.shareOf);
	}

	/** How many calls hold a slot. */
	get running(): number {
		return this.holders.size;
	}

	/** How many calls wait. */
	get waiting(): number {
		return this.queue.size;
	}

	/**
	 * Takes a call in, or sheds it at once when waiting would be in vain.
	 *
	 * @param call - the call
	 * @param nowMs - monotonic time, in milliseconds
	 * @returns why the call is shed; undefined when {@link pump} decides
	 */
	offer(call: Call, nowMs: number): ShedReason | undefined {
		const reason = this.reasonToRefuse(call, nowMs);
		if (reason) {
			this.shedCounts[reason]++;
		} else {
			this.queue.push(call);
		}

		return reason;
	}

	/**
	 * Hands free slots to waiting calls and sheds those that can no longer be answered in time.
	 *
	 * @param nowMs - monotonic time, in milliseconds
	 */
	pump(nowMs: number): Array<Verdict<Call>> {
		const verdicts: Array<Verdict<Call>> = [];
		while (this.holders.size < this.options.limit.current) {
			const call = this.queue.shift(workspace => this.inFlight.get(workspace) ?? 0);
			if (!call) {
				break;
			}

			const shed = this.reasonToShed(call, nowMs);
			verdicts.push({call, shed});
			if (shed) {
				this.shedCounts[shed]++;
				this.queue.refund(call.workspace);
			} else {
				this.admit(call, nowMs);
			}
		}

		return verdicts;
	}

	/**
	 * Removes a waiting call whose wait is over.
	 *
	 * @param call - the call
	 * @param reason - counted as the reason; undefined when the caller left
	 * @returns false when the call no longer waited
	 */
	withdraw(call: Call, reason?: ShedReason): boolean {
		const removed = this.queue.remove(call);
		if (removed && reason) {
			this.shedCounts[reason]++;
		}

		return removed;
	}

	/**
	 * Gives a call's slot back; repeated calls change nothing.
	 *
	 * @param call - the call
	 * @param nowMs - monotonic time, in milliseconds
	 * @param answered - whether the call was answered, so that its time says something about the service
	 */
	release(call: Call, nowMs: number, answered: boolean): void {
		const startedMs = this.holders.get(call);
		if (startedMs === undefined) {
			return;
		}

		if (answered) {
			this.times.recordAnswer(nowMs - startedMs);
			this.options.limit.recordAnswer(this.holders.size);
		}

		this.holders.delete(call);
		const left = (this.inFlight.get(call.workspace) ?? 1) - 1;
		if (left > 0) {
			this.inFlight.set(call.workspace, left);
		} else {
			this.inFlight.delete(call.workspace);
		}
	}

	/** Returns how long a new call of a workspace would wait, in milliseconds. */
	expectedWaitMs(workspace: string): number {
		if (this.holders.size < this.options.limit.current && this.queue.size === 0) {
			return 0;
		}

		const {waiting, fraction} = this.queue.standing(workspace);
		return waiting * this.times.intervalMs / fraction;
	}

	/** Returns the state for dumps. */
	dump(): unknown {
		const {medianMs, intervalMs} = this.times;
		return {
			limit: this.options.limit.current,
			running: this.running,
			runningByWorkspace: Object.fromEntries(this.inFlight),
			waiting: this.waiting,
			waitingByWorkspace: this.queue.lengths,
			shed: this.shedCounts,
			medianServiceMs: medianMs,
			meanAdmissionIntervalMs: intervalMs,
		};
	}

	private admit(call: Call, nowMs: number): void {
		this.holders.set(call, nowMs);
		this.inFlight.set(call.workspace, (this.inFlight.get(call.workspace) ?? 0) + 1);
		this.times.recordAdmission(nowMs, this.queue.size > 0);
	}

	private reasonToRefuse(call: Call, nowMs: number): ShedReason | undefined {
		const {waiting} = this.queue.standing(call.workspace);
		if (waiting >= maxWaitingPerWorkspace) {
			return 'queue_full';
		}

		const waitMs = this.expectedWaitMs(call.workspace);
		if (waitMs > this.options.maxWaitMs) {
			return 'expected_wait';
		}

		return this.isInTime(call, nowMs + waitMs) ? undefined : 'deadline';
	}

	private reasonToShed(call: Call, nowMs: number): ShedReason | undefined {
		if (nowMs - call.arrivedAtMs > this.options.maxWaitMs) {
			return 'wait_exceeded';
		}

		return this.isInTime(call, nowMs) ? undefined : 'deadline';
	}

	/** While others wait, a slot goes to a call that has at least the median service time left. */
	private isInTime(call: Call, startMs: number): boolean {
		const neededMs = this.queue.size > 0 ? this.times.medianMs : 0;
		return startMs + neededMs < call.deadlineAtMs;
	}
}
