/** Datagrams with which a gateway compares its directory with that of another one. */
import {z} from 'zod';
import {addressSchema} from '../links/address.ts';
import {directoryStateSchema} from './peers-exchange.ts';

/** `['check', address, state, number]`: asks the receiver for the state of its directory, and tells the address and the state of the sender. */
export const checkDatagramSchema = z.tuple([z.literal('check'), addressSchema, directoryStateSchema, z.number()]);

/** How long ago something was last known, in milliseconds; null if it is not known. */
const ageSchema = z.number().nonnegative().nullable();

/**
 * `['checked', address, state, ages, number]`: the answer to the check with this number. The ages are those of the answering gateway's
 * knowledge: `directoryMs` since its directory was last known to lack nothing, `outageMs` since a gateway with the duty to watch the source was
 * last known to get no answers from it.
 */
export const checkedDatagramSchema = z.tuple([
	z.literal('checked'), addressSchema, directoryStateSchema, z.object({directoryMs: ageSchema, outageMs: ageSchema}), z.number(),
]);

/** The answer to a check. */
export type CheckedDatagram = z.infer<typeof checkedDatagramSchema>;

/** Either of them. */
export type CheckDatagram = z.infer<typeof checkDatagramSchema> | CheckedDatagram;
