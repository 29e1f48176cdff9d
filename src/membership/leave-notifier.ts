/** Notifies the entries that poll an agent that it is leaving, so that they need not wait for their next poll. */
import {z} from 'zod';
import type {PeerClient} from '../links/peer-client.ts';
import {
	agentLeavingMethod, type AgentReport, agentReportMethod, agentReportParamsSchema,
} from '../messages/agent-report.ts';
import type {RpcDispatcher} from '../links/rpc-dispatcher.ts';

/** Entries whose last poll is older than this are not notified, in milliseconds. */
const notifyWindowMs = 60_000;

/** Timeout of a notification, in milliseconds; the leave continues without an acknowledgement. */
const notificationTimeoutMs = 500;

/** Answers report polls, and notifies the polling entries when the agent leaves. */
export class LeaveNotifier {
	private readonly polledAtMs = new Map<string, number>();

	/**
	 * @param links - sends the notifications
	 * @param rpc - receives the polls
	 * @param report - returns the agent's current report
	 */
	constructor(private readonly links: PeerClient, rpc: RpcDispatcher, private readonly report: () => AgentReport) {
		rpc.method(agentReportMethod, agentReportParamsSchema, ({address}) => {
			if (address !== undefined) {
				this.polledAtMs.set(address, performance.now());
			}

			return this.report();
		});
	}

	/** Sends the report, whose state is draining by now, to every entry that polled within the last {@link notifyWindowMs}. */
	async send(): Promise<void> {
		const nowMs = performance.now();
		const recentPollers = [...this.polledAtMs].filter(([, atMs]) => nowMs - atMs < notifyWindowMs);
		const call = {method: agentLeavingMethod, params: this.report()};
		// An entry that misses the notification learns of the leave from a refused call, its next poll or the VM list.
		await Promise.allSettled(recentPollers.map(async ([address]) => this.links.rpc(address, call, z.unknown(), {timeoutMs: notificationTimeoutMs})));
	}
}
