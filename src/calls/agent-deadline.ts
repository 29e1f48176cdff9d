/** Writes a deadline in an agent's own clock, so that no delay on the way can stretch it. */
import type {Member} from '../membership/member.ts';
import type {CallRequest} from '../messages/call-request.ts';

/**
 * Converts a deadline of this process into the clock of an agent.
 *
 * The agent read its clock before the report arrived here, so the result is early by at most the report's time under way.
 *
 * @param member - the agent's VM with its last report
 * @param deadlineAtMs - the deadline in this process's monotonic clock, in milliseconds
 * @returns null when the agent has not reported its clock
 */
export function toAgentDeadline(member: Member | undefined, deadlineAtMs: number): CallRequest['agentDeadline'] {
	const {report, reportAtMs} = member?.sight ?? {};
	if (report?.clockMs === undefined || reportAtMs === undefined) {
		return null;
	}

	return {incarnation: report.incarnation, atMs: report.clockMs + (deadlineAtMs - reportAtMs)};
}
