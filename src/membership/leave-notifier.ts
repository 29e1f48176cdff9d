/** Tells the entries that keep links to an agent that it leaves, before their next poll would. */
import {z} from 'zod';
import type {PeerClient} from '../links/peer-client.ts';
import {
	agentLeavingMethod, type AgentReport, agentReportMethod, agentReportParamsSchema,
} from '../messages/agent-report.ts';
import type {RpcDispatcher} from '../links/rpc-dispatcher.ts';

/** How long an entry that asked for a report is told of the leave, in milliseconds. */
const notifyWindowMs = 60_000;

/** How long an entry may take to acknowledge, in milliseconds; the leave goes on without it. */
const notificationTimeoutMs = 500;

/** Answers report polls and remembers who asked. */
export class LeaveNotifier {
	private readonly polledAtMs = new Map<string, number>();

	/**
	 * @param links - sends the notices
	 * @param rpc - receives the polls
	 * @param report - returns the agent's report
	 */
	constructor(private readonly links: PeerClient, rpc: RpcDispatcher, private readonly report: () => AgentReport) {
		rpc.method(agentReportMethod, agentReportParamsSchema, ({address}) => {
			if (address !== undefined) {
				this.polledAtMs.set(address, performance.now());
			}

			return this.report();
		});
	}

	/** Sends the report, which says that the agent drains, to every entry that asked lately. */
	async send(): Promise<void> {
		const nowMs = performance.now();
		const recentPollers = [...this.polledAtMs].filter(([, atMs]) => nowMs - atMs < notifyWindowMs);
		const call = {method: agentLeavingMethod, params: this.report()};
		// An entry that misses the notice learns it from a refusal, its next poll or the list.
		await Promise.allSettled(recentPollers.map(async ([address]) => this.links.rpc(address, call, z.unknown(), {timeoutMs: notificationTimeoutMs})));
	}
}
