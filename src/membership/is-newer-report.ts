/** Decides whether a report replaces the one that is held. */
import type {AgentReport} from '../messages/agent-report.ts';
import type {VmObservation} from './member.ts';

/**
 * Tells whether a report is newer than what is known of its VM.
 *
 * Incarnations start with their start time; a replaced VM at a new address counts as newer whatever its clock says.
 *
 * @param sight - what is known of the VM
 * @param report - the report
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
