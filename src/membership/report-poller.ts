/** Polls the agents that this process connects to for load and health reports. */
import {PeerRequestError, type PeerClient} from '../links/peer-client.ts';
import {agentReportMethod, agentReportSchema} from '../messages/agent-report.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import type {Member} from './member.ts';
import type {MembershipManager} from './membership-manager.ts';

/** Mean interval between polls of one agent, in milliseconds. */
export const reportIntervalMs = 3000;

/** Mean retry interval after the first failed poll, in milliseconds; it doubles with each further failure. */
export const minRetryIntervalMs = 500;

/** Upper bound of the mean retry interval, in milliseconds. */
export const maxRetryIntervalMs = 30_000;

/** Interval at which the poller looks for agents that are due, in milliseconds. */
const checkIntervalMs = 200;

/** Timeout of a poll, in milliseconds. */
const reportTimeoutMs = 1500;

/** Dependencies of {@link ReportPoller}. */
export type ReportPollerOptions = {
	readonly links: PeerClient;
	readonly membership: MembershipManager;
	readonly random: RandomSource;
};

/** Polls agents, with exponential backoff for those that fail, and records the results in the {@link MembershipManager}. */
export class ReportPoller {
	private readonly dueAtMs = new Map<string, number>();
	private timer: NodeJS.Timeout | undefined;

	constructor(private readonly options: ReportPollerOptions) {}

	/** Polls every linked agent once, then keeps polling until stopped. */
	async start(): Promise<void> {
		await this.pollDue();
		this.timer = setInterval(() => {
			void this.pollDue();
		}, checkIntervalMs);
		this.timer.unref();
	}

	/** Stops polling. */
	stop(): void {
		clearInterval(this.timer);
	}

	private async pollDue(): Promise<void> {
		const nowMs = performance.now();
		const agents = this.options.membership.linkedUpstreams();
		const due = agents.filter(agent => (this.dueAtMs.get(agent.address) ?? 0) <= nowMs && !hasRecentReport(agent, nowMs));
		const linked = new Set(agents.map(agent => agent.address));
		for (const address of this.dueAtMs.keys()) {
			if (!linked.has(address)) {
				this.dueAtMs.delete(address);
			}
		}

		await Promise.all(due.map(async agent => this.poll(agent, nowMs)));
	}

	private async poll(agent: Member, nowMs: number): Promise<void> {
		const {links, membership, random} = this.options;
		const failures = agent.sight.failedConnects;
		const meanMs = failures === 0 ? reportIntervalMs : Math.min(maxRetryIntervalMs, minRetryIntervalMs * (2 ** failures));
		this.dueAtMs.set(agent.address, nowMs + random.jitter(meanMs));
		try {
			const call = {method: agentReportMethod, params: {address: membership.ownAddress}};
			// After a failure the next poll uses a new connection, since the pooled one may no longer respond.
			membership.recordReport(await links.rpc(agent.address, call, agentReportSchema, {timeoutMs: reportTimeoutMs, freshConnection: failures > 0}), agent.address);
		} catch (err) {
			if (err instanceof PeerRequestError) {
				membership.recordFailedConnect(agent.vm);
				this.dueAtMs.set(agent.address, nowMs + random.jitter(minRetryIntervalMs * (2 ** Math.min(failures, 6))));
			}
		}
	}
}

/** Returns whether a recent report makes a poll unnecessary; call responses carry reports too. */
function hasRecentReport({sight}: Member, nowMs: number): boolean {
	return sight.reportAtMs !== undefined && sight.failedConnects === 0 && nowMs - sight.reportAtMs < reportIntervalMs / 2;
}
