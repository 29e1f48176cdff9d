/** Datagrams between gateways and the stager beside an engine, which counts the calls that all gateways have in flight at the engine. */
import {z} from 'zod';
import {leastUrgency} from '../placement/urgency-pressure.ts';

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

/** Numbers of calls, or shares of the calls in per cent, by urgency (0 is the most urgent). */
const byUrgencySchema = z.array(z.tuple([z.number().int().min(0).max(leastUrgency), z.number().nonnegative()])).max(leastUrgency + 1);

/** `[urgency, new calls, refused]`: the urgency of the call that is to be placed, 1 if it is a new one, and refusals since the last question. */
const urgencySchema = z.tuple([z.number().int().min(0).max(leastUrgency), z.number().min(0).max(1), byUrgencySchema.optional()]);

/**
 * `['ask', gateway, instance, urgency]`: asks for the calls that other gateways have in flight at the engine, which the gateway knows by this
 * name, the instance ID with the number of the question. The urgency is left out towards a stager that does not know it.
 */
export const askDatagramSchema = z.tuple([z.literal('ask'), z.string(), z.string(), urgencySchema.optional()]);

/** What a `load` tells beside the counts: what the engine said of itself, and the calls that should give way to more urgent ones. */
const loadExtrasSchema = observationSchema.extend({yields: byUrgencySchema.optional()});

/** `['load', instance, counts, extras]`: the answer to an `ask`, whose name of the instance it repeats. The last element may be absent; only gateways that give an urgency get it, since those of earlier versions refuse it. */
export const loadDatagramSchema = z.tuple([z.literal('load'), z.string(), countsSchema, loadExtrasSchema.optional()], z.unknown());

/** A question to a stager. */
export type AskDatagram = z.infer<typeof askDatagramSchema>;

/** An answer to a gateway. */
export type LoadDatagram = z.infer<typeof loadDatagramSchema>;
