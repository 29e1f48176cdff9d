/** Decides what follows the end of one send: another upstream, or which answer the caller gets. No I/O, no clock. */
import type {RouteKind} from '../directory/directory-types.ts';

/** How a send ended. */
export type AttemptOutcome =
	/** The upstream certainly did not run the call. */
	| {readonly kind: 'not-run'; readonly reason: string}
	/** The call was sent and no usable answer came; it may have run. */
	| {readonly kind: 'failed'; readonly reason: string}
	/** The upstream answered that it failed; the answer may be passed on. */
	| {readonly kind: 'upstream-error'; readonly status: number};

/** What the decision depends on. */
export type NextStepInput = {
	readonly outcome: AttemptOutcome;
	readonly kind: RouteKind;
	/** Whether a stream of the route may go on at another upstream. */
	readonly isResumable: boolean;
	/** Whether bytes of an answer went out to the caller. */
	readonly isResponseStarted: boolean;
	/** Upstreams that may have run the call, this one included. */
	readonly possibleRuns: number;
	/** Upstreams that may run one call. */
	readonly maxAttempts: number;
	/** Sends of the call that the upstream refused, this one included. */
	readonly refusals: number;
	/** Whether time is left for another send. */
	readonly hasTime: boolean;
	/** Takes one repeat from the shared budget; is asked last. */
	readonly tryTakeRetry: () => boolean;
};

/** What happens next. */
export type NextStep = 'repeat' | 'refuse' | 'pass-on' | 'fail' | 'cut';

/** Most upstreams that may refuse a call before the caller hears of it. */
const maxRefusals = 3;

/**
 * Decides what follows a send.
 *
 * @param input - the outcome and the call
 */
export function decideNextStep(input: NextStepInput): NextStep {
	const {outcome} = input;
	return stepDeciders[outcome.kind](input);
}

const stepDeciders: Readonly<Record<AttemptOutcome['kind'], (input: NextStepInput) => NextStep>> = {
	'not-run'(input) {
		if (input.refusals < maxRefusals && input.hasTime && input.tryTakeRetry()) {
			return 'repeat';
		}

		// An earlier send may have run, so that only a call without one is refused as not run.
		return input.isResponseStarted ? 'cut' : (input.possibleRuns > 0 ? 'fail' : 'refuse');
	},
	failed: input => (mayRetry(input) ? 'repeat' : (input.isResponseStarted ? 'cut' : 'fail')),
	'upstream-error': input => (mayRetry(input) ? 'repeat' : (input.isResponseStarted ? 'cut' : 'pass-on')),
};

function mayRetry(input: NextStepInput): boolean {
	const isRepeatable = input.kind === 'idempotent' || (input.kind === 'stream' && input.isResumable);
	return isRepeatable && input.possibleRuns < input.maxAttempts && input.hasTime && input.tryTakeRetry();
}
