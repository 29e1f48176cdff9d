/**
 * The agent's table of call records: accepted, forwarded, finished, or cancelled before the call started (a tombstone).
 *
 * Only the agent, which forwards calls to the upstream, can tell reliably that a call did not run. The table is bounded.
 * When it is full, it refuses new calls instead of evicting a record whose call can still be retried.
 */
import {digestOf, type Digest} from '../ids/digest.ts';
import type {CallRequest} from '../messages/call-request.ts';
import type {CallsCancelParams, CallsCancelResult} from '../messages/calls-cancel.ts';
import type {RefusalCode} from '../messages/call-frame.ts';
import {AnswerMemory} from './answer-memory.ts';
import {type CallEvent, type CallState, nextCallState} from './call-states.ts';

/** How long a record is retained after it is created or, with a ticket, after the ticket expires; in milliseconds. */
export const attemptRetentionMs = 150_000;

/** Shortest time between two sweeps of a full table, in milliseconds, since each sweep scans the whole table. */
const minSweepIntervalMs = 1000;

/** The recorded answer of a plain service. */
export type RecordedAnswer = {readonly status: number; readonly body: unknown};

/** The record of one call at this agent. */
export type CallRecord = {
	readonly key: string;
	readonly bodyDigest: Digest | undefined;
	/** Whether the call may be repeated with its ticket, and then gets this answer. */
	readonly hasTicket: boolean;
	state: CallState;
	answer: RecordedAnswer | undefined;
	/** Monotonic time after which a settled record may be deleted, in milliseconds. */
	retainUntilMs: number;
	/** Resolves when the state becomes `finished` or `tombstone`. */
	readonly settled: Promise<void>;
	readonly settle: () => void;
	/** Whether an entry cancelled the call before it was forwarded to the upstream. */
	cancelled: boolean;
	/** Aborts the request to the upstream; set while the call runs. */
	abort: (() => void) | undefined;
};

/** How to handle a call that arrived. */
export type LedgerDecision =
	| {readonly kind: 'run'; readonly record: CallRecord}
	| {readonly kind: 'duplicate'; readonly record: CallRecord}
	| {readonly kind: 'refuse'; readonly code: RefusalCode};

/** Limits and identity of the ledger. */
export type CallLedgerOptions = {
	readonly incarnation: string;
	/** Largest number of records in the table. */
	readonly maxRecords: number;
	/** Memory for records and the answers that they keep, in bytes; unlimited if absent. */
	readonly maxBytes?: number;
};

/** Records all calls at this agent, so that a call with a ticket runs at most once. */
export class CallLedger {
	private readonly records = new Map<string, CallRecord>();
	private readonly memory: AnswerMemory;
	private lastSweepAtMs = -Infinity;

	constructor(private readonly options: CallLedgerOptions) {
		this.memory = new AnswerMemory(options.maxBytes ?? Infinity);
	}

	/** Current number of records. */
	get size(): number {
		return this.records.size;
	}

	/** Records a call that arrived and decides whether it runs, repeats the answer of an earlier request, or is refused. */
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
		this.add(record);
		return {kind: 'run', record};
	}

	/**
	 * Marks a call as forwarded. From then on it may have run.
	 *
	 * @returns false if the call was cancelled in the meantime and must not be forwarded
	 */
	markForwarded(record: CallRecord): boolean {
		return applyEvent(record, 'FORWARD');
	}

	/**
	 * Marks a forwarded call as finished.
	 *
	 * @param answer - the answer of a plain service, which retries of the call receive
	 */
	markFinished(record: CallRecord, answer: RecordedAnswer | undefined): void {
		if (applyEvent(record, 'FINISH')) {
			record.answer = answer;
			if (answer) {
				this.memory.addAnswer(record, answer);
			}

			record.abort = undefined;
			record.settle();
		}
	}

	/**
	 * Turns the record of a call that was not forwarded into a tombstone, so that the call never runs.
	 *
	 * @returns false if the call was forwarded and may have run
	 */
	markNotRun(record: CallRecord): boolean {
		if (!applyEvent(record, 'BURY')) {
			return record.state === 'tombstone';
		}

		record.settle();
		return true;
	}

	/** Returns the state of a call. A call that has not started becomes a tombstone and never runs. */
	cancel(params: CallsCancelParams): CallsCancelResult {
		const {ticket} = params;
		if (ticket && ticket.incarnation !== this.options.incarnation) {
			return {state: 'unknown'};
		}

		const key = createRecordKey(params.workspace, params.attempt, ticket?.nonce);
		const record = this.records.get(key);
		if (!record) {
			return this.cancelUnrecorded(key, ticket?.expiresAtMs);
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

	/** Deletes settled records whose retention time is over. */
	sweep(): void {
		const nowMs = performance.now();
		this.lastSweepAtMs = nowMs;
		for (const [key, record] of this.records) {
			const settled = record.state === 'finished' || record.state === 'tombstone';
			if (settled && record.retainUntilMs < nowMs) {
				this.records.delete(key);
				this.memory.remove(record);
			}
		}
	}

	private cancelUnrecorded(key: string, expiresAtMs: number | undefined): CallsCancelResult {
		// The record of an expired ticket may have been deleted already, so its outcome is unknown. A full table cannot take a tombstone.
		if ((expiresAtMs !== undefined && expiresAtMs <= monotonicWallClockMs()) || this.isFull()) {
			return {state: 'unknown'};
		}

		const record = createRecord(key, undefined);
		record.retainUntilMs = retentionEndMs(expiresAtMs);
		this.markNotRun(record);
		this.add(record);
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

	private add(record: CallRecord): void {
		this.records.set(record.key, record);
		this.memory.add(record);
	}

	private isFull(): boolean {
		if (this.hasNoRoom() && performance.now() >= this.lastSweepAtMs + minSweepIntervalMs) {
			this.sweep();
		}

		return this.hasNoRoom();
	}

	private hasNoRoom(): boolean {
		return this.records.size >= this.options.maxRecords || this.memory.isFull;
	}
}

/**
 * Returns the wall-clock time, derived from the monotonic clock so that it never goes back.
 *
 * If the clock were set back after a record was deleted, an expired ticket would look valid and its call would run a second time.
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
		key, bodyDigest, hasTicket: bodyDigest !== undefined, state: 'accepted', answer: undefined, retainUntilMs: 0, settled: promise, settle: resolve, cancelled: false, abort: undefined,
	};
}

/** Replaces `Promise.withResolvers`, which requires Node.js 22. */
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
