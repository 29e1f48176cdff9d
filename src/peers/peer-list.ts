/** The known processes of the deployment: who was added, who was removed after failures, and what of it is told to others. */
import {digestOf} from '../ids/digest.ts';
import type {PeerInfo} from '../messages/peers-exchange.ts';
import type {Logger} from '../runtime/logger.ts';

/** Consecutive failed exchanges after which a peer is removed. */
const maxFailures = 3;

/** How long a removed peer is not added again because other peers still list it, in milliseconds. */
const readmissionDelayMs = 8000;

/** How long a process that was learned of is passed on with each exchange, in milliseconds. */
const rumorMs = 10_000;

/** Minimum interval between two messages with all known processes, in milliseconds; at hundreds of processes the list fills narrow links. */
const fullListIntervalMs = 5000;

type KnownPeer = {readonly info: PeerInfo; readonly learnedAtMs: number; failures: number};

/** Keeps the other processes, each in its latest run. */
export class PeerList {
	/** VMs of all gateways ever known, including this process if it is one. */
	readonly knownGateways = new Set<string>();
	private readonly peers = new Map<string, KnownPeer>();
	private readonly removed = new Map<string, {readonly startedAtMs: number; readonly untilMs: number}>();
	private fullListSentMs = Number.NEGATIVE_INFINITY;
	private groupDigest: string | undefined;
	private othersList: readonly PeerInfo[] | undefined;

	constructor(private readonly self: PeerInfo, private readonly log: Logger) {
		this.recordGateway(self);
	}

	/** The other processes; the same array until they change. */
	get others(): readonly PeerInfo[] {
		this.othersList ??= [...this.peers.values()].map(({info}) => info);
		return this.othersList;
	}

	/** Digest of the list of all processes. Two processes with the same one know the same others. */
	get digest(): string {
		if (this.groupDigest === undefined) {
			const members = [this.self, ...this.others].map(({vm, startedAtMs}) => `${vm}@${startedAtMs}`);
			this.groupDigest = digestOf(members.toSorted((a, b) => (a < b ? -1 : 1)).join(' ')).slice(0, 16);
		}

		return this.groupDigest;
	}

	/** Adds a process that has sent a message, or resets its failures; an older run of a known process is ignored. */
	recordAlive(info: PeerInfo): void {
		const known = this.peers.get(info.vm);
		if (info.vm === this.self.vm || (known && known.info.startedAtMs > info.startedAtMs)) {
			return;
		}

		const isChanged = known?.info.startedAtMs !== info.startedAtMs || known.info.address !== info.address;
		if (isChanged) {
			this.forgetDerived();
			this.log.info({
				event: 'peer_found', peer: info.vm, role: info.role, address: info.address,
			}, 'peer found');
		}

		this.peers.set(info.vm, {info, learnedAtMs: isChanged ? performance.now() : known.learnedAtMs, failures: 0});
		this.removed.delete(info.vm);
		this.recordGateway(info);
	}

	/** Adds a process that another one lists, unless it is known or was removed lately. */
	recordListed(info: PeerInfo): void {
		const removed = this.removed.get(info.vm);
		const isBlocked = removed && info.startedAtMs <= removed.startedAtMs && performance.now() < removed.untilMs;
		if (!this.peers.has(info.vm) && !isBlocked) {
			this.recordAlive(info);
		}
	}

	/** Counts a failed exchange with a process, and removes it after {@link maxFailures} in a row; returns whether it was removed. */
	recordFailure(vm: string, err: Error): boolean {
		const known = this.peers.get(vm);
		if (!known || ++known.failures < maxFailures) {
			return false;
		}

		this.peers.delete(vm);
		this.forgetDerived();
		this.removed.set(vm, {startedAtMs: known.info.startedAtMs, untilMs: performance.now() + readmissionDelayMs});
		this.log.warn({event: 'peer_lost', peer: vm, reason: err.message}, 'peer removed after failed exchanges');
		return true;
	}

	/**
	 * Returns the members for a message: from time to time all of them, otherwise those that were learned of lately.
	 *
	 * @param wantsAll - whether to return all of them in any case
	 */
	selectForMessage(wantsAll: boolean): PeerInfo[] {
		const nowMs = performance.now();
		if (wantsAll || nowMs - this.fullListSentMs >= fullListIntervalMs) {
			this.fullListSentMs = nowMs;
			return [...this.others];
		}

		return [...this.peers.values()].filter(({learnedAtMs}) => nowMs - learnedAtMs < rumorMs).map(({info}) => info);
	}

	private forgetDerived(): void {
		this.groupDigest = undefined;
		this.othersList = undefined;
	}

	private recordGateway({vm, role}: PeerInfo): void {
		if (role === 'gateway') {
			this.knownGateways.add(vm);
		}
	}
}
