/** The request by which an entry forwards a call to an agent: the JSON body of `POST /calls`. */
import {z} from 'zod';

/** Path of the agent's endpoint for calls. */
export const callsPath = '/calls';

/** A call as forwarded by an entry. */
export const callRequestSchema = z.object({
	attempt: z.string(),
	requestId: z.string(),
	workspace: z.string(),
	service: z.string(),
	priority: z.enum(['high', 'normal', 'low']),
	/** Time until the call's deadline, in milliseconds, counted from when the agent receives the request. */
	remainingMs: z.number().int().positive(),
	/**
	 * The deadline on the agent's monotonic clock, derived from its last report.
	 *
	 * It stays correct however long the request was in transit, without synchronized wall clocks.
	 */
	agentDeadline: z.object({incarnation: z.string(), atMs: z.number()}).nullable().default(null),
	/** The caller's ticket, for a call that must not run twice. */
	ticket: z.object({
		nonce: z.string(),
		incarnation: z.string(),
		/** Wall-clock time after which the agent refuses the ticket, in milliseconds since 1970. */
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
			/** Number of tokens that the caller already has; generation resumes after them, on the same version. */
			resumeFrom: z.number().int().nonnegative(),
		}),
		z.object({kind: z.literal('operation'), operation: z.string(), body: z.unknown()}),
	]),
});

/** A call as forwarded by an entry. */
export type CallRequest = z.infer<typeof callRequestSchema>;
