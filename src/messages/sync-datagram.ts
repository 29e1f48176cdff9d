/** Datagrams with which two processes compare what they know; without lists, an exchange fits into one datagram each way. */
import {z} from 'zod';
import {peersExchangeSchema} from './peers-exchange.ts';

/** `['sync', message, number]`: asks for the other process's message. */
export const syncDatagramSchema = z.tuple([z.literal('sync'), peersExchangeSchema, z.number()]);

/** `['synced', message, number]`: the answer, with the number of the datagram that it answers. */
export const syncedDatagramSchema = z.tuple([z.literal('synced'), peersExchangeSchema, z.number()]);

/** Either of them. */
export type SyncDatagram = z.infer<typeof syncDatagramSchema> | z.infer<typeof syncedDatagramSchema>;
