import {expect} from 'chai';
import fc from 'fast-check';
import {type Clock, install} from '@sinonjs/fake-timers';
import {attemptRetentionMs, CallLedger, type CallRecord} from '../src/calls/call-ledger.ts';
import type {CallRequest} from '../src/messages/call-request.ts';
import {bookingCall} from './support/call-samples.ts';

const maxRecords = 4;
const ticketMs = 600_000;

/** The expected state of one ticket, tracked independently of the ledger. */
type ExpectedTicket = {runs: number; reportedNotRun: boolean; record?: CallRecord};

type Model = {tickets: Map<string, ExpectedTicket>; clock: Clock; startMs: number};

type LedgerCommand = fc.Command<Model, CallLedger>;

function expectedTicketOf(model: Model, nonce: string): ExpectedTicket {
	const expected = model.tickets.get(nonce) ?? {runs: 0, reportedNotRun: false};
	model.tickets.set(nonce, expected);
	return expected;
}

function ticketOf(model: Model, nonce: string): NonNullable<CallRequest['ticket']> {
	return {nonce, incarnation: 'i1', expiresAtMs: model.startMs + ticketMs};
}

function assertInvariants(model: Model, ledger: CallLedger): void {
	expect(ledger.size).to.be.at.most(maxRecords);
	for (const {runs, reportedNotRun} of model.tickets.values()) {
		expect(runs).to.be.at.most(reportedNotRun ? 0 : 1);
	}
}

/** Creates a command that runs an action and then checks the invariants of all tickets. */
function createCommand(name: string, action: (model: Model, ledger: CallLedger) => void): LedgerCommand {
	return {
		check: () => true,
		run(model, ledger) {
			action(model, ledger);
			assertInvariants(model, ledger);
		},
		toString: () => name,
	};
}

const tombstoneRefusals = new Set(['cancelled']);

const nonces = fc.constantFrom('n1', 'n2', 'n3', 'n4', 'n5', 'n6');

const commands = [
	nonces.map(nonce => createCommand(`arrive ${nonce}`, (model, ledger) => {
		const expected = expectedTicketOf(model, nonce);
		const decision = ledger.accept(bookingCall({attempt: `a-${nonce}`, ticket: ticketOf(model, nonce)}));
		if (decision.kind === 'run') {
			expected.record = decision.record;
		} else if (decision.kind === 'refuse' && tombstoneRefusals.has(decision.code)) {
			expected.reportedNotRun = true;
		}
	})),
	nonces.map(nonce => createCommand(`forward ${nonce}`, (model, ledger) => {
		const expected = expectedTicketOf(model, nonce);
		if (expected.record && ledger.markForwarded(expected.record)) {
			expected.runs++;
		}
	})),
	nonces.map(nonce => createCommand(`finish ${nonce}`, (model, ledger) => {
		const {record} = expectedTicketOf(model, nonce);
		if (record) {
			ledger.markFinished(record, {status: 200, body: nonce});
		}
	})),
	nonces.map(nonce => createCommand(`mark not run ${nonce}`, (model, ledger) => {
		const expected = expectedTicketOf(model, nonce);
		if (expected.record && ledger.markNotRun(expected.record)) {
			expected.reportedNotRun = true;
		}
	})),
	nonces.map(nonce => createCommand(`cancel ${nonce}`, (model, ledger) => {
		const expected = expectedTicketOf(model, nonce);
		const answer = ledger.cancel({
			attempt: `a-${nonce}`, workspace: 'desk', ticket: ticketOf(model, nonce), abortRunning: false,
		});
		expected.reportedNotRun ||= answer.state === 'not_started';
		if (answer.state === 'finished') {
			expect([expected.runs, answer.body]).to.deep.equal([1, nonce]);
		}
	})),
	fc.constantFrom(1000, ticketMs / 2, ticketMs + attemptRetentionMs).map(ms => createCommand(`wait ${ms}`, (model, ledger) => {
		model.clock.tick(ms);
		ledger.sweep();
	})),
	// Sets the wall clock back, as an operator or a time service may.
	fc.constant(createCommand('clock back', model => {
		model.clock.setSystemTime(model.startMs);
	})),
];

// Guards against a second run, and against "not run" for a call that ran, under duplicates, cancellations, requests that arrive late, expiry,
// clock changes and a full table (H3, H4).
it('a ticket runs at most once, and never after not_started', () => {
	fc.assert(fc.property(fc.commands(commands, {maxCommands: 40, size: '+1'}), sequence => {
		const clock = install({now: 1_800_000_000_000});
		try {
			fc.modelRun(() => ({
				model: {tickets: new Map<string, ExpectedTicket>(), clock, startMs: clock.now},
				real: new CallLedger({incarnation: 'i1', maxRecords}),
			}), sequence);
		} finally {
			clock.uninstall();
		}
	}), {seed: 67, numRuns: 800});
});

// Guards against a full ledger that evicts the record of a ticket that can still be retried.
it('a full table refuses new tickets until an old one can no longer be repeated', () => {
	const clock = install({now: 1_800_000_000_000});
	try {
		const ledger = new CallLedger({incarnation: 'i1', maxRecords: 1});
		const ticket = (nonce: string) => ({nonce, incarnation: 'i1', expiresAtMs: Date.now() + ticketMs});
		const first = bookingCall({ticket: ticket('n1')});
		const accepted = ledger.accept(first);
		if (accepted.kind === 'run') {
			ledger.markForwarded(accepted.record);
			ledger.markFinished(accepted.record, {status: 200, body: 1});
		}

		const second = bookingCall({ticket: ticket('n2')});
		expect(ledger.accept(second)).to.deep.equal({kind: 'refuse', code: 'table_full'});
		expect(ledger.accept(first).kind).to.equal('duplicate');
		clock.tick(ticketMs + attemptRetentionMs + 1);
		expect(ledger.accept(bookingCall({ticket: ticket('n3')})).kind).to.equal('run');
		expect(ledger.accept(first)).to.deep.equal({kind: 'refuse', code: 'ticket_expired'});
	} finally {
		clock.uninstall();
	}
});

// Guards against answering a call with the record of a different call that used the same ticket.
it('the same ticket with another body is refused', () => {
	const ledger = new CallLedger({incarnation: 'i1', maxRecords});
	const ticket = {nonce: 'n1', incarnation: 'i1', expiresAtMs: Date.now() + ticketMs};
	ledger.accept(bookingCall({ticket}));
	const other = bookingCall({ticket, work: {kind: 'operation', operation: 'book', body: {booking: 'b2'}}});
	expect(ledger.accept(other)).to.deep.equal({kind: 'refuse', code: 'ticket_mismatch'});
});

// Guards against answers that take all memory, and against the loss of one that a ticket may still ask for.
it('answers beyond the memory are dropped unless a ticket may ask for them, and then new calls are refused', () => {
	const answerBytes = 10_000;
	const ledger = new CallLedger({incarnation: 'i1', maxRecords: 100, maxBytes: 10 * answerBytes});
	const finish = (call: CallRequest): CallRecord | undefined => {
		const decision = ledger.accept(call);
		if (decision.kind !== 'run') {
			return undefined;
		}

		ledger.markForwarded(decision.record);
		ledger.markFinished(decision.record, {status: 200, body: 'x'.repeat(answerBytes)});
		return decision.record;
	};

	const repeatable = [1, 2, 3].map(at => finish(bookingCall({attempt: `a${at}`})));
	const withTicket = ['n1', 'n2', 'n3', 'n4'].map(nonce => finish(bookingCall({ticket: {nonce, incarnation: 'i1', expiresAtMs: Date.now() + ticketMs}})));
	expect(repeatable.map(record => record?.answer)).to.deep.equal([undefined, undefined, undefined]);
	expect(withTicket.map(record => record?.answer !== undefined)).to.deep.equal([true, true, true, true]);
	expect(ledger.accept(bookingCall({attempt: 'a4'}))).to.deep.equal({kind: 'refuse', code: 'table_full'});
	expect(ledger.accept(bookingCall({ticket: {nonce: 'n1', incarnation: 'i1', expiresAtMs: Date.now() + ticketMs}})).kind).to.equal('duplicate');
});
