/** Admission control for callers' requests: one admission queue per service, with its timers and concurrency limit. */
import type http from 'node:http';
import type {Priority} from '../configuration/documents.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import {
	type AdmissionCall, AdmissionQueue, type ShedReason, shedReasons,
} from './admission-queue.ts';
import {ConcurrencyLimit} from './concurrency-limit.ts';
import type {WorkspaceShare} from './fair-queue.ts';

/** The capacity of a service according to the upstreams' reports. */
export type ServiceCapacity = {
	/** Calls that all reachable upstreams can run at once; 0 when no upstream is known. */
	readonly capacity: number;
	/** Number of entries that share the upstreams, including this one. */
	readonly entries: number;
};

/** Dependencies and settings of the manager. */
export type AdmissionManagerOptions = {
	/** Returns the configured share of a workspace. */
	readonly shareOf: (workspace: string) => WorkspaceShare;
	/** Returns the current capacity of a service. */
	readonly capacityOf: (service: string) => ServiceCapacity;
	/** Maximum time that a call waits for a slot, in milliseconds. */
	readonly maxWaitMs: number;
	/** Adds jitter to the retry times that shed callers are told. */
	readonly random: RandomSource;
};

/** Minimum mean time after which a shed caller should retry, in milliseconds. */
const minRetryAfterMs = 1000;

/** A request that needs a slot, which is the right to run one call of a service. */
export type AdmissionRequest = {
	readonly workspace: string;
	readonly service: string;
	readonly priority: Priority;
	/** Monotonic time of the deadline, in milliseconds. */
	readonly deadlineAtMs: number;
};

/** Thrown when a call is shed; nothing of it was forwarded. */
export class ShedError extends Error {
	/** @param retryAfterMs - time after which a retry may succeed, in milliseconds */
	constructor(readonly reason: ShedReason, readonly retryAfterMs: number) {
		super(`too many calls: ${reason}`);
	}
}

/** A call with the callback that ends its wait: with a slot, or with the reason for which it is shed. */
type PendingCall = AdmissionCall & {settle: (shed: ShedReason | undefined) => void};

type ServiceState = {readonly limit: ConcurrencyLimit; readonly queue: AdmissionQueue<PendingCall>};

/** Runs callers' requests within the concurrency limit of their service; the others wait or are shed. */
export class AdmissionManager {
	private readonly services = new Map<string, ServiceState>();

	constructor(private readonly options: AdmissionManagerOptions) {}

	/** Number of waiting calls, over all services. */
	get waiting(): number {
		return this.sum(({queue}) => queue.waiting);
	}

	/** Number of calls that hold a slot, over all services. */
	get running(): number {
		return this.sum(({queue}) => queue.running);
	}

	/**
	 * Returns how many calls were shed, over all services.
	 *
	 * @param reason - only calls shed for this reason count
	 */
	shedCount(reason: ShedReason): number {
		return this.sum(({queue}) => queue.shedCounts[reason]);
	}

	/**
	 * Waits for a slot and runs work in it. The slot is released when the work ends, at the deadline or when the caller
	 * disconnects, whichever comes first.
	 *
	 * @param res - the caller's response; when it closes before its end, the caller has disconnected
	 * @param work - the work, started once the call has a slot
	 * @throws ShedError when the call is shed; the work is not started then
	 */
	async run<Result>(request: AdmissionRequest, res: http.ServerResponse, work: () => Promise<Result>): Promise<Result> {
		const state = this.getOrCreateState(request.service);
		const call = await this.admit(state, request, res);
		const release = (answered: boolean): void => {
			state.queue.release(call, performance.now(), answered);
			this.dispatch(state);
		};

		const releaseAtDeadlineOrClose = (): void => {
			release(res.writableEnded);
		};

		const timer = setTimeout(releaseAtDeadlineOrClose, Math.max(0, request.deadlineAtMs - performance.now()));
		res.once('close', releaseAtDeadlineOrClose);
		try {
			const result = await work();
			release(true);
			return result;
		} finally {
			clearTimeout(timer);
			res.off('close', releaseAtDeadlineOrClose);
			release(false);
		}
	}

	/** Lowers the concurrency limit of a service after an agent refused a call as overloaded. */
	recordOverload(service: string): void {
		this.getOrCreateState(service).limit.recordOverload();
	}

	/** Returns the state for state dumps. */
	dump(): unknown {
		return Object.fromEntries([...this.services].map(([service, {queue}]) => [service, queue.dump()]));
	}

	private async admit(state: ServiceState, request: AdmissionRequest, res: http.ServerResponse): Promise<PendingCall> {
		const {maxWaitMs, random, capacityOf} = this.options;
		const {capacity, entries} = capacityOf(request.service);
		state.limit.setCapacity(capacity, entries);
		return new Promise((resolve, reject) => {
			const nowMs = performance.now();
			const onDisconnect = (): void => {
				state.queue.withdraw(call);
				call.settle('wait_exceeded');
			};

			const call: PendingCall = {
				workspace: request.workspace,
				priority: request.priority,
				arrivedAtMs: nowMs,
				deadlineAtMs: request.deadlineAtMs,
				settle(shed) {
					clearTimeout(timer);
					res.off('close', onDisconnect);
					if (shed) {
						reject(new ShedError(shed, random.jitter(Math.max(minRetryAfterMs, state.queue.expectedWaitMs(request.workspace)))));
					} else {
						resolve(call);
					}
				},
			};
			const remainingMs = Math.max(0, request.deadlineAtMs - nowMs);
			const reason = remainingMs < maxWaitMs ? 'deadline' : 'wait_exceeded';
			const timer = setTimeout(() => {
				state.queue.withdraw(call, reason);
				call.settle(reason);
			}, Math.min(maxWaitMs, remainingMs));
			res.once('close', onDisconnect);
			if (res.destroyed) {
				// The caller disconnected while the body was read, and `close` is not emitted again.
				call.settle('wait_exceeded');
				return;
			}

			const shed = state.queue.offer(call, nowMs);
			if (shed) {
				call.settle(shed);
			} else {
				this.dispatch(state);
			}
		});
	}

	private dispatch(state: ServiceState): void {
		for (const {call, shed} of state.queue.dispatch(performance.now())) {
			call.settle(shed);
		}
	}

	private getOrCreateState(service: string): ServiceState {
		let state = this.services.get(service);
		if (!state) {
			const limit = new ConcurrencyLimit();
			const {shareOf, maxWaitMs} = this.options;
			state = {limit, queue: new AdmissionQueue({limit, shareOf, maxWaitMs})};
			this.services.set(service, state);
		}

		return state;
	}

	private sum(read: (state: ServiceState) => number): number {
		let total = 0;
		for (const state of this.services.values()) {
			total += read(state);
		}

		return total;
	}
}

/** Returns the admission metrics: name, help text and a function that reads the value. */
export function admissionMetrics(admission: AdmissionManager): Array<[name: string, help: string, read: () => number]> {
	return [
		['cactusreach_admission_waiting', 'Calls that wait for a slot.', () => admission.waiting],
		['cactusreach_admission_running', 'Calls that hold a slot.', () => admission.running],
		...shedReasons.map((reason): [string, string, () => number] => [
			`cactusreach_shed_${reason}_total`, `Calls shed before they were forwarded: ${reason}.`, () => admission.shedCount(reason),
		]),
	];
}
