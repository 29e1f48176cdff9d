/** Messages for peer discovery and directory exchange, for deployments whose platform does not list the project's processes. */
import {z} from 'zod';
import {isStoreEra, type StoreEra} from '../ids/store-era.ts';
import {addressSchema} from '../links/address.ts';

/** JSON-RPC method by which two processes exchange the processes they know and the revisions of their directories. */
export const peersExchangeMethod = 'peers.exchange';

/** JSON-RPC method that returns the parts of the directory that are newer than the requester's. */
export const directoryGetMethod = 'directory.get';

/** A process of the deployment. */
export const peerInfoSchema = z.object({
	vm: z.string(),
	/** Wall-clock start, in milliseconds since 1970; greater after a restart. */
	startedAtMs: z.number(),
	role: z.enum(['gateway', 'stager']),
	zone: z.string(),
	region: z.string(),
	/** Address of the control listener, `ip:port`. */
	address: addressSchema,
	/** For a stager: the service whose upstream runs on the VM. */
	service: z.string().optional(),
});

/** An era of the directory's source. A revision without one is of era 0. */
export const storeEraSchema = z.custom<StoreEra>(isStoreEra);

/** What a process knows, as the start of the differences that it requests. */
export const directoryRevisionsSchema = z.object({configurationVersion: z.number(), instancesRevision: z.number(), era: storeEraSchema.optional()});

/**
 * The state of a process's directory: another process that knows the instances up to `lastInstanceChange` of `era` lacks none of its changes,
 * if it also knows those of the earlier eras up to the last change that is given for each.
 */
export const directoryStateSchema = z.object({
	configurationVersion: z.number(), lastInstanceChange: z.number(), era: storeEraSchema.optional(), earlier: z.array(z.tuple([storeEraSchema, z.number()])).optional(),
	/** The revision of the last change of evacuations; absent from processes that do not know which zones are evacuated. */
	lastEvacuationChange: z.number().optional(), evacuationEra: storeEraSchema.optional(),
});

/** Zones that are or were evacuated, and the revision up to which the list is complete. */
export const evacuationsSchema = z.object({
	revision: z.number(),
	era: storeEraSchema.optional(),
	zones: z.array(z.object({
		zone: z.string(), isEvacuated: z.boolean(), revision: z.number(), era: storeEraSchema.optional(), ageMs: z.number(),
	})),
});

/**
 * A version of model weights and bounds of the time since it was announced. The upper bound is absent if the version was already
 * announced when it was first read.
 */
export const announcedVersionSchema = z.object({
	model: z.string(), version: z.number(), minAgeMs: z.number(), maxAgeMs: z.number().optional(),
});

/** The known processes and the directory revisions of one side. */
export const peersExchangeSchema = z.object({
	self: peerInfoSchema,
	/** Digest of the list of known processes. If both sides have the same one, the list need not be sent. */
	groupDigest: z.string(),
	/** If the digests differ: the processes learned of lately, or all known ones. */
	group: z.array(peerInfoSchema).optional(),
	directory: directoryStateSchema,
	versions: z.array(announcedVersionSchema),
	/** The processes of the sender's zone that watch the source of the directory, and how long ago it last responded to each, in milliseconds. */
	watchers: z.array(z.tuple([z.string(), z.number()])),
});

/** JSON-RPC method that returns the manifest of a version from a stager. */
export const manifestGetMethod = 'rollout.manifest';

/** The requested version, and whether the answer may be what the stager has read from the origin only once. */
export const manifestGetParamsSchema = z.object({model: z.string(), version: z.number(), includesUnconfirmed: z.boolean().default(false)});

/** A process of the deployment. */
export type PeerInfo = z.infer<typeof peerInfoSchema>;

/** What a process knows, as the start of the differences that it requests. */
export type DirectoryRevisions = z.infer<typeof directoryRevisionsSchema>;

/** The state of a process's directory. */
export type DirectoryState = z.infer<typeof directoryStateSchema>;

/** The known processes and the directory revisions of one side. */
export type PeersExchange = z.infer<typeof peersExchangeSchema>;
