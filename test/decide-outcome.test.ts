import {expect} from 'chai';
import fc from 'fast-check';
import {type AttemptFacts, decideOutcome, type NextStep} from '../src/calls/decide-outcome.ts';

const refusals = ['draining',
	'expired',
	'cancelled',
	'wrong_service',
	'version_not_served',
	'table_full',
	'unknown_incarnation',
	'ticket_expired',
	'ticket_mismatch',
	'upstream_unreachable',
	'overloaded',
	'code-of-a-later-version'];

/** Refusals of a call with a ticket that leave a tombstone at the home agent; see `CallLedger` and `AgentCallHandler`. */
const tombstoneRefusals = new Set(['draining', 'expired', 'cancelled', 'wrong_service', 'version_not_served', 'upstream_unreachable', 'overloaded']);

const facts: fc.Arbitrary<AttemptFacts> = fc.record({
	end: fc.constantFrom('answered', 'unsent', 'refused', 'failed', 'broken', 'silent', 'expired'),
	code: fc.constantFrom(undefined, 'upstream_failed', 'outcome_unknown', ...refusals),
	cancel: fc.constantFrom(undefined, 'not_started', 'running', 'finished', 'no_record', 'unknown'),
	idempotent: fc.boolean(),
	hasTicket: fc.boolean(),
	sentToCaller: fc.boolean(),
	mayHaveRun: fc.boolean(),
	hasTimeLeft: fc.boolean(),
});

/** Returns the step and, if it has one, its fallback step. */
function withFallback(step: NextStep): NextStep[] {
	return 'fallbackStep' in step ? [step, step.fallbackStep] : [step];
}

/** Whether the facts prove that this attempt did not run. */
function attemptDidNotRun(known: AttemptFacts): boolean {
	const cancelled = (known.end === 'broken' || known.end === 'silent') && known.cancel === 'not_started';
	if (known.hasTicket) {
		return cancelled || (known.end === 'refused' && tombstoneRefusals.has(known.code ?? ''));
	}

	return cancelled || known.end === 'unsent' || known.end === 'refused';
}

function assertAlways(check: (known: AttemptFacts, step: NextStep) => void, seed: number): void {
	fc.assert(fc.property(facts, known => {
		check(known, decideOutcome(known));
	}), {seed, numRuns: 5000});
}

// Guards against "not run" for a request that may have run (H3).
it('not_run is reported only when it is proven', () => {
	assertAlways((known, step) => {
		if (withFallback(step).some(item => item.kind === 'tell' && item.outcome === 'not_run')) {
			expect(attemptDidNotRun(known)).to.equal(true);
			expect(known.hasTicket || !known.mayHaveRun).to.equal(true);
		}
	}, 63);
});

// Guards against a second run of a call that may not be repeated (H4).
it('a non-repeatable call that may have run is not sent again, and a call with a ticket never is', () => {
	assertAlways((known, step) => {
		if (step.kind === 'retry' || step.kind === 'resume') {
			expect(known.hasTicket).to.equal(false);
			expect(known.idempotent || attemptDidNotRun(known)).to.equal(true);
			expect(step.mayHaveRun || (attemptDidNotRun(known) && !known.mayHaveRun)).to.equal(true);
		}

		if (step.kind === 'ask' && step.abortRunning) {
			expect(known.idempotent && !known.hasTicket).to.equal(true);
		}
	}, 64);
});

// Guards against an error body or a second answer after bytes of an answer that were already sent (H2).
it('a started answer is resumed, ended or destroyed', () => {
	assertAlways((known, step) => {
		const kinds = new Set(withFallback(step).map(item => item.kind));
		expect(known.sentToCaller && (kinds.has('tell') || kinds.has('retry') || kinds.has('answer_from_record'))).to.equal(false);
		expect(!known.sentToCaller && (kinds.has('resume') || kinds.has('destroy'))).to.equal(false);
	}, 65);
});

// Guards against querying the agent or waiting without end.
it('after the deadline no step queries the agent or waits', () => {
	assertAlways((known, step) => {
		expect(!known.hasTimeLeft && (step.kind === 'ask' || step.kind === 'wait')).to.equal(false);
	}, 66);
});
