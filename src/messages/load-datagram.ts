/** Datagrams between gateways and the stager beside an engine, which counts the calls that all gateways have in flight at the engine. */
import {z} from 'zod';

/** Calls in flight and those of their prompt tokens that have not been processed yet. */
const countsSchema = z.tuple([z.number().nonnegative(), z.number().nonnegative()]);

/** `['count', gateway, sequence, counts]`: the gateway has these calls in flight at the engine. */
export const countDatagramSchema = z.tuple([z.literal('count'), z.string(), z.number(), countsSchema]);

/** `['ask', gateway, instance]`: asks for the calls that other gateways have in flight at the engine, which the gateway knows as this instance. */
export const askDatagramSchema = z.tuple([z.literal('ask'), z.string(), z.string()]);

/** `['load', instance, counts]`: the answer to an `ask`. */
export const loadDatagramSchema = z.tuple([z.literal('load'), z.string(), countsSchema]);

/** An answer to a gateway. */
export type LoadDatagram = z.infer<typeof loadDatagramSchema>;
