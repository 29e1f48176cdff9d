/** Frames of an agent's answer to a call: one JSON object per line. */
import {z} from 'zod';

const common = {
	/** The attempt that this frame answers; entries drop frames of any other attempt. */
	attempt: z.string(),
	/** Position in the answer, from 0 without gaps. */
	seq: z.number().int().nonnegative(),
};

/** One frame of an answer. */
export const callFrameSchema = z.discriminatedUnion('kind', [
	/** First frame: the agent forwarded the call. Plain services have no version. */
	z.object({...common, kind: z.literal('head'), version: z.string().nullable()}),
	/** The agent still works on the call; sent when there was no other frame for a while. */
	z.object({...common, kind: z.literal('progress')}),
	/** Tokens of a stream, in order. */
	z.object({
		...common, kind: z.literal('tokens'), version: z.string(), tokens: z.array(z.string()),
	}),
	/** The whole answer of a plain service. */
	z.object({
		...common, kind: z.literal('result'), status: z.number().int(), body: z.unknown(),
	}),
	/** Last frame of a whole answer; `tokens` counts all tokens of the stream. */
	z.object({...common, kind: z.literal('end'), tokens: z.number().int().nonnegative()}),
	/** The call did not reach the upstream. */
	z.object({
		...common, kind: z.literal('refused'), code: z.string(), message: z.string(),
	}),
	/** The upstream ran the call and failed, or the answer broke off. */
	z.object({
		...common, kind: z.literal('failed'), code: z.string(), message: z.string(),
	}),
]);

/** One frame of an answer. */
export type CallFrame = z.infer<typeof callFrameSchema>;

/** Why an agent refuses a call before it reaches the upstream. */
export type RefusalCode =
	| 'draining'
	| 'expired'
	| 'ticket_expired'
	| 'wrong_service'
	| 'cancelled'
	| 'version_not_served'
	| 'table_full'
	| 'unknown_incarnation'
	| 'ticket_mismatch'
	| 'upstream_unreachable'
	| 'overloaded';
