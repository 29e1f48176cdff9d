/** What callers and workers saw in one run, and what was done to the processes meanwhile. Times are in milliseconds of the system's clock. */
import type {Arrival} from '../standins/fault-worker.ts';

/** The error of a call that got neither an answer nor a closed connection. */
export const unendedError = 'no answer in time';

/** The kinds of calls, as the routes name them. */
export type CallKind = 'stream' | 'once' | 'repeatable';

/** One call as its caller saw it. */
export type CallRecord = {
	readonly id: string;
	readonly kind: CallKind;
	readonly gateway: string;
	readonly sentAtMs: number;
	/** The newest configuration that this run of the gateway was known to have used when the call was sent. */
	readonly floor: number;
	/** Number of the gateway's run. */
	readonly run: number;
	endedAtMs: number;
	status: number;
	/** Whether the answer ended as its framing says. */
	isComplete: boolean;
	/** What is wrong with the content of the answer. */
	wrong: string | undefined;
	/** The error of the connection. */
	error: string | undefined;
};

/** Something that was done to a gateway, worker, relay or the store. It is under way until `untilMs`. */
export type Disturbance = {readonly subject: string; readonly what: string; readonly fromMs: number; untilMs: number};

/** Returns the system's time, which all processes share. */
export function nowMs(): number {
	return performance.timeOrigin + performance.now();
}

/** Collects what was seen. */
export class Evidence {
	readonly calls: CallRecord[] = [];
	readonly arrivals: Arrival[] = [];
	readonly disturbances: Disturbance[] = [];
	/** When each configuration was published, by version. */
	readonly published = new Map<number, number>();
	/** When each instance said that it leaves. */
	readonly leavingAtMs = new Map<string, number>();
	/** What is wrong with a process itself. */
	readonly processFaults: string[] = [];
	private readonly callsById = new Map<string, CallRecord>();
	private readonly newestUsed = new Map<string, number>();

	/** Returns a call by its ID. */
	callOf(id: string): CallRecord | undefined {
		return this.callsById.get(id);
	}

	/** Begins to record a call. */
	addCall(call: Pick<CallRecord, 'id' | 'kind' | 'gateway' | 'run'>): CallRecord {
		const record: CallRecord = {
			...call,
			sentAtMs: nowMs(), floor: this.newestUsed.get(`${call.gateway}/${call.run}`) ?? 0,
			endedAtMs: Number.POSITIVE_INFINITY,
			status: 0,
			isComplete: false,
			wrong: undefined,
			error: undefined,
		};
		this.calls.push(record);
		this.callsById.set(call.id, record);
		return record;
	}

	/** Records a call that arrived at a worker. */
	addArrival(arrival: Arrival): void {
		this.arrivals.push(arrival);
		const call = this.callOf(arrival.id);
		if (call) {
			const key = `${call.gateway}/${call.run}`;
			this.newestUsed.set(key, Math.max(this.newestUsed.get(key) ?? 0, configurationOf(arrival)));
		}
	}

	/** Begins to record a disturbance; it lasts until `untilMs` is set. */
	disturb(subject: string, what: string): Disturbance {
		const disturbance = {
			subject, what, fromMs: nowMs(), untilMs: Number.POSITIVE_INFINITY,
		};
		this.disturbances.push(disturbance);
		return disturbance;
	}
}

/** Returns the version of the configuration that a gateway used for a call: each version gives the callers' key to another holder. */
export function configurationOf({holder}: Pick<Arrival, 'holder'>): number {
	return Number(/^c(\d+)$/.exec(holder)?.[1] ?? 0);
}
