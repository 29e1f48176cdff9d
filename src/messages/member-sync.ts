/** Messages by which processes fetch the VM list from each other. */
import {z} from 'zod';

/** JSON-RPC method that returns the VM list: as changes to the requester's list if the responder knows that list, otherwise in full. */
export const membersGetMethod = 'members.get';

/** `have` is the digest of the requester's list. */
export const membersGetParamsSchema = z.object({have: z.string()});

/** A VM of the VM list. */
export const listedVmSchema = z.object({
	vm: z.string(),
	role: z.enum(['entry', 'upstream']),
	state: z.enum(['live', 'leaving']),
	zone: z.string(),
	region: z.string(),
	/** Address of the control listener, `ip:port`. */
	address: z.string(),
	services: z.array(z.string()),
});

/** The full VM list, or the changes to the requester's list. */
export const membersGetResultSchema = z.object({
	digest: z.string(),
	/** Time since the list was read from the platform, in milliseconds. */
	ageMs: z.number().nonnegative(),
	/** Whether `changed` is the full list. */
	whole: z.boolean(),
	changed: z.array(listedVmSchema),
	removed: z.array(z.string()),
});

/** A VM of the VM list. */
export type ListedVm = z.infer<typeof listedVmSchema>;

/** The full VM list, or the changes to the requester's list. */
export type MembersGetResult = z.infer<typeof membersGetResultSchema>;
