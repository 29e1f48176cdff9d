/** A VM of the fleet as this process sees it. */
import {z} from 'zod';
import type {AgentReport} from '../messages/agent-report.ts';
import {type ListedVm, listedVmSchema} from '../messages/member-sync.ts';

/** The platform's VM list. */
export const vmListSchema = z.object({vms: z.array(listedVmSchema)});

export type {ListedVm} from '../messages/member-sync.ts';

/** What this process itself knows of a VM. */
export type VmObservation = {
	/** The last report, if any. */
	readonly report?: AgentReport;
	/** Monotonic time of the last report, in milliseconds. */
	readonly reportAtMs?: number;
	/** The incarnation that ran at an earlier address of the VM; its reports are late ones. */
	readonly retired?: string;
	/** Fresh connections that failed in a row since the last contact. */
	readonly failedConnects: number;
};

/** A VM with the decision whether it may receive work. */
export type Member = ListedVm & {
	readonly sight: VmObservation;
	/** Whether the VM may receive new work. */
	readonly usable: boolean;
	/** Why the VM is usable or not, for dumps. */
	readonly reason: string;
};
