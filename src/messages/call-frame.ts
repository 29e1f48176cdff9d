/** The frames of an agent's answer to a call, sent as one JSON object per line. */
import {z} from 'zod';

const commonFields = {
	/** ID of the attempt that the frame belongs to; entries drop frames of other attempts. */
	attempt: z.string(),
	/** Sequence number within the answer, from 0 without gaps. */
	seq: z.number().int().nonnegative(),
};

/** A frame of an answer. */
export const callFrameSchema = z.discriminatedUnion('kind', [
	/** First frame: the agent has forwarded the call. The version is null for a plain service. */
	z.object({...commonFields, kind: z.literal('head'), version: z.string().nullable()}),
	/** Keep-alive: the call is still running. Sent when there has been no other frame for a while. */
	z.object({...commonFields, kind: z.literal('progress')}),
	/** The next tokens of a generation, in order. */
	z.object({
		...commonFields, kind: z.literal('tokens'), version: z.string(), tokens: z.array(z.string()),
	}),
	/** The complete answer of a plain service. */
	z.object({
		...commonFields, kind: z.literal('result'), status: z.number().int(), body: z.unknown(),
	}),
	/** Last frame of a complete answer. `tokens` is the total number of tokens. */
	z.object({...commonFields, kind: z.literal('end'), tokens: z.number().int().nonnegative()}),
	/** Last frame: the agent refused the call, which has not reached the upstream. */
	z.object({
		...commonFields, kind: z.literal('refused'), code: z.string(), message: z.string(),
	}),
	/** Last frame: the upstream failed while it ran the call, or its answer is incomplete. */
	z.object({
		...commonFields, kind: z.literal('failed'), code: z.string(), message: z.string(),
	}),
]);

/** A frame of an answer. */
export type CallFrame = z.infer<typeof callFrameSchema>;

/** Reasons for which an agent refuses a call before it reaches the upstream. */
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
