/** Asks the agents for their reports at a fixed mean interval. */
import {LinkError, type PeerClient} from '../links/peer-client.ts';
import {agentReportMethod, agentReportSchema} from '../messages/agent-report.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import type {Member} from './member.ts';
import type {MembershipManager} from './membership-manager.ts';

/** Mean time between two reports of one agent, in milliseconds. */
export const reportIntervalMs = 1000;

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
	private timer: NodeJS.Timeout | undefined;
	private stopped = false;

	/** @param options - what the poller works with */
	constructor(private readonly options: ReportPollerOptions) {}

	/** Polls once and goes on until stopped. */
	async start(): Promise<void> {
		await this.pollAll();
		this.schedule();
	}

	/** Stops polling. */
	stop(): void {
		this.stopped = true;
		clearTimeout(this.timer);
	}

	private schedule(): void {
		if (this.stopped) {
			return;
		}

		this.timer = setTimeout(async () => {
			await this.pollAll();
			this.schedule();
		}, this.options.random.jitter(reportIntervalMs));
		this.timer.unref();
	}

	private async pollAll(): Promise<void> {
		const agents = this.options.membership.members.filter(member => member.role === 'upstream');
		await Promise.all(agents.map(async agent => this.poll(agent)));
	}

	private async poll(agent: Member): Promise<void> {
		const {links, membership} = this.options;
		// After a failure the next question goes over a connection of its own, since the pooled one may have gone silent.
		const fresh = agent.sight.failedConnects > 0;
		try {
			const call = {method: agentReportMethod, params: {}};
			membership.recordReport(await links.rpc(agent.address, call, agentReportSchema, {timeoutMs: reportTimeoutMs, fresh}));
		} catch (err) {
			if (err instanceof LinkError) {
				membership.recordFailedConnect(agent.vm);
			}
		}
	}
}
