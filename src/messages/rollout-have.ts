/** The exchange of chunk maps between agents; both sides tell what they hold. */
import {z} from 'zod';

/** The JSON-RPC method that exchanges which chunks of a manifest two agents hold. */
export const rolloutHaveMethod = 'rollout.have';

/** What one agent says of its transfer of one manifest. */
export const transferNoticeSchema = z.object({
	/** The VM that the notice is about. */
	vm: z.string(),
	/** One bit per verified chunk in manifest order, base64; empty when the agent does not hold the manifest. */
	bitmap: z.string(),
	/** One bit per chunk that the agent reads from outside its region now, base64. */
	reading: z.string(),
	/** Bytes read so far from outside the region; growth shows that a slow owner is still at work. */
	imported: z.number().nonnegative(),
	/** Copies of this version sent on so far. */
	uploaded: z.number().nonnegative(),
});

/** Names the manifest and carries the caller's own notice. */
export const rolloutHaveParamsSchema = z.object({manifest: z.string(), notice: transferNoticeSchema});

/** The answering agent's notice. */
export const rolloutHaveResultSchema = transferNoticeSchema;

/** What one agent says of its transfer of one manifest. */
export type TransferNotice = z.infer<typeof transferNoticeSchema>;

/** Parameters of {@link rolloutHaveMethod}. */
export type RolloutHaveParams = z.infer<typeof rolloutHaveParamsSchema>;
