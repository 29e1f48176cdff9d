/** A VM of the fleet as this process sees it. */
import {z} from 'zod';
import type {AgentReport} from '../messages/agent-report.ts';

/** One line of the platform's VM list. */
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

/** The platform's VM list. */
export const vmListSchema = z.object({vms: z.array(listedVmSchema)});

/** One line of the platform's VM list. */
export type ListedVm = z.infer<typeof listedVmSchema>;

/** What this process itself knows of a VM. */
export type Sight = {
	/** The last report, if any. */
	readonly report?: AgentReport;
	/** Monotonic time of the last report, in milliseconds. */
	readonly reportAtMs?: number;
	/** Fresh connections that failed in a row since the last contact. */
	readonly failedConnects: number;
};

/** A VM with the decision whether it may receive work. */
export type Member = ListedVm & {
	readonly sight: Sight;
	/** Whether the VM may receive new work. */
	readonly usable: boolean;
	/** Why the VM is usable or not, for dumps. */
	readonly reason: string;
};
