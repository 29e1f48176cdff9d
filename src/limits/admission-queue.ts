/** Admission control of one service: decides which calls run, wait or are shed. Uses no timers and does no I/O. */
import type {ConcurrencyLimit} from './concurrency-limit.ts';
import {FairQueue, type QueuedCall, type WorkspaceShare} from './fair-queue.ts';
import {ServiceTimeEstimator} from './service-time-estimator.ts';

/** Maximum number of waiting calls of a workspace at one entry. It bounds memory, which the maximum wait alone does not. */
export const maxWaitingPerWorkspace = 1000;

/** Reasons for which calls are shed. */
export const shedReasons = ['queue_full', 'expected_wait', 'wait_exceeded', 'deadline'] as const;

/** The reason for which a call is shed. */
export type ShedReason = (typeof shedReasons)[number];

/** A call that needs a slot, which is the right to run one call. */
export type AdmissionCall = QueuedCall & {
	/** Monotonic time at which the call arrived, in milliseconds. */
	readonly arrivedAtMs: number;
	/** Monotonic time after which the answer is of no use to the caller, in milliseconds. */
	readonly deadlineAtMs: number;
};

/** The decision about a waiting call: it gets a slot, or it is shed for a reason. */
export type DispatchDecision<Call> = {readonly call: Call; readonly shed: ShedReason | undefined};

/** Dependencies and settings of an admission queue. */
export type AdmissionQueueOptions = {
	readonly limit: Pick<ConcurrencyLimit, 'current' | 'recordAnswer'>;
	readonly shareOf: (workspace: string) => WorkspaceShare;
	/** Maximum time that a call waits, in milliseconds. */
	readonly maxWaitMs: number;
};

/** Grants a limited number of slots to the calls of one service, and queues calls while no slot is free. */
export class AdmissionQueue<Call extends AdmissionCall> {
	/** Number of shed calls by reason. */
	readonly shedCounts: Record<ShedReason, number> = {
		queue_full: 0, expected_wait: 0, wait_exceeded: 0, deadline: 0,
	};

	private readonly queue: FairQueue<Call>;
	/** Calls that hold a slot, with the time at which they got it. */
	private readonly startTimes = new Map<Call, number>();
	/** Number of calls that hold a slot, by workspace. */
	private readonly runningByWorkspace = new Map<string, number>();
	private readonly estimator = new ServiceTimeEstimator();

	constructor(private readonly options: AdmissionQueueOptions) {
		this.queue = new FairQueue(options.shareOf);
	}

	/** Number of calls that hold a slot. */
	get running(): number {
		return this.startTimes.size;
	}

	/** Number of waiting calls. */
	get waiting(): number {
		return this.queue.size;
	}

	/**
	 * Adds a call to the queue, or sheds it at once when it is not expected to get a slot in time.
	 *
	 * @param call - the new call
	 * @param nowMs - monotonic time, in milliseconds
	 * @returns the reason when the call is shed; undefined when it waits for {@link dispatch}
	 */
	offer(call: Call, nowMs: number): ShedReason | undefined {
		const reason = this.shedReasonAtArrival(call, nowMs);
		if (reason) {
			this.shedCounts[reason]++;
		} else {
			this.queue.push(call);
		}

		return reason;
	}

	/**
	 * Assigns free slots to waiting calls, and sheds calls that have waited too long or can no longer be answered in time.
	 *
	 * @param nowMs - monotonic time, in milliseconds
	 */
	dispatch(nowMs: number): Array<DispatchDecision<Call>> {
		const decisions: Array<DispatchDecision<Call>> = [];
		while (this.startTimes.size < this.options.limit.current) {
			const call = this.queue.shift(workspace => this.runningByWorkspace.get(workspace) ?? 0);
			if (!call) {
				break;
			}

			const shed = this.shedReasonAtDispatch(call, nowMs);
			decisions.push({call, shed});
			if (shed) {
				this.shedCounts[shed]++;
				this.queue.refund(call.workspace);
			} else {
				this.admit(call, nowMs);
			}
		}

		return decisions;
	}

	/**
	 * Removes a waiting call because its wait timed out or its caller disconnected.
	 *
	 * @param reason - the reason under which the call is counted as shed; undefined when the caller disconnected
	 * @returns false when the call was no longer waiting
	 */
	withdraw(call: Call, reason?: ShedReason): boolean {
		const removed = this.queue.remove(call);
		if (removed && reason) {
			this.shedCounts[reason]++;
		}

		return removed;
	}

	/**
	 * Releases a call's slot. Has no effect when the call holds none, so it may be called again.
	 *
	 * @param call - the call that ended
	 * @param nowMs - monotonic time, in milliseconds
	 * @param answered - whether the call was answered; only answered calls count for the service time and the limit
	 */
	release(call: Call, nowMs: number, answered: boolean): void {
		const startedMs = this.startTimes.get(call);
		if (startedMs === undefined) {
			return;
		}

		if (answered) {
			this.estimator.recordAnswer(nowMs - startedMs);
			this.options.limit.recordAnswer(this.startTimes.size);
		}

		this.startTimes.delete(call);
		const remaining = (this.runningByWorkspace.get(call.workspace) ?? 1) - 1;
		if (remaining > 0) {
			this.runningByWorkspace.set(call.workspace, remaining);
		} else {
			this.runningByWorkspace.delete(call.workspace);
		}
	}

	/** Estimates how long a new call of a workspace would wait, in milliseconds. */
	expectedWaitMs(workspace: string): number {
		if (this.startTimes.size < this.options.limit.current && this.queue.size === 0) {
			return 0;
		}

		const {waiting, fraction} = this.queue.workspaceStatus(workspace);
		return waiting * this.estimator.admissionIntervalMs / fraction;
	}

	/** Returns the state for state dumps. */
	dump(): unknown {
		const {medianMs, admissionIntervalMs} = this.estimator;
		return {
			limit: this.options.limit.current,
			running: this.running,
			runningByWorkspace: Object.fromEntries(this.runningByWorkspace),
			waiting: this.waiting,
			waitingByWorkspace: this.queue.lengthByWorkspace,
			shed: this.shedCounts,
			medianServiceMs: medianMs,
			meanAdmissionIntervalMs: admissionIntervalMs,
		};
	}

	private admit(call: Call, nowMs: number): void {
		this.startTimes.set(call, nowMs);
		this.runningByWorkspace.set(call.workspace, (this.runningByWorkspace.get(call.workspace) ?? 0) + 1);
		this.estimator.recordAdmission(nowMs, this.queue.size > 0);
	}

	private shedReasonAtArrival(call: Call, nowMs: number): ShedReason | undefined {
		const {waiting} = this.queue.workspaceStatus(call.workspace);
		if (waiting >= maxWaitingPerWorkspace) {
			return 'queue_full';
		}

		const waitMs = this.expectedWaitMs(call.workspace);
		if (waitMs > this.options.maxWaitMs) {
			return 'expected_wait';
		}

		return this.canMeetDeadline(call, nowMs + waitMs) ? undefined : 'deadline';
	}

	private shedReasonAtDispatch(call: Call, nowMs: number): ShedReason | undefined {
		if (nowMs - call.arrivedAtMs > this.options.maxWaitMs) {
			return 'wait_exceeded';
		}

		return this.canMeetDeadline(call, nowMs) ? undefined : 'deadline';
	}

	/** While other calls wait, a call needs the median service time before its deadline, so that slots go to calls that can finish. */
	private canMeetDeadline(call: Call, startMs: number): boolean {
		const neededMs = this.queue.size > 0 ? this.estimator.medianMs : 0;
		return startMs + neededMs < call.deadlineAtMs;
	}
}
