/** Admits callers' requests: one admission queue per service, with the timers and the capacity that its limit follows. */
import type http from 'node:http';
import type {Priority} from '../configuration/documents.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import {
	type AdmissionCall, AdmissionQueue, type ShedReason, shedReasons,
} from './admission-queue.ts';
import {ConcurrencyLimit} from './concurrency-limit.ts';
import type {Share} from './fair-queue.ts';

/** What the reports say of a service. */
export type ServiceCapacity = {
	/** Calls that all reachable upstreams can run at once; 0 when nothing is known. */
	readonly capacity: number;
	/** Entries that share the upstreams, this one included. */
	readonly entries: number;
};

/** What the manager works with. */
export type AdmissionManagerOptions = {
	readonly shareOf: (workspace: string) => Share;
	readonly capacityOf: (service: string) => ServiceCapacity;
	/** The longest wait, in milliseconds. */
	readonly maxWaitMs: number;
	/** Spreads the repeats of shed callers. */
	readonly random: RandomSource;
};

/** Shortest mean time after which a shed caller should repeat, in milliseconds. */
const minRetryAfterMs = 1000;

/** A request that asks for a slot. */
export type AdmissionRequest = {
	readonly workspace: string;
	readonly service: string;
	readonly priority: Priority;
	/** Monotonic time of the deadline, in milliseconds. */
	readonly deadlineAtMs: number;
};

/** A call was shed before anything was forwarded. */
export class ShedError extends Error {
	/**
	 * @param reason - why
	 * @param retryAfterMs - when a repeat has a chance, in milliseconds
	 */
	constructor(readonly reason: ShedReason, readonly retryAfterMs: number) {
		super(`too many calls: ${reason}`);
	}
}

type PendingCall = AdmissionCall & {settle: (shed: ShedReason | undefined) => void};

type ServiceState = {readonly limit: ConcurrencyLimit; readonly queue: AdmissionQueue<PendingCall>};

/** Hands out slots. */
export class AdmissionManager {
	private readonly services = new Map<string, ServiceState>();

	/** @param options - what the manager works with */
	constructor(private readonly options: AdmissionManagerOptions) {}

	/** How many calls wait at all services. */
	get waiting(): number {
		return this.sum(({queue}) => queue.waiting);
	}

	/** How many calls hold a slot at all services. */
	get running(): number {
		return this.sum(({queue}) => queue.running);
	}

	/**
	 * Returns how many calls were shed.
	 *
	 * @param reason - counts only these
	 */
	shedCount(reason: ShedReason): number {
		return this.sum(({queue}) => queue.shedCounts[reason]);
	}

	/**
	 * Runs work in a slot. The slot is given back when the work ends, at the deadline, or when the caller is gone.
	 *
	 * @param request - who asks and for what
	 * @param res - the caller's response; its close means that the caller is gone
	 * @param work - runs once a slot is free
	 * @throws ShedError when the call was shed and the work was not started
	 */
	async run<Result>(request: AdmissionRequest, res: http.ServerResponse, work: () => Promise<Result>): Promise<Result> {
		const state = this.stateOf(request.service);
		const call = await this.admit(state, request, res);
		const release = (answered: boolean): void => {
			state.queue.release(call, performance.now(), answered);
			this.pump(state);
		};

		const giveUp = (): void => {
			release(res.writableEnded);
		};

		const timer = setTimeout(giveUp, Math.max(0, request.deadlineAtMs - performance.now()));
		res.once('close', giveUp);
		try {
			const result = await work();
			release(true);
			return result;
		} finally {
			clearTimeout(timer);
			res.off('close', giveUp);
			release(false);
		}
	}

	/**
	 * Records a sign that a service is overloaded.
	 *
	 * @param service - the service
	 */
	recordOverload(service: string): void {
		this.stateOf(service).limit.recordOverload();
	}

	/** Returns the state for dumps. */
	dump(): unknown {
		return Object.fromEntries([...this.services].map(([service, {queue}]) => [service, queue.dump()]));
	}

	private async admit(state: ServiceState, request: AdmissionRequest, res: http.ServerResponse): Promise<PendingCall> {
		const {maxWaitMs, random, capacityOf} = this.options;
		const {capacity, entries} = capacityOf(request.service);
		state.limit.setCapacity(capacity, entries);
		return new Promise((resolve, reject) => {
			const nowMs = performance.now();
			const leave = (): void => {
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
					res.off('close', leave);
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
			res.once('close', leave);
			if (res.destroyed) {
				// The caller left while its body was read, and close does not come again.
				call.settle('wait_exceeded');
				return;
			}

			const shed = state.queue.offer(call, nowMs);
			if (shed) {
				call.settle(shed);
			} else {
				this.pump(state);
			}
		});
	}

	private pump(state: ServiceState): void {
		for (const {call, shed} of state.queue.pump(performance.now())) {
			call.settle(shed);
		}
	}

	private stateOf(service: string): ServiceState {
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

/**
 * Returns the metrics of admission: name, help and how to read the value.
 *
 * @param admission - the manager
 */
export function admissionMetrics(admission: AdmissionManager): Array<[name: string, help: string, read: () => number]> {
	return [
		['cactusreach_admission_waiting', 'Calls that wait for a slot.', () => admission.waiting],
		['cactusreach_admission_running', 'Calls that hold a slot.', () => admission.running],
		...shedReasons.map((reason): [string, string, () => number] => [
			`cactusreach_shed_${reason}_total`, `Calls shed before they were forwarded: ${reason}.`, () => admission.shedCount(reason),
		]),
	];
}
