/** The datagrams in which a stager tells entries about its engine, before the platform's list does. */
import {z} from 'zod';

/** The engine's address, its start in milliseconds since 1970, and what it holds. */
export const heldModelDatagramSchema = z.tuple([z.literal('held'), z.string(), z.number(), z.object({
	model: z.string(), version: z.number(), fromLayer: z.number(), toLayer: z.number(),
})]);

/** An engine that took an order and accepts no calls until it is told to hold something new: its address and its start. */
export const changingDatagramSchema = z.tuple([z.literal('changing'), z.string(), z.number()]);

/** What a stager tells of its engine. */
export type EngineDatagram = HeldModelDatagram | z.infer<typeof changingDatagramSchema>;

/** What an engine holds, as a stager tells it. */
export type HeldModelDatagram = z.infer<typeof heldModelDatagramSchema>;
