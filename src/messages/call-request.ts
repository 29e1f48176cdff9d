/** The request that an entry sends to an agent on `POST /calls`: this envelope as one JSON object. */
import {z} from 'zod';

/** The path of the agent's call endpoint. */
export const callsPath = '/calls';

/** A call as the entry passes it on. */
export const callRequestSchema = z.object({
	attempt: z.string(),
	requestId: z.string(),
	workspace: z.string(),
	service: z.string(),
	priority: z.enum(['high', 'normal', 'low']),
	/** Time left for the call, in milliseconds from the moment that the agent reads it. */
	remainingMs: z.number().int().positive(),
	/**
	 * The deadline in the agent's own monotonic clock, derived from its last report.
	 *
	 * It holds however long the request was under way, without any agreement on wall-clock time.
	 */
	agentDeadline: z.object({incarnation: z.string(), atMs: z.number()}).nullable().default(null),
	/** The ticket's nonce for a call that may not be repeated. */
	ticket: z.object({
		nonce: z.string(),
		incarnation: z.string(),
		/** Wall-clock time, in milliseconds since 1970, after which the agent refuses the ticket. */
		expiresAtMs: z.number(),
	}).nullable(),
	work: z.discriminatedUnion('kind', [
		z.object({
			kind: z.literal('generate'),
			model: z.string(),
			version: z.string(),
			adapter: z.string().nullable(),
			prompt: z.string(),
			maxTokens: z.number().int().positive(),
			/** Tokens that the caller has already, to resume after them on the same version. */
			resumeFrom: z.number().int().nonnegative(),
		}),
		z.object({kind: z.literal('operation'), operation: z.string(), body: z.unknown()}),
	]),
});

/** A call as the entry passes it on. */
export type CallRequest = z.infer<typeof callRequestSchema>;
