/** The question after a doubtful attempt: did it run? Asking also cancels what has not started. */
import {z} from 'zod';

/** The JSON-RPC method that cancels an attempt and returns what became of it. */
export const callsCancelMethod = 'calls.cancel';

/** Names the call by attempt, and by ticket when it has one. */
export const callsCancelParamsSchema = z.object({
	attempt: z.string(),
	workspace: z.string(),
	ticket: z.object({nonce: z.string(), incarnation: z.string(), expiresAtMs: z.number()}).nullable(),
	/** Stops a call that runs already; used for idempotent calls only. */
	abortRunning: z.boolean(),
});

/** What became of the call. */
export const callsCancelResultSchema = z.discriminatedUnion('state', [
	/** It never reached the upstream and now never will. */
	z.object({state: z.literal('not_started')}),
	z.object({state: z.literal('running')}),
	/** The upstream finished; a plain service's answer is included. */
	z.object({state: z.literal('finished'), status: z.number().int().nullable(), body: z.unknown()}),
	/** The agent has no record that could tell. */
	z.object({state: z.literal('unknown')}),
]);

/** Names the call by attempt, and by ticket when it has one. */
export type CallsCancelParams = z.infer<typeof callsCancelParamsSchema>;

/** What became of the call. */
export type CallsCancelResult = z.infer<typeof callsCancelResultSchema>;
