/**
 * The agent's record of every call: accepted, forwarded, finished, or cancelled before it started.
 *
 * Only the process next to the upstream can say truthfully that a call did not run. The ledger is bounded;
 * at the bound it refuses new calls and forgets none that could still be repeated.
 */
import {digestOf, type Digest} from '../ids/digest.ts';
import type {CallRequest} from '../messages/call-request.ts';
import type {CallsCancelParams, CallsCancelResult} from '../messages/calls-cancel.ts';
import type {RefusalCode} from '../messages/call-frame.ts';
import {type CallEvent, type CallState, nextCallState} from './call-states.ts';

/** How long the record of a call without a ticket is kept after its last change, in milliseconds. */
export const attemptRetentionMs = 150_000;

/** How often a full table is searched for records to forget, in milliseconds; a search reads the whole table. */
const minSweepIntervalMs = 1000;

/** The answer of a plain service. */
export type RecordedAnswer = {readonly status: number; readonly body: unknown};

/** One call at this agent. */
export type CallRecord = {
	readonly key: string;
	readonly bodyDigest: Digest | undefined;
	state: CallState;
	answer: RecordedAnswer | undefined;
	/** Monotonic time after which the record may be forgotten, in milliseconds. */
	retainUntilMs: number;
	/** Resolves when the call is finished or became a tombstone. */
	readonly settled: Promise<void>;
	readonly settle: () => void;
	/** Whether an entry cancelled the call before it was forwarded. */
	cancelled: boolean;
	/** Stops the upstream's work; set while the call runs. */
	abort: (() => void) | undefined;
};

/** What to do with a call that arrived. */
export type LedgerDecision =
	| {readonly kind: 'run'; readonly record: CallRecord}
	| {readonly kind: 'duplicate'; readonly record: CallRecord}
	| {readonly kind: 'refuse'; readonly code: RefusalCode};

/** Limits and identity of the ledger. */
export type CallLedgerOptions = {
	readonly incarnation: string;
	/** How many records are kept at most. */
	readonly maxRecords: number;
};

/** Keeps the records of all calls at this agent. */
export class CallLedger {
	private readonly records = new Map<string, CallRecord>();
	private lastSweepAtMs = -Infinity;

	/** @param options - limits and identity */
	constructor(private readonly options: CallLedgerOptions) {}

	/** How many records are kept now. */
	get size(): number {
		return this.records.size;
	}

	/**
	 * Takes in a call that arrived and decides whether it runs.
	 *
	 * @param req - the call
	 */
	accept(req: CallRequest): LedgerDecision {
		const key = createRecordKey(req.workspace, req.attempt, req.ticket?.nonce);
		const refusal = this.findRefusal(req, key);
		if (refusal) {
			return {kind: 'refuse', code: refusal};
		}

		const existing = this.records.get(key);
		if (existing) {
			return {kind: 'duplicate', record: existing};
		}

		const record = createRecord(key, req.ticket ? digestOf(JSON.stringify(req.work)) : undefined);
		record.retainUntilMs = retentionEndMs(req.ticket?.expiresAtMs);
		this.records.set(key, record);
		return {kind: 'run', record};
	}

	/**
	 * Marks a call as forwarded; from here on it may have run.
	 *
	 * @param record - the call
	 * @returns false when the call was cancelled in the meantime and must not be forwarded
	 */
	markForwarded(record: CallRecord): boolean {
		return applyEvent(record, 'FORWARD');
	}

	/**
	 * Marks a call as finished.
	 *
	 * @param record - the call
	 * @param answer - the answer of a plain service, to be repeated to later tries
	 */
	markFinished(record: CallRecord, answer: RecordedAnswer | undefined): void {
		if (applyEvent(record, 'FINISH')) {
			record.answer = answer;
			record.abort = undefined;
			record.settle();
		}
	}

	/**
	 * Marks a call as certain never to run.
	 *
	 * @param record - a call that was accepted and not forwarded
	 * @returns false when the call was forwarded, so that it may have run
	 */
	markNotRun(record: CallRecord): boolean {
		if (!applyEvent(record, 'BURY')) {
			return record.state === 'tombstone';
		}

		record.settle();
		return true;
	}

	/**
	 * Says what became of a call, and makes sure that a call which has not started never will.
	 *
	 * @param params - names the call
	 */
	cancel(params: CallsCancelParams): CallsCancelResult {
		const {ticket} = params;
		if (ticket && ticket.incarnation !== this.options.incarnation) {
			return {state: 'unknown'};
		}

		const key = createRecordKey(params.workspace, params.attempt, ticket?.nonce);
		const record = this.records.get(key);
		if (!record) {
			return this.cancelUnknown(key, ticket?.expiresAtMs);
		}

		if (record.state === 'accepted') {
			record.cancelled = true;
			this.markNotRun(record);
			record.abort?.();
		}

		if (record.state === 'forwarded' && params.abortRunning) {
			record.abort?.();
		}

		return toCancelResult(record);
	}

	/** Forgets records whose time is over. */
	sweep(): void {
		const nowMs = performance.now();
		this.lastSweepAtMs = nowMs;
		for (const [key, record] of this.records) {
			const settled = record.state === 'finished' || record.state === 'tombstone';
			if (settled && record.retainUntilMs < nowMs) {
				this.records.delete(key);
			}
		}
	}

	private cancelUnknown(key: string, expiresAtMs: number | undefined): CallsCancelResult {
		// A record of an expired ticket may have been forgotten already, so nothing can be said of it.
		if ((expiresAtMs !== undefined && expiresAtMs <= monotonicWallClockMs()) || this.isFull()) {
			return {state: 'unknown'};
		}

		const record = createRecord(key, undefined);
		record.retainUntilMs = retentionEndMs(expiresAtMs);
		this.markNotRun(record);
		this.records.set(key, record);
		return {state: 'not_started'};
	}

	private findRefusal(req: CallRequest, key: string): RefusalCode | undefined {
		const {ticket} = req;
		if (ticket && ticket.incarnation !== this.options.incarnation) {
			return 'unknown_incarnation';
		}

		const existing = this.records.get(key);
		if (existing) {
			return findRefusalByRecord(existing, req);
		}

		if (ticket && ticket.expiresAtMs <= monotonicWallClockMs()) {
			return 'ticket_expired';
		}

		return this.isFull() ? 'table_full' : undefined;
	}

	private isFull(): boolean {
		if (this.records.size >= this.options.maxRecords && performance.now() >= this.lastSweepAtMs + minSweepIntervalMs) {
			this.sweep();
		}

		return this.records.size >= this.options.maxRecords;
	}
}

/**
 * Returns wall-clock time that never steps back.
 *
 * If the clock could be set back after a record was forgotten, an expired ticket would look fresh and run a second time.
 */
function monotonicWallClockMs(): number {
	return performance.timeOrigin + performance.now();
}

function applyEvent(record: CallRecord, event: CallEvent): boolean {
	const next = nextCallState(record.state, event);
	if (next === undefined) {
		return false;
	}

	record.state = next;
	return true;
}

function findRefusalByRecord(record: CallRecord, req: CallRequest): RefusalCode | undefined {
	if (record.state === 'tombstone') {
		return 'cancelled';
	}

	const mismatch = req.ticket && record.bodyDigest !== digestOf(JSON.stringify(req.work));
	return mismatch ? 'ticket_mismatch' : undefined;
}

function createRecordKey(workspace: string, attempt: string, nonce: string | undefined): string {
	return nonce === undefined ? `attempt/${attempt}` : `ticket/${workspace}/${nonce}`;
}

function retentionEndMs(expiresAtMs: number | undefined): number {
	const durationMs = expiresAtMs === undefined ? attemptRetentionMs : Math.max(expiresAtMs - monotonicWallClockMs(), 0) + attemptRetentionMs;
	return performance.now() + durationMs;
}

function createRecord(key: string, bodyDigest: Digest | undefined): CallRecord {
	const {promise, resolve} = withResolvers();
	return {
		key, bodyDigest, state: 'accepted', answer: undefined, retainUntilMs: 0, settled: promise, settle: resolve, cancelled: false, abort: undefined,
	};
}

/** `Promise.withResolvers` arrives with Node.js 22. */
function withResolvers(): {promise: Promise<void>; resolve: () => void} {
	let resolve: () => void = () => undefined;
	const promise = new Promise<void>(_resolve => {
		resolve = _resolve;
	});
	return {promise, resolve};
}

function toCancelResult(record: CallRecord): CallsCancelResult {
	switch (record.state) {
		case 'tombstone': {
			return {state: 'not_started'};
		}

		case 'finished': {
			return {state: 'finished', status: record.answer?.status ?? null, body: record.answer?.body ?? null};
		}

		case 'accepted':
		case 'forwarded': {
			return {state: 'running'};
		}
	}
}
