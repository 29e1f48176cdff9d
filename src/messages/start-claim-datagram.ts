/** Datagrams between gateways and the stager beside an engine, which grants the starts of calls while the engine is cold. */
import {z} from 'zod';

/** `['claim', number, instance, intervalMs, toleranceMs]`: asks for one start at the engine, where starts are spaced in this way. */
export const claimDatagramSchema = z.tuple([z.literal('claim'), z.number(), z.string(), z.number().positive(), z.number().nonnegative()]);

/** A claim of a gateway. */
export type ClaimDatagram = z.infer<typeof claimDatagramSchema>;

/** `['claimed', number, isGranted, waitMs, gateways]`: the answer, when the gateway may ask again, and how many gateways the stager knows. */
export const claimedDatagramSchema = z.tuple([z.literal('claimed'), z.number(), z.boolean(), z.number().nonnegative(), z.number().int().nonnegative()]);

/** An answer to a claim. */
export type ClaimedDatagram = z.infer<typeof claimedDatagramSchema>;
