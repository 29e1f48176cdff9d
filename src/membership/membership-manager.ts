/** Owns the member view: the VM list, own observation and the VMs' own word. */
import type {PeerClient} from '../links/peer-client.ts';
import type {RpcDispatcher} from '../links/rpc-dispatcher.ts';
import {agentLeavingMethod, type AgentReport, agentReportSchema} from '../messages/agent-report.ts';
import type {ConfigOffer} from '../messages/config-sync.ts';
import type {Logger} from '../runtime/logger.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import {chooseSubset} from './choose-subset.ts';
import {isNewerReport} from './is-newer-report.ts';
import type {ListedVm, Member, Sight} from './member.ts';
import {mergeMembers, observedMs} from './merge-members.ts';
import {type TrustedList, trustList} from './trust-list.ts';
import {createVmList, emptyList, type VmList} from './vm-list.ts';
import {VmListExchange} from './vm-list-exchange.ts';
import {VmListService} from './vm-list-service.ts';

/** Mean time between two reads of the VM list by a reader, in milliseconds. */
export const vmListIntervalMs = 1000;

/** Age of the list at which a process that is no reader reads it itself, in milliseconds. */
export const oldListMs = 45_000;

/** Longest mean time between two reads that fail, in milliseconds. */
export const maxListRetryMs = 60_000;

/** How many changed VMs a reader tells directly; gossip reaches the others. */
const maxToldVms = 16;

/** How long a start waits for the first list, in milliseconds. */
const startListMs = 2000;

/** What the manager works with. */
export type MembershipManagerOptions = {
	/** This process with its control listener. */
	readonly own: {readonly vm: string; readonly zone: string; readonly address: string};
	readonly links: PeerClient;
	readonly rpc: RpcDispatcher;
	readonly random: RandomSource;
	readonly log: Logger;
	/** The VM list's address. */
	readonly listUrl: string;
	/** Whether this process reads the list for its zone. */
	readonly isReader: () => boolean;
	/** Is called when the list changed, with VMs that a reader tells at once. */
	readonly onChange: (told: readonly ListedVm[]) => void;
};

/** Keeps the member view up to date. */
export class MembershipManager {
	private readonly service: VmListService;
	private readonly exchange: VmListExchange;
	private trusted: TrustedList = {list: emptyList, retained: new Map(), trustedCount: 0};
	/** VMs that left a trusted list while they were in, with the time, in milliseconds. */
	private readonly removed = new Map<string, {readonly line: ListedVm; readonly atMs: number}>();
	private readonly sights = new Map<string, Sight>();
	private view: readonly Member[] | undefined;
	private viewAtMs = 0;
	private readonly subsets = new Map<string, readonly Member[]>();
	private others: readonly ListedVm[] = [];
	private toldToLeave = false;
	private readonly leaveListeners: Array<() => void> = [];
	private timer: NodeJS.Timeout | undefined;
	private failures = 0;
	private stopped = false;

	/** @param options - what the manager works with */
	constructor(private readonly options: MembershipManagerOptions) {
		const {links, rpc, listUrl} = options;
		rpc.method(agentLeavingMethod, agentReportSchema, report => {
			this.recordReport(report);
			return true;
		});
		this.service = new VmListService(listUrl);
		this.exchange = new VmListExchange({
			links, rpc, onList: (list, before) => {
				this.adopt(list, before);
			},
		});
	}

	/** All members, usable or not. */
	get members(): readonly Member[] {
		const nowMs = performance.now();
		// Observations run out with time alone.
		if (!this.view || nowMs - this.viewAtMs > vmListIntervalMs) {
			this.view = mergeMembers({
				listed: this.trusted.list.vms.values(), unlisted: this.unlisted(nowMs), sights: this.sights, nowMs,
			});
			this.viewAtMs = nowMs;
			this.subsets.clear();
		}

		return this.view;
	}

	/** All VMs but this one that may answer, for the exchange of configuration. */
	get peers(): readonly ListedVm[] {
		return this.others;
	}

	/** The control listener of this process. */
	get ownAddress(): string {
		return this.options.own.address;
	}

	/** Whether the platform told this VM to leave. It never takes that back: an older reading of the list proves nothing. */
	get isLeaving(): boolean {
		return this.toldToLeave;
	}

	/**
	 * Adds a listener that is called once, when the platform's list tells this VM to leave.
	 *
	 * @param listener - starts what the leave needs
	 */
	onToldToLeave(listener: () => void): void {
		this.leaveListeners.push(listener);
	}

	/** The list as it travels beside the configuration. */
	get list(): {version: () => ConfigOffer['list']; hear: (offer: ConfigOffer) => void} {
		return {
			version: () => this.exchange.version,
			hear: offer => {
				void this.exchange.hear(offer);
			},
		};
	}

	/** What the state dump shows of the list. */
	get state(): Record<string, unknown> {
		const {list, retained, suspectSinceMs} = this.trusted;
		return {
			listed: list.vms.size, retained: retained.size, isSuspect: suspectSinceMs !== undefined, ageMs: Math.round(this.exchange.ageMs ?? -1), digest: list.digest,
		};
	}

	/**
	 * Returns the usable upstreams of a service that this process keeps links to.
	 *
	 * @param service - the service
	 */
	upstreamsOf(service: string): readonly Member[] {
		const {members} = this;
		let subset = this.subsets.get(service);
		if (!subset) {
			subset = chooseSubset(this.options.own, service, members);
			this.subsets.set(service, subset);
		}

		return subset;
	}

	/** Returns the upstreams of all services that this process keeps links to, and those that are out for a while. */
	linkedUpstreams(): Member[] {
		const upstreams = this.members.filter(member => member.role === 'upstream' && member.zone === this.options.own.zone);
		const services = new Set(this.members.flatMap(member => member.services));
		const chosen = [...services].flatMap(service => [...this.upstreamsOf(service)]);
		// Agents that failed are asked for their recovery, whether a place in the subset is left for them or not.
		const out = upstreams.filter(member => !member.usable && (member.sight.report !== undefined || member.sight.failedConnects > 0));
		return [...new Set([...chosen, ...out])];
	}

	/** Starts to read the list; resolves after the first list, or after 2 s without one. */
	async start(): Promise<void> {
		const endMs = performance.now() + startListMs;
		while (!await this.refresh() && performance.now() < endMs) {
			await new Promise(resolve => {
				setTimeout(resolve, this.options.random.jitter(vmListIntervalMs / 2));
			});
		}

		this.schedule();
	}

	/** Stops reading the list. */
	stop(): void {
		this.stopped = true;
		clearTimeout(this.timer);
	}

	/**
	 * Reads the list from the platform now.
	 *
	 * @returns whether the platform answered
	 */
	async refresh(): Promise<boolean> {
		const startMs = performance.now();
		try {
			const vms = await this.service.read();
			this.failures = 0;
			this.exchange.take(createVmList(vms, this.trusted.list), performance.now() - startMs);
			return true;
		} catch (err) {
			this.failures++;
			this.options.log.warn({event: 'vm_list_failed', err}, 'VM list did not answer; the last list stays');
			return false;
		}
	}

	/**
	 * Records an agent's report, unless it is older than the one that is held.
	 *
	 * @param report - the report
	 * @param address - where it came from, when it was asked for
	 */
	recordReport(report: AgentReport, address?: string): void {
		const sight = this.sights.get(report.vm);
		const current = this.lineOf(report.vm)?.address;
		if (!isNewerReport(sight, report) || (address !== undefined && current !== undefined && address !== current)) {
			return;
		}

		this.sights.set(report.vm, {
			report, reportAtMs: performance.now(), failedConnects: 0, retired: sight?.retired,
		});
		this.view = undefined;
	}

	/**
	 * Records that a fresh connection to a VM failed.
	 *
	 * @param vm - the VM
	 */
	recordFailedConnect(vm: string): void {
		const sight = this.sights.get(vm);
		this.sights.set(vm, {...sight, failedConnects: (sight?.failedConnects ?? 0) + 1});
		this.view = undefined;
	}

	private lineOf(vm: string): ListedVm | undefined {
		return this.trusted.list.vms.get(vm) ?? this.trusted.retained.get(vm) ?? this.removed.get(vm)?.line;
	}

	private adopt(list: VmList, before: VmList): void {
		const {own, log, isReader, onChange} = this.options;
		const nowMs = performance.now();
		const wasSuspect = this.trusted.suspectSinceMs !== undefined;
		this.trusted = trustList(this.trusted, list, nowMs);
		if (this.trusted.suspectSinceMs !== undefined && !wasSuspect) {
			log.warn({event: 'vm_list_suspect', listed: list.vms.size, before: before.vms.size}, 'VM list shrank to under half; missing VMs stay while they report');
		}

		const changed = [...list.vms.values()].filter(line => before.vms.get(line.vm) !== line);
		for (const line of changed) {
			this.noteChange(line, before.vms.get(line.vm));
		}

		for (const [vm, line] of before.vms) {
			if (!list.vms.has(vm) && !this.trusted.retained.has(vm)) {
				this.removed.set(vm, {line, atMs: nowMs});
			}
		}

		this.others = [...list.vms.values(), ...this.trusted.retained.values()].filter(({vm}) => vm !== own.vm);
		this.view = undefined;
		// New and leaving VMs hear of the change at once; a restarted zone would be too many.
		onChange(isReader() ? changed.filter(line => line.vm !== own.vm).slice(0, maxToldVms) : []);
	}

	private noteChange(line: ListedVm, before: ListedVm | undefined): void {
		const {own, log} = this.options;
		this.removed.delete(line.vm);
		if (line.vm === own.vm && line.address === own.address && line.state === 'leaving' && !this.toldToLeave) {
			this.toldToLeave = true;
			log.info({event: 'told_to_leave'}, 'the VM list says that this VM leaves');
			for (const listener of this.leaveListeners) {
				listener();
			}
		}

		// A replaced VM may reuse the id; what was seen at the old address says nothing about the new one.
		if (before && before.address !== line.address) {
			this.sights.set(line.vm, {failedConnects: 0, retired: this.sights.get(line.vm)?.report?.incarnation});
		}
	}

	private unlisted(nowMs: number): ListedVm[] {
		for (const [vm, {atMs}] of this.removed) {
			if (nowMs - atMs > observedMs) {
				this.removed.delete(vm);
				this.sights.delete(vm);
			}
		}

		return [...this.trusted.retained.values(), ...[...this.removed.values()].map(({line}) => line)];
	}

	private schedule(): void {
		if (this.stopped) {
			return;
		}

		const retryMs = Math.min(maxListRetryMs, vmListIntervalMs * (2 ** this.failures));
		this.timer = setTimeout(async () => {
			const {ageMs} = this.exchange;
			if (this.options.isReader() || ageMs === undefined || ageMs > oldListMs) {
				await this.refresh();
			}

			this.schedule();
		}, this.options.random.jitter(retryMs));
		this.timer.unref();
	}
}
