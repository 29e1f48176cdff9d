/** Owns the member view: reads the VM list, keeps the last one when the platform is away, and joins in own sight. */
import type {PeerClient} from '../links/peer-client.ts';
import type {AgentReport} from '../messages/agent-report.ts';
import type {Logger} from '../runtime/logger.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import {
	type ListedVm, type Member, type Sight, vmListSchema,
} from './member.ts';
import {mergeMembers} from './merge-members.ts';

/** Mean time between two reads of the VM list, in milliseconds. */
export const vmListIntervalMs = 1000;

/** How long one read of the VM list may take, in milliseconds. */
const vmListTimeoutMs = 2000;

/** What the manager works with. */
export type MembershipManagerOptions = {
	/** This process's VM. */
	readonly vm: string;
	readonly links: PeerClient;
	readonly random: RandomSource;
	readonly log: Logger;
	/** The VM list's address. */
	readonly listUrl: string;
};

/** Keeps the member view up to date. */
export class MembershipManager {
	private listed: readonly ListedVm[] = [];
	private readonly sights = new Map<string, Sight>();
	private view: readonly Member[] = [];
	private others: readonly ListedVm[] = [];
	private timer: NodeJS.Timeout | undefined;
	private stopped = false;

	/** @param options - what the manager works with */
	constructor(private readonly options: MembershipManagerOptions) {}

	/** All members, usable or not. */
	get members(): readonly Member[] {
		return this.view;
	}

	/** All listed VMs but this one. */
	get peers(): readonly ListedVm[] {
		return this.others;
	}

	/**
	 * Returns the usable upstreams of a service.
	 *
	 * @param service - the service
	 */
	upstreamsOf(service: string): Member[] {
		return this.view.filter(member => member.role === 'upstream' && member.usable && member.services.includes(service));
	}

	/** Starts to read the list; the first read is done when the promise resolves, whether it worked or not. */
	async start(): Promise<void> {
		await this.refresh();
		this.schedule();
	}

	/** Stops reading the list. */
	stop(): void {
		this.stopped = true;
		clearTimeout(this.timer);
	}

	/** Reads the list now. */
	async refresh(): Promise<void> {
		const {links, listUrl, log} = this.options;
		try {
			const answer = await links.json(`${listUrl}/v1/vms`, {method: 'GET'}, {timeoutMs: vmListTimeoutMs});
			this.listed = vmListSchema.parse(answer).vms;
			this.others = this.listed.filter(({vm}) => vm !== this.options.vm);
			this.rebuild();
		} catch (err) {
			log.warn({event: 'vm_list_failed', err}, 'VM list did not answer; the last list stays');
		}
	}

	/**
	 * Records an agent's report.
	 *
	 * @param report - the report
	 */
	recordReport(report: AgentReport): void {
		this.sights.set(report.vm, {report, reportAtMs: performance.now(), failedConnects: 0});
		this.rebuild();
	}

	/**
	 * Records that a fresh connection to a VM failed.
	 *
	 * @param vm - the VM
	 */
	recordFailedConnect(vm: string): void {
		const sight = this.sights.get(vm);
		this.sights.set(vm, {...sight, failedConnects: (sight?.failedConnects ?? 0) + 1});
		this.rebuild();
	}

	private rebuild(): void {
		this.view = mergeMembers(this.listed, this.sights);
	}

	private schedule(): void {
		if (this.stopped) {
			return;
		}

		this.timer = setTimeout(async () => {
			await this.refresh();
			this.schedule();
		}, this.options.random.jitter(vmListIntervalMs));
		this.timer.unref();
	}
}
