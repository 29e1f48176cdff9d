/** Messages that spread the configuration and the VM list between processes. */
import {z} from 'zod';

/** Notifies a peer of what a process holds; the peer fetches what is newer than its own. */
export const configOfferMethod = 'config.offer';

/** Fetches what changed after a revision. */
export const configGetMethod = 'config.get';

/** Exchanges what both sides hold, for anti-entropy and for the floor at start. */
export const configDigestMethod = 'config.digest';

/** What a process holds. */
export const configVersionSchema = z.object({
	revision: z.number().int().nonnegative(),
	/** Digest of all documents at that revision. */
	digest: z.string(),
	/** Digest of the last good values that replace invalid documents. */
	fallbackDigest: z.string(),
});

/** What a process holds, where to fetch it, and how fresh its word from the platform is. */
export const configOfferSchema = configVersionSchema.extend({
	vm: z.string(),
	/** The control listener, `ip:port`. */
	address: z.string(),
	/** Time since the configuration service last confirmed a revision to any process that this one heard of, in milliseconds. */
	serviceAgeMs: z.number().nonnegative(),
	/** The VM list that is held, and the time since it was read from the platform, in milliseconds. */
	list: z.object({digest: z.string(), ageMs: z.number().nonnegative()}).optional(),
});

/** One published document; `value` is null for a deleted path. */
export const configEntrySchema = z.object({
	path: z.string(),
	revision: z.number().int().nonnegative(),
	value: z.unknown(),
	/** The last good document, when the published one failed its check. */
	fallback: z.object({revision: z.number().int(), value: z.unknown()}).optional(),
});

/** Which entries are wanted. */
export const configGetParamsSchema = z.object({
	/** Entries that changed after this revision; 0 for the whole tree. */
	after: z.number().int().nonnegative(),
	/** Only entries that carry a last good value. */
	onlyFallbacks: z.boolean().default(false),
});

/** Changed entries and the version that they lead to. */
export const configGetResultSchema = configVersionSchema.extend({
	/** True when `entries` is the whole tree. */
	whole: z.boolean(),
	entries: z.array(configEntrySchema),
});

/** What a process holds. */
export type ConfigVersion = z.infer<typeof configVersionSchema>;

/** What a process holds and where to fetch it. */
export type ConfigOffer = z.infer<typeof configOfferSchema>;

/** One published document. */
export type ConfigEntry = z.infer<typeof configEntrySchema>;

/** Which entries are wanted. */
export type ConfigGetParams = z.infer<typeof configGetParamsSchema>;

/** Changed entries and the version that they lead to. */
export type ConfigGetResult = z.infer<typeof configGetResultSchema>;
