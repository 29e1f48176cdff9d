/**
 * The memory of call records and of the answers that they keep for repeats.
 *
 * The record of a call with a ticket keeps its answer for as long as the call may be repeated. The answer of another call only spares its
 * entry an error, so that the oldest of these are dropped first.
 */
import {Buffer} from 'node:buffer';
import {estimateJsonBytes} from '../limits/json-memory.ts';
import type {CallRecord, RecordedAnswer} from './call-ledger.ts';

/** Memory of a record without its key and its answer, in bytes. */
const recordBytes = 600;

/** Counts the memory of the records of one agent. */
export class AnswerMemory {
	private readonly bytesByRecord = new Map<CallRecord, number>();
	/** The records of calls without a ticket that have an answer, the oldest one first. */
	private readonly droppable = new Set<CallRecord>();
	private usedBytes = 0;

	/** @param maxBytes - the memory that records may take */
	constructor(private readonly maxBytes: number) {}

	/** Whether there is no room for further records. */
	get isFull(): boolean {
		return this.usedBytes >= this.maxBytes;
	}

	/** Counts a new record. */
	add(record: CallRecord): void {
		this.change(record, recordBytes + record.key.length);
	}

	/** Counts the answer of a record, and drops older ones if that is too much. */
	addAnswer(record: CallRecord, {body}: RecordedAnswer): void {
		this.change(record, estimateJsonBytes(Buffer.from(JSON.stringify(body) ?? '')));
		if (!record.hasTicket) {
			this.droppable.add(record);
		}

		for (const oldest of this.droppable) {
			if (!this.isFull) {
				return;
			}

			this.dropAnswer(oldest);
		}
	}

	/** Forgets a record that was deleted. */
	remove(record: CallRecord): void {
		this.usedBytes -= this.bytesByRecord.get(record) ?? 0;
		this.bytesByRecord.delete(record);
		this.droppable.delete(record);
	}

	private dropAnswer(record: CallRecord): void {
		record.answer = undefined;
		this.remove(record);
		this.add(record);
	}

	private change(record: CallRecord, bytes: number): void {
		this.bytesByRecord.set(record, (this.bytesByRecord.get(record) ?? 0) + bytes);
		this.usedBytes += bytes;
	}
}
