/** Datagrams with which two processes compare what they know; without lists, an exchange fits into one datagram each way. */
import {z} from 'zod';
import {peersExchangeSchema} from './peers-exchange.ts';

/** `['sync', message]`: asks for the other process's message. */
export const syncDatagramSchema = z.tuple([z.literal('sync'), peersExchangeSchema]);

/** `['synced', message]`: the answer. */
export const syncedDatagramSchema = z.tuple([z.literal('synced'), peersExchangeSchema]);

/** Either of them. */
export type SyncDatagram = z.infer<typeof syncDatagramSchema> | z.infer<typeof syncedDatagramSchema>;
