/** Owns the member view and feeds it from the VM list, connection failures and the VMs' reports. */
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

/** Mean interval at which a reader, a process that polls the list for its zone, reads the VM list, in milliseconds. */
export const vmListIntervalMs = 1000;

/** Age of the list from which a process that is not a reader reads it itself, in milliseconds. */
export const maxListAgeMs = 45_000;

/** Upper bound of the mean retry interval after failed reads, in milliseconds. */
export const maxListRetryMs = 60_000;

/** Maximum number of changed VMs that a reader notifies directly; gossip reaches the others. */
const maxNotifiedVms = 16;

/** How long {@link MembershipManager.start} waits for the first list, in milliseconds. */
const startTimeoutMs = 2000;

/** Maximum age of the view before it is rebuilt, in milliseconds; a rebuild expires VMs that are not listed. */
const rebuildIntervalMs = 3000;

/** Maximum number of VMs that the list lacks of which observations are kept, so that an agent that has said it is leaving gets no calls when its VM is listed again. */
const maxRememberedVms = 4096;

/** Dependencies of {@link MembershipManager}. */
export type MembershipManagerOptions = {
	/** The VM and zone of this process, and the address of its control listener. */
	readonly own: {readonly vm: string; readonly zone: string; readonly address: string};
	readonly links: PeerClient;
	readonly rpc: RpcDispatcher;
	readonly random: RandomSource;
	readonly log: Logger;
	/** Base URL of the platform's VM list. */
	readonly listUrl: string;
	/** Whether this process polls the list for its zone. */
	readonly isReader: () => boolean;
	/** Called when the list changed, with the VMs that this process notifies directly; none unless it is a reader. */
	readonly onChange: (notified: readonly ListedVm[]) => void;
};

/** Keeps the member view up to date, and selects the upstreams that this process connects to. */
export class MembershipManager {
	private readonly listClient: VmListClient;
	private readonly exchange: VmListExchange;
	private evaluatedList: EvaluatedVmList = {list: emptyList, retained: new Map(), trustedCount: 0};
	/** VMs that disappeared from a trusted list, with the monotonic time, in milliseconds; they count while they were observed recently. */
	private readonly removed = new Map<string, {readonly listedVm: ListedVm; readonly atMs: number}>();
	private readonly observations = new Map<string, VmObservation>();
	private readonly view = new MemberView();
	/** Monotonic time of the last rebuild of the view, in milliseconds; undefined when the list changed since. */
	private rebuiltAtMs: number | undefined;
	private readonly subsets: SubsetCache;
	private otherVms: readonly ListedVm[] = [];
	private leaveRequested = false;
	private readonly leaveListeners: Array<() => void> = [];
	private timer: NodeJS.Timeout | undefined;
	private failures = 0;
	private stopped = false;

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
		// Observations of VMs that are not listed expire without any event that would update the view.
		if (this.rebuiltAtMs === undefined || nowMs - this.rebuiltAtMs > rebuildIntervalMs) {
			this.view.rebuild({
				listed: this.evaluatedList.list.vms.values(), unlisted: this.collectUnlistedVms(nowMs), observations: this.observations, nowMs,
			});
			this.rebuiltAtMs = nowMs;
		}

		return this.view.members;
	}

	/** All other VMs, listed or retained; the peers for the exchange of configuration. */
	get peers(): readonly ListedVm[] {
		return this.otherVms;
	}

	/** Address of this process's control listener. */
	get ownAddress(): string {
		return this.options.own.address;
	}

	/** Whether the platform told this VM to leave. This is never reset, since an older copy of the list may still show the VM as live. */
	get isLeaving(): boolean {
		return this.leaveRequested;
	}

	/** Adds a listener that is called once, when the VM list shows this VM as leaving. */
	onLeaveRequest(listener: () => void): void {
		this.leaveListeners.push(listener);
	}

	/** The hooks by which the exchange of configuration also exchanges versions of the VM list. */
	get list(): {version: () => ConfigOffer['list']; handleOffer: (offer: ConfigOffer) => void} {
		return {
			version: () => this.exchange.version,
			handleOffer: offer => {
				void this.exchange.handleOffer(offer);
			},
		};
	}

	/** The state of the list, for state dumps. */
	get state(): Record<string, unknown> {
		const {list, retained, suspectSinceMs} = this.evaluatedList;
		return {
			listed: list.vms.size, retained: retained.size, isSuspect: suspectSinceMs !== undefined, ageMs: Math.round(this.exchange.ageMs ?? -1), digest: list.digest,
		};
	}

	/** Returns the usable upstreams of a service that this process connects to. */
	upstreamsOf(service: string): readonly Member[] {
		return this.subsets.of(service, this.members, this.view.version);
	}

	/** Returns the upstreams to poll: those of all services that this process connects to, and unusable ones in its zone that may recover. */
	linkedUpstreams(): Member[] {
		const upstreams = this.members.filter(member => member.role === 'upstream' && member.zone === this.options.own.zone);
		const services = new Set(this.members.flatMap(member => member.services));
		const linked = [...services].flatMap(service => [...this.upstreamsOf(service)]);
		// Unusable agents are polled to detect their recovery, even if the subset has no room for them.
		const excluded = upstreams.filter(member => !member.usable && (member.sight.report !== undefined || member.sight.failedConnects > 0));
		return [...new Set([...linked, ...excluded])];
	}

	/** Starts to read the list periodically; resolves after the first successful read, or about 2 s without one. */
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
			this.options.log.warn({event: 'vm_list_failed', err}, 'cannot read the VM list; keeping the last one');
			return false;
		}
	}

	/**
	 * Records an agent's report, unless it is not newer than the last one or comes from an address that the VM no longer has.
	 *
	 * @param address - the address that was polled; undefined for a report that arrived without a poll
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

	/** Records that a new connection to a VM failed. */
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
			log.warn({event: 'vm_list_suspect', listed: list.vms.size, before: previous.vms.size}, 'VM list shrank to under half; missing VMs stay usable while they send reports');
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

		this.forgetOldestVms();
		this.otherVms = [...list.vms.values(), ...this.evaluatedList.retained.values()].filter(({vm}) => vm !== own.vm);
		this.rebuiltAtMs = undefined;
		// Notifies new and leaving VMs at once. The number is limited, since the restart of a zone changes too many VMs.
		onChange(isReader() ? changed.filter(listedVm => listedVm.vm !== own.vm).slice(0, maxNotifiedVms) : []);
	}

	private handleChangedVm(listedVm: ListedVm, previous: ListedVm | undefined): void {
		const {own, log} = this.options;
		this.removed.delete(listedVm.vm);
		if (listedVm.vm === own.vm && listedVm.address === own.address && listedVm.state === 'leaving' && !this.leaveRequested) {
			this.leaveRequested = true;
			log.info({event: 'told_to_leave'}, 'the VM list shows this VM as leaving');
			for (const listener of this.leaveListeners) {
				listener();
			}
		}

		// A replacement VM may reuse the id, so observations of the old address do not apply to the new one.
		if (previous && previous.address !== listedVm.address) {
			this.observations.set(listedVm.vm, {failedConnects: 0, retired: this.observations.get(listedVm.vm)?.report?.incarnation});
		}
	}

	/** Forgets VMs that the list lacks beyond {@link maxRememberedVms}, those that were observed first before others. */
	private forgetOldestVms(): void {
		let excess = this.observations.size - this.evaluatedList.list.vms.size - maxRememberedVms;
		for (const vm of this.observations.keys()) {
			if (excess > 0 && !this.findListedVm(vm)) {
				this.observations.delete(vm);
				excess--;
			}
		}
	}

	private collectUnlistedVms(nowMs: number): ListedVm[] {
		for (const [vm, {atMs}] of this.removed) {
			if (nowMs - atMs > observationTimeoutMs) {
				this.removed.delete(vm);
				if (this.observations.get(vm)?.report?.state !== 'draining') {
					this.observations.delete(vm);
				}
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
