/** Datagrams by which a stager notifies gateways of changes at its engine, ahead of the platform's list of instances. */
import {z} from 'zod';

/** `['held', address, startedAtMs, heldModel]`: the engine holds these layers of a model. Its start is in milliseconds since 1970. */
export const heldModelDatagramSchema = z.tuple([z.literal('held'), z.string(), z.number(), z.object({
	model: z.string(), version: z.number(), fromLayer: z.number(), toLayer: z.number(),
})]);

/** `['changing', address, startedAtMs]`: the engine has accepted an order to load weights and takes no calls until the next `held`. */
export const changingDatagramSchema = z.tuple([z.literal('changing'), z.string(), z.number()]);

/** A datagram about an engine. */
export type EngineDatagram = HeldModelDatagram | z.infer<typeof changingDatagramSchema>;

/** Announces the layers of a model that an engine holds. */
export type HeldModelDatagram = z.infer<typeof heldModelDatagramSchema>;
