/** Messages that pass the VM list on between processes. */
import {z} from 'zod';

/** Fetches the VM list, as changes to a list that the asking process holds where that is known. */
export const membersGetMethod = 'members.get';

/** The digest of the list that the asking process holds. */
export const membersGetParamsSchema = z.object({have: z.string()});

/** One VM of the list. */
export const listedVmSchema = z.object({
	vm: z.string(),
	role: z.enum(['entry', 'upstream']),
	state: z.enum(['live', 'leaving']),
	zone: z.string(),
	region: z.string(),
	/** The control listener, `ip:port`. */
	address: z.string(),
	services: z.array(z.string()),
});

/** The list, or its changes. */
export const membersGetResultSchema = z.object({
	digest: z.string(),
	/** Time since the list was read from the platform, in milliseconds. */
	ageMs: z.number().nonnegative(),
	/** True when `changed` is the whole list. */
	whole: z.boolean(),
	changed: z.array(listedVmSchema),
	removed: z.array(z.string()),
});

/** One VM of the list. */
export type ListedVm = z.infer<typeof listedVmSchema>;

/** The list, or its changes. */
export type MembersGetResult = z.infer<typeof membersGetResultSchema>;
