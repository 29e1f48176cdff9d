/** The exchange of chunk maps between agents. */
import {z} from 'zod';

/** The JSON-RPC method that returns which chunks of a manifest the agent holds. */
export const rolloutHaveMethod = 'rollout.have';

/** Names the manifest. */
export const rolloutHaveParamsSchema = z.object({manifest: z.string()});

/** The chunks that an agent holds, all verified. */
export const rolloutHaveResultSchema = z.object({
	/** One bit per chunk in manifest order, base64; empty when the agent does not know the manifest. */
	bitmap: z.string(),
	/** How many more uploads the agent takes now. */
	freeSlots: z.number().int().nonnegative(),
});

/** The chunks that an agent holds, all verified. */
export type RolloutHaveResult = z.infer<typeof rolloutHaveResultSchema>;
