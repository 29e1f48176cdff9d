/** Datagram by which a process tells a few others that its directory has changed. */
import {z} from 'zod';
import {addressSchema} from '../links/address.ts';
import {announcedVersionSchema, directoryStateSchema} from './peers-exchange.ts';

/** `['news', address, state, versions]`: the control address of the sender, the state of its directory, and the announced versions of weights. */
export const newsDatagramSchema = z.tuple([z.literal('news'), addressSchema, directoryStateSchema, z.array(announcedVersionSchema)]);

/** News of a changed directory. */
export type NewsDatagram = z.infer<typeof newsDatagramSchema>;
