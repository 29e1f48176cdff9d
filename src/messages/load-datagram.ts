/** Datagrams between gateways and the stager beside an engine, which counts the calls that all gateways have in flight at the engine. */
import {z} from 'zod';
import {leastUrgency} from '../placement/urgency-pressure.ts';

/** Calls in flight and those of their prompt tokens that have not been processed yet. */
const countsSchema = z.tuple([z.number().nonnegative(), z.number().nonnegative()]);

/** `['count', gateway, sequence, counts]`: the gateway has these calls in flight at the engine. */
export const countDatagramSchema = z.tuple([z.literal('count'), z.string(), z.number(), countsSchema]);

/** Numbers of calls, or shares of the calls in per cent, by urgency (0 is the most urgent). */
const byUrgencySchema = z.array(z.tuple([z.number().int().min(0).max(leastUrgency), z.number().nonnegative()])).max(leastUrgency + 1);

/** `[urgency, new calls, refused]`: the urgency of the call that is to be placed, 1 if it is a new one, and refusals since the last question. */
const urgencySchema = z.tuple([z.number().int().min(0).max(leastUrgency), z.number().min(0).max(1), byUrgencySchema.optional()]);

/**
 * `['ask', gateway, instance, urgency]`: asks for the calls that other gateways have in flight at the engine, which the gateway knows as this
 * instance. The urgency is left out towards a stager that does not know it.
 */
export const askDatagramSchema = z.tuple([z.literal('ask'), z.string(), z.string(), urgencySchema.optional()]);

/** What a `load` tells beside the counts: the calls that should give way to more urgent ones. */
const loadExtrasSchema = z.object({yields: byUrgencySchema.optional()});

/** `['load', instance, counts, extras]`: the answer to an `ask`. The extras are sent only if there are any and the question carried an urgency. */
export const loadDatagramSchema = z.tuple([z.literal('load'), z.string(), countsSchema, loadExtrasSchema.optional()]);

/** A question to a stager. */
export type AskDatagram = z.infer<typeof askDatagramSchema>;

/** An answer to a gateway. */
export type LoadDatagram = z.infer<typeof loadDatagramSchema>;
