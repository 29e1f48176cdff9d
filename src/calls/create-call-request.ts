/** Creates the request that an entry sends to an agent for one attempt of a call. */
import type {Member} from '../membership/member.ts';
import type {CallRequest} from '../messages/call-request.ts';
import {toAgentDeadline} from './agent-deadline.ts';
import {newAttemptId} from './attempt-client.ts';
import {remainingMs} from './call-runner.ts';
import type {CallerRequest} from './caller-request.ts';

/**
 * Creates the request of a new attempt, with a new attempt id.
 *
 * @param member - the agent's VM, used to express the deadline in the agent's clock
 * @param content - the fields that differ between generations and operations
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
