/** Messages by which processes exchange the configuration and announce versions of the VM list. */
import {z} from 'zod';

/** JSON-RPC method that announces the sender's version to a peer, which then fetches anything newer than its own. */
export const configOfferMethod = 'config.offer';

/** JSON-RPC method that returns the entries changed after a revision. */
export const configGetMethod = 'config.get';

/**
 * JSON-RPC method by which two processes exchange versions: for anti-entropy, and to find the lowest revision that a starting process may
 * apply.
 */
export const configDigestMethod = 'config.digest';

/** The version of a process's configuration tree. */
export const configVersionSchema = z.object({
	revision: z.number().int().nonnegative(),
	/** Digest of all documents at the revision. */
	digest: z.string(),
	/** Digest of the last valid values that are used in place of invalid documents. */
	fallbackDigest: z.string(),
});

/** A process's version, where to fetch it, and how recently the platform confirmed it. */
export const configOfferSchema = configVersionSchema.extend({
	vm: z.string(),
	/** Address of the control listener, `ip:port`. */
	address: z.string(),
	/**
	 * Time since the configuration service last confirmed a revision, in milliseconds: to this process, or to one whose confirmation this
	 * process learned of.
	 */
	serviceAgeMs: z.number().nonnegative(),
	/** The process's version of the VM list; `ageMs` is the time since the list was read from the platform, in milliseconds. */
	list: z.object({digest: z.string(), ageMs: z.number().nonnegative()}).optional(),
});

/** One published document; `value` is null for a deleted path. */
export const configEntrySchema = z.object({
	path: z.string(),
	revision: z.number().int().nonnegative(),
	value: z.unknown(),
	/** The last valid document, if the published one is invalid. */
	fallback: z.object({revision: z.number().int(), value: z.unknown()}).optional(),
});

/** Selects the entries to return. */
export const configGetParamsSchema = z.object({
	/** Return the entries that changed after this revision; 0 selects the full tree. */
	after: z.number().int().nonnegative(),
	/** Return only entries with a `fallback`. */
	onlyFallbacks: z.boolean().default(false),
});

/** Changed entries, and the version of the tree that includes them. */
export const configGetResultSchema = configVersionSchema.extend({
	/** Whether `entries` is the full tree. */
	whole: z.boolean(),
	entries: z.array(configEntrySchema),
});

/** The version of a process's configuration tree. */
export type ConfigVersion = z.infer<typeof configVersionSchema>;

/** A process's version, where to fetch it, and how recently the platform confirmed it. */
export type ConfigOffer = z.infer<typeof configOfferSchema>;

/** One published document; `value` is null for a deleted path. */
export type ConfigEntry = z.infer<typeof configEntrySchema>;

/** Selects the entries to return. */
export type ConfigGetParams = z.infer<typeof configGetParamsSchema>;

/** Changed entries, and the version of the tree that includes them. */
export type ConfigGetResult = z.infer<typeof configGetResultSchema>;
