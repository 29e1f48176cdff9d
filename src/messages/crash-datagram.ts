/** Datagram by which gateways tell each other of crashes of upstreams and of the prompt parts that may cause them. */
import {z} from 'zod';
import {maxListedParts} from '../quarantine/broken-call.ts';
import {isPromptPartId, type PromptPartId} from '../ids/prompt-part-id.ts';

const partSchema = z.custom<PromptPartId>(value => isPromptPartId(value));

/** Maximum distance of a time from now, in milliseconds; senders shorten longer ones to it. */
export const maxDistanceMs = 86_400_000;

/** How long ago something happened, in milliseconds. */
const ageSchema = z.number().min(0).max(maxDistanceMs);

/** `[crash, age, calls]`: the ID of a crash, and the shared prompt parts of each call that it broke off, or a piece of them with the marker of the call. */
const crashSchema = z.tuple([z.string().max(200), ageSchema, z.array(z.array(partSchema).max(maxListedParts)).max(32)]);

/** `[part, age]`: an upstream survived a call with the part. */
const survivalSchema = z.tuple([partSchema, ageSchema]);

/** `[part, rivals, age of its last crash, trials, time to the next trial]`: calls with the part are refused. The time is negative if the trial is due. */
const holdSchema = z.tuple([partSchema, z.array(partSchema).max(16), ageSchema, z.number().int().min(0).max(1000), z.number().min(-maxDistanceMs).max(maxDistanceMs)]);

/** `['crash', crashes, survivals, holds]`. */
export const crashDatagramSchema = z.tuple([z.literal('crash'), z.array(crashSchema).max(128), z.array(survivalSchema).max(128), z.array(holdSchema).max(128)]);

/** What a gateway tells another one. */
export type CrashDatagram = z.infer<typeof crashDatagramSchema>;
