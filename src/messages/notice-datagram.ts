/** Datagram with which two stagers exchange which chunks of a manifest they hold; {@link rolloutHaveMethod} does the same over a connection. */
import {z} from 'zod';
import {transferNoticeSchema} from './rollout-have.ts';

/** `['notice', manifest, notice, isAnswer]`: the sender's notice, and whether it answers one. */
export const noticeDatagramSchema = z.tuple([z.literal('notice'), z.string(), transferNoticeSchema, z.boolean()]);

/** A notice about one manifest. */
export type NoticeDatagram = z.infer<typeof noticeDatagramSchema>;
