/** Decides what follows the end of one send: another upstream, or which answer the caller gets. No I/O, no clock. */
import type {RouteKind} from '../directory/directory-types.ts';

/** How a send ended. */
export type SendOutcome =
	/** The upstream certainly did not run the call. */
	| {readonly kind: 'not-run'; readonly reason: string}
	/** The call was sent and no usable answer came; it may have run. */
	| {readonly kind: 'failed'; readonly reason: string}
	/** The upstream answered that it failed; the answer may be passed on. */
	| {readonly kind: 'upstream-error'; readonly status: number};

/** What the decision depends on. */
export type NextInput = {
	readonly outcome: SendOutcome;
	readonly kind: RouteKind;
	/** Whether a stream of the route may go on at another upstream. */
	readonly isResumable: boolean;
	/** Whether bytes of an answer went out to the caller. */
	readonly hasBegun: boolean;
	/** Upstreams that may have run the call, this one included. */
	readonly runs: number;
	/** Upstreams that may run one call. */
	readonly attempts: number;
	/** Sends of the call that the upstream refused, this one included. */
	readonly refusals: number;
	/** Whether time is left for another send. */
	readonly hasTime: boolean;
	/** Takes one repeat from the shared budget; is asked last. */
	readonly takeRepeat: () => boolean;
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
export function decideNext(input: NextInput): NextStep {
	const {outcome} = input;
	return nextSteps[outcome.kind](input);
}

const nextSteps: Readonly<Record<SendOutcome['kind'], (input: NextInput) => NextStep>> = {
	'not-run'(input) {
		if (input.refusals < maxRefusals && input.hasTime && input.takeRepeat()) {
			return 'repeat';
		}

		// An earlier send may have run, so that only a call without one is refused as not run.
		return input.hasBegun ? 'cut' : (input.runs > 0 ? 'fail' : 'refuse');
	},
	failed: input => (mayRunAgain(input) ? 'repeat' : (input.hasBegun ? 'cut' : 'fail')),
	'upstream-error': input => (mayRunAgain(input) ? 'repeat' : (input.hasBegun ? 'cut' : 'pass-on')),
};

function mayRunAgain(input: NextInput): boolean {
	const isRepeatable = input.kind === 'idempotent' || (input.kind === 'stream' && input.isResumable);
	return isRepeatable && input.runs < input.attempts && input.hasTime && input.takeRepeat();
}
