/** Asks the agents that this process keeps links to for their reports. */
import {PeerRequestError, type PeerClient} from '../links/peer-client.ts';
import {agentReportMethod, agentReportSchema} from '../messages/agent-report.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import type {Member} from './member.ts';
import type {MembershipManager} from './membership-manager.ts';

/** Mean time between two reports of one agent, in milliseconds. */
export const reportIntervalMs = 3000;

/** Mean time until an agent that failed once is asked again, in milliseconds; it doubles with each failure. */
export const failedIntervalMs = 500;

/** Longest mean time until an agent that failed is asked again, in milliseconds. */
export const maxFailedIntervalMs = 30_000;

/** How often due agents are looked for, in milliseconds. */
const tickMs = 200;

/** How long an agent may take to report, in milliseconds. */
const reportTimeoutMs = 1500;

/** What the poller works with. */
export type ReportPollerOptions = {
	readonly links: PeerClient;
	readonly membership: MembershipManager;
	readonly random: RandomSource;
};

/** Polls agents for reports. */
export class ReportPoller {
	private readonly dueAtMs = new Map<string, number>();
	private timer: NodeJS.Timeout | undefined;

	/** @param options - what the poller works with */
	constructor(private readonly options: ReportPollerOptions) {}

	/** Polls every linked agent once and goes on until stopped. */
	async start(): Promise<void> {
		await this.pollDue();
		this.timer = setInterval(() => {
			void this.pollDue();
		}, tickMs);
		this.timer.unref();
	}

	/** Stops polling. */
	stop(): void {
		clearInterval(this.timer);
	}

	private async pollDue(): Promise<void> {
		const nowMs = performance.now();
		const agents = this.options.membership.linkedUpstreams();
		const due = agents.filter(agent => (this.dueAtMs.get(agent.address) ?? 0) <= nowMs && !isFresh(agent, nowMs));
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
		const meanMs = failures === 0 ? reportIntervalMs : Math.min(maxFailedIntervalMs, failedIntervalMs * (2 ** failures));
		this.dueAtMs.set(agent.address, nowMs + random.jitter(meanMs));
		try {
			const call = {method: agentReportMethod, params: {address: membership.ownAddress}};
			// After a failure the next question goes over a connection of its own, since the pooled one may have gone silent.
			membership.recordReport(await links.rpc(agent.address, call, agentReportSchema, {timeoutMs: reportTimeoutMs, freshConnection: failures > 0}), agent.address);
		} catch (err) {
			if (err instanceof PeerRequestError) {
				membership.recordFailedConnect(agent.vm);
				this.dueAtMs.set(agent.address, nowMs + random.jitter(failedIntervalMs * (2 ** Math.min(failures, 6))));
			}
		}
	}
}

/** A report that rode on an answer replaces a poll. */
function isFresh({sight}: Member, nowMs: number): boolean {
	return sight.reportAtMs !== undefined && sight.failedConnects === 0 && nowMs - sight.reportAtMs < reportIntervalMs / 2;
}
