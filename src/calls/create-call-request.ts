/** The request of one attempt, as far as generations and operations have it in common. */
import type {Member} from '../membership/member.ts';
import type {CallRequest} from '../messages/call-request.ts';
import {toAgentDeadline} from './agent-deadline.ts';
import {newAttemptId} from './attempt-client.ts';
import {remainingMs} from './call-runner.ts';
import type {CallerRequest} from './caller-request.ts';

/**
 * Creates the request of a new attempt.
 *
 * @param caller - the caller's request
 * @param member - the agent's VM, whose clock the deadline is given in
 * @param content - the work and the ticket
 */
export function createCallRequest(caller: CallerRequest, member: Member | undefined, content: Pick<CallRequest, 'work' | 'ticket'>): CallRequest {
	return {
		attempt: newAttemptId(),
		requestId: caller.requestId,
		workspace: caller.workspace,
		service: caller.route.service,
		priority: caller.priority,
		remainingMs: Math.max(1, Math.ceil(remainingMs(caller))),
		agentDeadline: toAgentDeadline(member, caller.deadlineAtMs),
		...content,
	};
}
