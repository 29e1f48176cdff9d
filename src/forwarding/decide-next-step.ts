/** Decides what follows a failed attempt: a retry at another upstream, or a response to the caller. No I/O, no clock. */
import type {RouteKind} from '../directory/directory-types.ts';

/** How an attempt ended without a usable response. */
export type AttemptOutcome =
	/** The upstream certainly did not run the call; `isMoved` if it has to leave although nothing of it was written, which takes no retry of the budget. */
	| {readonly kind: 'not-run'; readonly reason: string; readonly isMoved?: boolean}
	/** The call was sent and no usable response arrived; the upstream may have run it. */
	| {readonly kind: 'failed'; readonly reason: string}
	/** The upstream sent something that it cannot have meant, so that what it sent before is in doubt, too; it may have run the call. */
	| {readonly kind: 'spoilt'; readonly reason: string}
	/** The upstream responded with an error that may be passed on to the caller. */
	| {readonly kind: 'upstream-error'; readonly status: number};

/** Input of {@link decideNextStep}. */
export type NextStepInput = {
	readonly outcome: AttemptOutcome;
	readonly kind: RouteKind;
	/** Whether a stream of the route may be resumed at another upstream. */
	readonly isResumable: boolean;
	/** Whether a part of the response has been sent to the caller. */
	readonly isResponseStarted: boolean;
	/** Attempts that may have run the call, including this one. */
	readonly possibleRuns: number;
	/** Limit of `possibleRuns`. */
	readonly maxAttempts: number;
	/** Attempts that certainly did not run the call, including this one. */
	readonly refusals: number;
	/** Whether enough time is left for another attempt. */
	readonly hasTime: boolean;
	/** Whether another attempt of the call is under way. */
	readonly hasOtherAttempt: boolean;
	/** Whether this attempt has passed on a part of the response. */
	readonly hasAnswered: boolean;
	/** Takes one retry from the shared budget. Called last, only if everything else allows a retry. */
	readonly tryTakeRetry: () => boolean;
};

/** The next step: retry, wait for the other attempt, or how the call ends for the caller. */
export type NextStep = 'repeat' | 'wait' | 'refuse' | 'pass-on' | 'fail' | 'cut';

/** Number of refused attempts after which the call is sent to no further instance. */
export const maxRefusals = 3;

/**
 * Decides what follows an attempt that ended without a usable response.
 *
 * @param input - the outcome of the attempt and the state of the call
 */
export function decideNextStep(input: NextStepInput): NextStep {
	const step = stepDeciders[input.outcome.kind](input);
	const isPartInDoubt = input.outcome.kind === 'spoilt' && input.hasAnswered;
	return input.hasOtherAttempt && !isPartInDoubt ? 'wait' : step;
}

const stepDeciders: Readonly<Record<AttemptOutcome['kind'], (input: NextStepInput) => NextStep>> = {
	'not-run'(input) {
		const isMoved = input.outcome.kind === 'not-run' && input.outcome.isMoved === true;
		if (input.refusals < maxRefusals && input.hasTime && !input.hasOtherAttempt && (isMoved || input.tryTakeRetry())) {
			return 'repeat';
		}

		// The caller may be told that the call did not run only if no earlier attempt can have run it.
		return input.isResponseStarted ? 'cut' : (input.possibleRuns > 0 ? 'fail' : 'refuse');
	},
	failed: input => (mayRetry(input) ? 'repeat' : (input.isResponseStarted ? 'cut' : 'fail')),
	// A stream is not resumed after an event that may be wrong.
	spoilt: input => (input.isResponseStarted ? 'cut' : (mayRetry(input) ? 'repeat' : 'fail')),
	'upstream-error': input => (mayRetry(input) ? 'repeat' : (input.isResponseStarted ? 'cut' : 'pass-on')),
};

function mayRetry(input: NextStepInput): boolean {
	const isRetryable = input.kind === 'idempotent' || (input.kind === 'stream' && input.isResumable);
	return isRetryable && input.possibleRuns < input.maxAttempts && input.hasTime && !input.hasOtherAttempt && input.tryTakeRetry();
}
