/** The datagram in which a stager tells entries what its engine holds, before the platform's list says so. */
import {z} from 'zod';

/** The engine's address, its start in milliseconds since 1970, and what it holds. */
export const heldDatagramSchema = z.tuple([z.literal('held'), z.string(), z.number(), z.object({
	model: z.string(), version: z.number(), fromLayer: z.number(), toLayer: z.number(),
})]);

/** What an engine holds, as a stager tells it. */
export type HeldDatagram = z.infer<typeof heldDatagramSchema>;
