/** Sample calls and frames for tests. */
import type {CallFrame} from '../../src/messages/call-frame.ts';
import type {CallRequest} from '../../src/messages/call-request.ts';

/** A generation request with attempt id `a`. */
export const generateCall: CallRequest = {
	attempt: 'a', requestId: 'r', workspace: 'desk', service: 'assistant', priority: 'normal', remainingMs: 10_000, agentDeadline: null, ticket: null,
	work: {
		kind: 'generate', model: 'm', version: 'v1', adapter: null, prompt: 'p', maxTokens: 100, resumeFrom: 0,
	},
};

/**
 * Returns a booking request.
 *
 * @param overrides - fields that replace those of the sample
 */
export function bookingCall(overrides: Partial<CallRequest> = {}): CallRequest {
	return {
		...generateCall, service: 'booking', work: {kind: 'operation', operation: 'book', body: {booking: 'b1'}}, ...overrides,
	};
}

/**
 * Returns the frames of a complete answer to {@link generateCall}.
 *
 * @param tokenBatches - the tokens of each frame
 */
export function completeAnswer(tokenBatches: readonly string[][], version = 'v1'): CallFrame[] {
	const bodies = [
		{kind: 'head' as const, version},
		...tokenBatches.map(tokens => ({kind: 'tokens' as const, version, tokens})),
		{kind: 'end' as const, tokens: tokenBatches.flat().length},
	];
	return bodies.map((body, seq) => ({attempt: 'a', seq, ...body}));
}
