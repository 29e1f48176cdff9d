/** Messages that spread the configuration between processes. */
import {z} from 'zod';

/** Notifies a peer of a revision; the peer fetches it when it is newer than its own. */
export const configOfferMethod = 'config.offer';

/** Fetches what changed after a revision. */
export const configGetMethod = 'config.get';

/** Returns revision and digest, for anti-entropy and for the floor at start. */
export const configDigestMethod = 'config.digest';

/** A revision and the digest of the whole tree at that revision. */
export const configVersionSchema = z.object({revision: z.number().int().nonnegative(), digest: z.string()});

/** A revision, its digest, and where to fetch it. */
export const configOfferSchema = configVersionSchema.extend({address: z.string()});

/** One published document; `value` is null for a deleted path. */
export const configEntrySchema = z.object({
	path: z.string(),
	revision: z.number().int().nonnegative(),
	value: z.unknown(),
	/** The last good document, when the published one failed its check. */
	fallback: z.object({revision: z.number().int(), value: z.unknown()}).optional(),
});

/** Which entries are wanted: all that changed after a revision; 0 for the whole tree. */
export const configGetParamsSchema = z.object({after: z.number().int().nonnegative()});

/** Changed entries and the version that they lead to. */
export const configGetResultSchema = configVersionSchema.extend({
	/** True when `entries` is the whole tree. */
	whole: z.boolean(),
	entries: z.array(configEntrySchema),
});

/** A revision and the digest of the whole tree at that revision. */
export type ConfigVersion = z.infer<typeof configVersionSchema>;

/** One published document. */
export type ConfigEntry = z.infer<typeof configEntrySchema>;

/** Changed entries and the version that they lead to. */
export type ConfigGetResult = z.infer<typeof configGetResultSchema>;
