/** Owns the member view: the VM list, own observation and the VMs' own word. */
import type {PeerClient} from '../links/peer-client.ts';
import type {RpcDispatcher} from '../links/rpc-dispatcher.ts';
import {agentLeavingMethod, type AgentReport, agentReportSchema} from '../messages/agent-report.ts';
import type {ConfigOffer} from '../messages/config-sync.ts';
import type {Logger} from '../runtime/logger.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import {isNewerReport} from './is-newer-report.ts';
import type {ListedVm, Member, VmObservation} from './member.ts';
import {MemberView} from './member-view.ts';
import {observationTimeoutMs} from './merge-members.ts';
import {SubsetCache} from './subset-cache.ts';
import {type EvaluatedVmList, evaluateVmList} from './evaluate-vm-list.ts';
import {createVmList, emptyList, type VmList} from './vm-list.ts';
import {VmListExchange} from './vm-list-exchange.ts';
import {VmListClient} from './vm-list-client.ts';

/** Mean time between two reads of the VM list by a reader, in milliseconds. */
export const vmListIntervalMs = 1000;

/** Age of the list at which a process that is no reader reads it itself, in milliseconds. */
export const maxListAgeMs = 45_000;

/** Longest mean time between two reads that fail, in milliseconds. */
export const maxListRetryMs = 60_000;

/** How many changed VMs a reader tells directly; gossip reaches the others. */
const maxNotifiedVms = 16;

/** How long a start waits for the first list, in milliseconds. */
const startTimeoutMs = 2000;

/** How often VMs that are not listed are looked at for having run out, in milliseconds. */
const rebuildIntervalMs = 3000;

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
	readonly onChange: (notified: readonly ListedVm[]) => void;
};

/** Keeps the member view up to date. */
export class MembershipManager {
	private readonly listClient: VmListClient;
	private readonly exchange: VmListExchange;
	private evaluatedList: EvaluatedVmList = {list: emptyList, retained: new Map(), trustedCount: 0};
	/** VMs that left a trusted list while they were in, with the time, in milliseconds. */
	private readonly removed = new Map<string, {readonly listedVm: ListedVm; readonly atMs: number}>();
	private readonly observations = new Map<string, VmObservation>();
	private readonly view = new MemberView();
	/** Monotonic time of the last whole join; undefined when the list changed since. */
	private rebuiltAtMs: number | undefined;
	private readonly subsets: SubsetCache;
	private otherVms: readonly ListedVm[] = [];
	private leaveRequested = false;
	private readonly leaveListeners: Array<() => void> = [];
	private timer: NodeJS.Timeout | undefined;
	private failures = 0;
	private stopped = false;

	/** @param options - what the manager works with */
	constructor(private readonly options: MembershipManagerOptions) {
		const {links, rpc, listUrl, own} = options;
		this.subsets = new SubsetCache(own);
		rpc.method(agentLeavingMethod, agentReportSchema, report => {
			this.recordReport(report);
			return true;
		});
		this.listClient = new VmListClient(listUrl);
		this.exchange = new VmListExchange({
			links, rpc, onList: (list, previous) => {
				this.applyList(list, previous);
			},
		});
	}

	/** All members, usable or not. */
	get members(): readonly Member[] {
		const nowMs = performance.now();
		// Observations of VMs that are not listed run out with time alone.
		if (this.rebuiltAtMs === undefined || nowMs - this.rebuiltAtMs > rebuildIntervalMs) {
			this.view.rebuild({
				listed: this.evaluatedList.list.vms.values(), unlisted: this.collectUnlistedVms(nowMs), observations: this.observations, nowMs,
			});
			this.rebuiltAtMs = nowMs;
		}

		return this.view.members;
	}

	/** All VMs but this one that may answer, for the exchange of configuration. */
	get peers(): readonly ListedVm[] {
		return this.otherVms;
	}

	/** The control listener of this process. */
	get ownAddress(): string {
		return this.options.own.address;
	}

	/** Whether the platform told this VM to leave. It never takes that back: an older reading of the list proves nothing. */
	get isLeaving(): boolean {
		return this.leaveRequested;
	}

	/**
	 * Adds a listener that is called once, when the platform's list tells this VM to leave.
	 *
	 * @param listener - starts what the leave needs
	 */
	onLeaveRequest(listener: () => void): void {
		this.leaveListeners.push(listener);
	}

	/** The list as it travels beside the configuration. */
	get list(): {version: () => ConfigOffer['list']; handleOffer: (offer: ConfigOffer) => void} {
		return {
			version: () => this.exchange.version,
			handleOffer: offer => {
				void this.exchange.handleOffer(offer);
			},
		};
	}

	/** What the state dump shows of the list. */
	get state(): Record<string, unknown> {
		const {list, retained, suspectSinceMs} = this.evaluatedList;
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
		return this.subsets.of(service, this.members, this.view.version);
	}

	/** Returns the upstreams of all services that this process keeps links to, and those that are out for a while. */
	linkedUpstreams(): Member[] {
		const upstreams = this.members.filter(member => member.role === 'upstream' && member.zone === this.options.own.zone);
		const services = new Set(this.members.flatMap(member => member.services));
		const linked = [...services].flatMap(service => [...this.upstreamsOf(service)]);
		// Agents that failed are asked for their recovery, whether a place in the subset is left for them or not.
		const excluded = upstreams.filter(member => !member.usable && (member.sight.report !== undefined || member.sight.failedConnects > 0));
		return [...new Set([...linked, ...excluded])];
	}

	/** Starts to read the list; resolves after the first list, or after 2 s without one. */
	async start(): Promise<void> {
		const endMs = performance.now() + startTimeoutMs;
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
			const vms = await this.listClient.read();
			this.failures = 0;
			this.exchange.adoptIfNewer(createVmList(vms, this.evaluatedList.list), performance.now() - startMs);
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
		const observation = this.observations.get(report.vm);
		const currentAddress = this.findListedVm(report.vm)?.address;
		if (!isNewerReport(observation, report) || (address !== undefined && currentAddress !== undefined && address !== currentAddress)) {
			return;
		}

		this.observations.set(report.vm, {
			report, reportAtMs: performance.now(), failedConnects: 0, retired: observation?.retired,
		});
		this.view.update(report.vm, {observations: this.observations, nowMs: performance.now()});
	}

	/**
	 * Records that a fresh connection to a VM failed.
	 *
	 * @param vm - the VM
	 */
	recordFailedConnect(vm: string): void {
		const observation = this.observations.get(vm);
		this.observations.set(vm, {...observation, failedConnects: (observation?.failedConnects ?? 0) + 1});
		this.view.update(vm, {observations: this.observations, nowMs: performance.now()});
	}

	private findListedVm(vm: string): ListedVm | undefined {
		return this.evaluatedList.list.vms.get(vm) ?? this.evaluatedList.retained.get(vm) ?? this.removed.get(vm)?.listedVm;
	}

	private applyList(list: VmList, previous: VmList): void {
		const {own, log, isReader, onChange} = this.options;
		const nowMs = performance.now();
		const wasSuspect = this.evaluatedList.suspectSinceMs !== undefined;
		this.evaluatedList = evaluateVmList(this.evaluatedList, list, nowMs);
		if (this.evaluatedList.suspectSinceMs !== undefined && !wasSuspect) {
			log.warn({event: 'vm_list_suspect', listed: list.vms.size, before: previous.vms.size}, 'VM list shrank to under half; missing VMs stay while they report');
		}

		const changed = [...list.vms.values()].filter(listedVm => previous.vms.get(listedVm.vm) !== listedVm);
		for (const listedVm of changed) {
			this.handleChangedVm(listedVm, previous.vms.get(listedVm.vm));
		}

		for (const [vm, listedVm] of previous.vms) {
			if (!list.vms.has(vm) && !this.evaluatedList.retained.has(vm)) {
				this.removed.set(vm, {listedVm, atMs: nowMs});
			}
		}

		this.otherVms = [...list.vms.values(), ...this.evaluatedList.retained.values()].filter(({vm}) => vm !== own.vm);
		this.rebuiltAtMs = undefined;
		// New and leaving VMs hear of the change at once; a restarted zone would be too many.
		onChange(isReader() ? changed.filter(listedVm => listedVm.vm !== own.vm).slice(0, maxNotifiedVms) : []);
	}

	private handleChangedVm(listedVm: ListedVm, previous: ListedVm | undefined): void {
		const {own, log} = this.options;
		this.removed.delete(listedVm.vm);
		if (listedVm.vm === own.vm && listedVm.address === own.address && listedVm.state === 'leaving' && !this.leaveRequested) {
			this.leaveRequested = true;
			log.info({event: 'told_to_leave'}, 'the VM list says that this VM leaves');
			for (const listener of this.leaveListeners) {
				listener();
			}
		}

		// A replaced VM may reuse the id; what was seen at the old address says nothing about the new one.
		if (previous && previous.address !== listedVm.address) {
			this.observations.set(listedVm.vm, {failedConnects: 0, retired: this.observations.get(listedVm.vm)?.report?.incarnation});
		}
	}

	private collectUnlistedVms(nowMs: number): ListedVm[] {
		for (const [vm, {atMs}] of this.removed) {
			if (nowMs - atMs > observationTimeoutMs) {
				this.removed.delete(vm);
				this.observations.delete(vm);
			}
		}

		return [...this.evaluatedList.retained.values(), ...[...this.removed.values()].map(({listedVm}) => listedVm)];
	}

	private schedule(): void {
		if (this.stopped) {
			return;
		}

		const retryMs = Math.min(maxListRetryMs, vmListIntervalMs * (2 ** this.failures));
		this.timer = setTimeout(async () => {
			const {ageMs} = this.exchange;
			if (this.options.isReader() || ageMs === undefined || ageMs > maxListAgeMs) {
				await this.refresh();
			}

			this.schedule();
		}, this.options.random.jitter(retryMs));
		this.timer.unref();
	}
}
