/** Datagrams between gateways and the stager beside an engine, which counts the calls that all gateways have in flight at the engine. */
import {z} from 'zod';

/** Calls in flight and those of their prompt tokens that have not been processed yet. */
const countsSchema = z.tuple([z.number().nonnegative(), z.number().nonnegative()]);

/**
 * What an engine said of itself in a response: `pace` is how long work takes there, 1 as usual, and how many milliseconds ago it said so;
 * `coldMs` is how much longer it is cold. Unknown keys are ignored, so that further ones may be added.
 */
const observationSchema = z.object({
	pace: z.tuple([z.number().positive(), z.number().nonnegative()]).optional(),
	coldMs: z.number().nonnegative().optional(),
});

/** What an engine said of itself, as it is passed on. */
export type EngineObservation = z.infer<typeof observationSchema>;

/** `['count', gateway, sequence, counts, observation]`: the gateway has these calls in flight at the engine. The last element may be absent. */
export const countDatagramSchema = z.tuple([z.literal('count'), z.string(), z.number(), countsSchema, observationSchema.optional()], z.unknown());

/** `['ask', gateway, instance]`: asks for the calls that other gateways have in flight at the engine, which the gateway knows as this instance. */
export const askDatagramSchema = z.tuple([z.literal('ask'), z.string(), z.string()]);

/** `['load', instance, counts, observation]`: the answer to an `ask`. The last element may be absent. */
export const loadDatagramSchema = z.tuple([z.literal('load'), z.string(), countsSchema, observationSchema.optional()], z.unknown());

/** An answer to a gateway. */
export type LoadDatagram = z.infer<typeof loadDatagramSchema>;
