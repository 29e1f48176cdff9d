/** Expresses a deadline in an agent's monotonic clock, so that transit delay cannot extend it. */
import type {Member} from '../membership/member.ts';
import type {CallRequest} from '../messages/call-request.ts';

/**
 * Converts a deadline from this process's clock to an agent's clock.
 *
 * The agent read its clock before its report arrived here, so the result is early by at most the transit time of the report.
 *
 * @param member - the agent's VM, with its last report
 * @param deadlineAtMs - the deadline in this process's monotonic clock, in milliseconds
 * @returns null if the agent has not reported its clock
 */
export function toAgentDeadline(member: Member | undefined, deadlineAtMs: number): CallRequest['agentDeadline'] {
	const {report, reportAtMs} = member?.sight ?? {};
	if (report?.clockMs === undefined || reportAtMs === undefined) {
		return null;
	}

	return {incarnation: report.incarnation, atMs: report.clockMs + (deadlineAtMs - reportAtMs)};
}
