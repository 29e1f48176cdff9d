/** Messages between the processes of a deployment that lists none of them: who there is, and what is published. */
import {z} from 'zod';

/** Exchanges what two processes know of the group. */
export const peersExchangeMethod = 'peers.exchange';

/** Fetches the parts of the directory that the asking process lacks. */
export const directoryGetMethod = 'directory.get';

/** One process. */
export const peerInfoSchema = z.object({
	vm: z.string(),
	/** A restarted process has a greater one. */
	startedAtMs: z.number(),
	role: z.enum(['gateway', 'stager']),
	zone: z.string(),
	region: z.string(),
	/** The control listener, `ip:port`. */
	address: z.string(),
	/** The service whose upstream runs on the VM, for a stager. */
	service: z.string().optional(),
});

/** How new a process's directory is. */
export const directoryRevisionsSchema = z.object({configurationVersion: z.number(), instancesRevision: z.number()});

/** A version of weights that was named, and how long ago. */
export const announcedVersionSchema = z.object({
	model: z.string(), version: z.number(), ageMs: z.number(), isAssumed: z.boolean(),
});

/** What one side tells the other. */
export const peersExchangeSchema = z.object({
	self: peerInfoSchema,
	/** Digest of the group; equal ones need no list. */
	groupDigest: z.string(),
	/** The group, when the digests differ. */
	group: z.array(peerInfoSchema).optional(),
	directory: directoryRevisionsSchema,
	versions: z.array(announcedVersionSchema),
});

/** Asks a stager for the manifest of a version. */
export const manifestGetMethod = 'rollout.manifest';

/** The version whose manifest is wanted. */
export const manifestGetParamsSchema = z.object({model: z.string(), version: z.number()});

/** One process. */
export type PeerInfo = z.infer<typeof peerInfoSchema>;

/** What one side tells the other. */
export type PeersExchange = z.infer<typeof peersExchangeSchema>;
