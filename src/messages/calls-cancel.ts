/** Sent after an attempt without a complete answer, to learn whether the call ran. It also cancels a call that has not started. */
import {z} from 'zod';

/** JSON-RPC method that cancels an attempt and returns the state of its call. */
export const callsCancelMethod = 'calls.cancel';

/** Identifies the call by its attempt ID, and by its ticket if it has one. */
export const callsCancelParamsSchema = z.object({
	attempt: z.string(),
	workspace: z.string(),
	ticket: z.object({nonce: z.string(), incarnation: z.string(), expiresAtMs: z.number()}).nullable(),
	/** Whether to abort a call that is already running; only used for idempotent calls. */
	abortRunning: z.boolean(),
});

/** The state of the call after the cancellation. */
export const callsCancelResultSchema = z.discriminatedUnion('state', [
	/** The call has not reached the upstream and never will. */
	z.object({state: z.literal('not_started')}),
	z.object({state: z.literal('running')}),
	/** The upstream has finished the call. The answer of a plain service is included. */
	z.object({state: z.literal('finished'), status: z.number().int().nullable(), body: z.unknown()}),
	/** The agent has no record that shows whether the call ran. */
	z.object({state: z.literal('unknown')}),
]);

/** Identifies the call by its attempt ID, and by its ticket if it has one. */
export type CallsCancelParams = z.infer<typeof callsCancelParamsSchema>;

/** The state of the call after the cancellation. */
export type CallsCancelResult = z.infer<typeof callsCancelResultSchema>;
