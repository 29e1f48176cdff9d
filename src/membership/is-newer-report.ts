/** Orders the reports of an agent, which may arrive late or out of order. */
import type {AgentReport} from '../messages/agent-report.ts';
import type {VmObservation} from './member.ts';

/**
 * Returns whether a report is newer than the last one from its VM.
 *
 * Within an incarnation, the agent's monotonic clock decides. Incarnation ids begin with the start time of the process, so
 * otherwise the later start decides. A VM id may move to a new address, where the new VM's clock may be behind. The old
 * incarnation is then retired: its reports never count as newer.
 *
 * @param sight - the observation of the report's VM, if any
 */
export function isNewerReport(sight: VmObservation | undefined, report: AgentReport): boolean {
	if (sight?.retired === report.incarnation) {
		return false;
	}

	const current = sight?.report;
	if (!current) {
		return true;
	}

	return current.incarnation === report.incarnation ? (report.clockMs ?? 0) > (current.clockMs ?? -1) : startTimeOf(report) > startTimeOf(current);
}

function startTimeOf({incarnation}: AgentReport): number {
	return Number.parseInt(incarnation, 10);
}
