/** How a call ends for its caller when no further attempt follows. */
import type {AttemptOutcome, NextStep} from './decide-next-step.ts';
import type {ForwardedCall} from './forwarded-call.ts';

/** Ends a call, by the step that was decided on. */
export const endSteps: Readonly<Record<Exclude<NextStep, 'repeat'>, (call: ForwardedCall, outcome: AttemptOutcome) => void>> = {
	refuse(call, outcome) {
		call.refuse(outcome.kind === 'not-run' ? outcome.reason : outcome.kind, 300);
	},
	'pass-on'(call) {
		call.relayUpstreamError();
	},
	fail(call, outcome) {
		call.finish('failed', {reason: describeOutcome(outcome)}, () => {
			call.options.writer.sendError(502, 'the upstream did not answer; the call may have run');
		});
	},
	cut(call, outcome) {
		call.finish('cut', {reason: describeOutcome(outcome)}, () => {
			call.options.writer.abort();
		});
	},
};

/** Returns the reason of an outcome for the log. */
export function describeOutcome(outcome: AttemptOutcome): string {
	return outcome.kind === 'upstream-error' ? `status ${outcome.status}` : outcome.reason;
}
