/** The types of the member view: listed VMs, observations of them, and members. */
import {z} from 'zod';
import type {AgentReport} from '../messages/agent-report.ts';
import {type ListedVm, listedVmSchema} from '../messages/member-sync.ts';

/** The response of the platform's VM list. */
export const vmListSchema = z.object({vms: z.array(listedVmSchema)});

export type {ListedVm} from '../messages/member-sync.ts';

/** What this process has observed of a VM itself. */
export type VmObservation = {
	/** The newest report, if any. */
	readonly report?: AgentReport;
	/** Monotonic arrival time of the newest report, in milliseconds. */
	readonly reportAtMs?: number;
	/** The incarnation that ran at the VM id's previous address; its reports are ignored, since they can only be late ones. */
	readonly retired?: string;
	/** Consecutive failures of new connections since the last successful contact. */
	readonly failedConnects: number;
};

/** A VM, what was observed of it, and the decision whether it may receive work. */
export type Member = ListedVm & {
	readonly sight: VmObservation;
	/** Whether the VM may receive new work. */
	readonly usable: boolean;
	/** Why the VM is usable or not; shown in state dumps. */
	readonly reason: string;
};
