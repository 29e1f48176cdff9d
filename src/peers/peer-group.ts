/** Gossip-based membership: discovers the processes of the deployment from a few seed addresses, by exchanges with random peers. */
import type {Directory} from '../directory/directory.ts';
import {digestOf} from '../ids/digest.ts';
import type {DatagramPort} from '../links/datagram-port.ts';
import {parseAddress} from '../links/http-listener.ts';
import type {PeerClient} from '../links/peer-client.ts';
import {syncDatagramSchema, type SyncDatagram, syncedDatagramSchema} from '../messages/sync-datagram.ts';
import {
	type PeerInfo, peersExchangeMethod, type PeersExchange, peersExchangeSchema,
} from '../messages/peers-exchange.ts';
import type {Logger} from '../runtime/logger.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import type {DirectoryPuller} from './directory-puller.ts';
import type {WatchCoverage} from './watch-duty.ts';

/** Mean interval between the exchanges that a process starts, in milliseconds: during discovery, and afterwards. */
const exchangeIntervalMs = {discovery: 250, steady: 1000};

/** Duration of the discovery phase after the start, in milliseconds. */
const discoveryMs = 3000;

/** Timeout of each request of an exchange, in milliseconds. */
const exchangeTimeoutMs = 900;

/** How long a process waits for the response to a datagram before it exchanges over a connection, in milliseconds. */
const datagramTimeoutMs = 300;

/** Consecutive failed exchanges after which a peer is removed. */
const maxFailures = 3;

/** How long a removed peer is not added again because other peers still list it, in milliseconds. */
const readmissionDelayMs = 8000;

/** One in this many exchanges goes to another region while the source works; few do, since the links between regions have little bandwidth. */
const remoteRegionPeriod = 4;

/** One in this many exchanges goes to a seed, so that a partitioned group merges again. */
const seedPeriod = 5;

/** How long a process that was learned of is passed on with each exchange, in milliseconds. */
const rumorMs = 10_000;

/** Minimum interval between two messages with all known processes, in milliseconds; at hundreds of processes the list fills narrow links. */
const fullListIntervalMs = 5000;

type KnownPeer = {readonly info: PeerInfo; readonly learnedAtMs: number; failures: number};

/** Dependencies of {@link PeerGroup}. */
export type PeerGroupOptions = {
	readonly self: PeerInfo;
	readonly seeds: () => readonly string[];
	readonly links: PeerClient;
	readonly datagrams: DatagramPort;
	/** The number of the port on which all processes receive datagrams. */
	readonly port: number;
	readonly directory: Directory;
	readonly random: RandomSource;
	readonly log: Logger;
	readonly puller: DirectoryPuller;
	/** The working watchers of this process's zone. */
	readonly coverage: WatchCoverage;
	/** Whether this process's source of the directory is failing, so that it queries peers more often. */
	readonly isSourceFailing: () => boolean;
	/** Called before a message is created, to update the coverage by this process. */
	readonly onMessage: () => void;
};

/** Keeps the list of the other processes, and pulls newer parts of the directory from them. */
export class PeerGroup {
	/** VMs of all gateways ever known, including this process if it is one. */
	readonly knownGateways = new Set<string>();
	private readonly peers = new Map<string, KnownPeer>();
	private readonly removedPeers = new Map<string, {readonly startedAtMs: number; readonly untilMs: number}>();
	private discoveryUntilMs = performance.now() + discoveryMs;
	private fullListSentMs = Number.NEGATIVE_INFINITY;
	private groupDigest: string | undefined;
	private othersList: readonly PeerInfo[] | undefined;
	private round = 0;
	/** The peer whose response to a datagram is awaited. */
	private awaited: {readonly vm: string; readonly resolve: (theirs: PeersExchange) => void} | undefined;
	private timer: NodeJS.Timeout | undefined;
	private stopped = false;

	constructor(private readonly options: PeerGroupOptions) {
		this.recordGateway(options.self);
	}

	/** The other processes. */
	get others(): readonly PeerInfo[] {
		this.othersList ??= [...this.peers.values()].map(({info}) => info);
		return this.othersList;
	}

	/** Starts to exchange with peers periodically. */
	start(): void {
		const {datagrams} = this.options;
		datagrams.on('sync', syncDatagramSchema, ([, theirs]) => {
			this.applyMessage(theirs);
			this.sendDatagram(['synced', this.createMessage(undefined)], theirs.self.address);
		});
		datagrams.on('synced', syncedDatagramSchema, ([, theirs]) => {
			this.applyMessage(theirs);
			if (this.awaited?.vm === theirs.self.vm) {
				this.awaited.resolve(theirs);
			}
		});
		this.schedule(0);
	}

	/** Exchanges more often for a while, since this process was paused and may have missed changes. */
	hurry(): void {
		this.discoveryUntilMs = performance.now() + discoveryMs;
		this.schedule(0);
	}

	/** Stops exchanging. */
	stop(): void {
		this.stopped = true;
		clearTimeout(this.timer);
	}

	/** Handles an exchange that another process started, and returns the response. */
	handleExchange(theirs: PeersExchange): PeersExchange {
		this.applyMessage(theirs);
		return this.createMessage(theirs.groupDigest);
	}

	/** Adds a process, or resets its failures; an older run of a known process is ignored. */
	recordAlive(info: PeerInfo): void {
		const known = this.peers.get(info.vm);
		if (info.vm === this.options.self.vm || (known && known.info.startedAtMs > info.startedAtMs)) {
			return;
		}

		const isChanged = known?.info.startedAtMs !== info.startedAtMs || known.info.address !== info.address;
		if (isChanged) {
			this.forgetLists();
			this.options.log.info({
				event: 'peer_found', peer: info.vm, role: info.role, address: info.address,
			}, 'peer found');
		}

		this.peers.set(info.vm, {info, learnedAtMs: isChanged ? performance.now() : known.learnedAtMs, failures: 0});
		this.removedPeers.delete(info.vm);
		this.recordGateway(info);
	}

	private forgetLists(): void {
		this.groupDigest = undefined;
		this.othersList = undefined;
	}

	private recordGateway({vm, role}: PeerInfo): void {
		if (role === 'gateway') {
			this.knownGateways.add(vm);
		}
	}

	/** Replaces the next round, so that a round in progress when another one is scheduled does not leave two series of rounds. */
	private schedule(waitMs: number): void {
		clearTimeout(this.timer);
		if (!this.stopped) {
			this.timer = setTimeout(() => {
				void this.runRound();
			}, waitMs);
			this.timer.unref();
		}
	}

	private async runRound(): Promise<void> {
		const {random, isSourceFailing} = this.options;
		const isDiscovering = performance.now() < this.discoveryUntilMs || this.peers.size === 0 || isSourceFailing();
		const address = this.choosePeer();
		if (address !== undefined) {
			await this.exchange(address);
		}

		this.schedule(random.jitter(isDiscovering ? exchangeIntervalMs.discovery : exchangeIntervalMs.steady));
	}

	private choosePeer(): string | undefined {
		const {random, self, seeds, isSourceFailing} = this.options;
		this.round++;
		const seedAddresses = seeds().filter(address => address !== self.address);
		if (seedAddresses.length > 0 && (this.peers.size === 0 || this.round % seedPeriod === 0)) {
			return random.sample(seedAddresses, 1)[0];
		}

		const others = isSourceFailing() ? this.others.filter(({role}) => role === 'gateway') : this.others;
		const sameRegion = others.filter(({region}) => region === self.region);
		const otherRegions = others.filter(({region}) => region !== self.region);
		const pool = sameRegion.length === 0 || (otherRegions.length > 0 && (this.round % remoteRegionPeriod === 0 || isSourceFailing())) ? otherRegions : sameRegion;
		return random.sample(pool, 1)[0]?.address;
	}

	/** Exchanges by datagram, and over a connection if there are lists to send or no datagram is answered. */
	private async exchange(address: string): Promise<void> {
		const peer = this.others.find(other => other.address === address);
		const theirs = peer && performance.now() >= this.discoveryUntilMs ? await this.exchangeDatagrams(peer) : undefined;
		if (theirs?.groupDigest !== this.computeGroupDigest()) {
			await this.exchangeOverConnection(address, peer);
		} else if (theirs.self.role === 'gateway') {
			await this.options.puller.pull(address, theirs.directory);
		}
	}

	/** Returns the response, or undefined if none arrives in time: a datagram may be lost. */
	private async exchangeDatagrams({vm, address}: PeerInfo): Promise<PeersExchange | undefined> {
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				resolve(undefined);
			}, datagramTimeoutMs);
			this.awaited = {
				vm, resolve(theirs) {
					clearTimeout(timer);
					resolve(theirs);
				},
			};
			this.sendDatagram(['sync', this.createMessage(undefined)], address);
		});
	}

	private sendDatagram(message: SyncDatagram, address: string): void {
		const {datagrams, port} = this.options;
		datagrams.send(message, {host: parseAddress(address).host, port});
	}

	private async exchangeOverConnection(address: string, peer: PeerInfo | undefined): Promise<void> {
		const {links, log, puller} = this.options;
		try {
			const theirs = await links.rpc(address, {method: peersExchangeMethod, params: this.createMessage(undefined)}, peersExchangeSchema, {timeoutMs: exchangeTimeoutMs});
			this.applyMessage(theirs);
			if (theirs.group === undefined && theirs.groupDigest !== this.computeGroupDigest()) {
				await links.rpc(address, {method: peersExchangeMethod, params: this.createMessage('')}, peersExchangeSchema, {timeoutMs: exchangeTimeoutMs});
			}

			if (theirs.self.role === 'gateway') {
				await puller.pull(address, theirs.directory);
			}
		} catch (err) {
			// The next exchange uses a new connection, since this one may no longer respond.
			links.replaceConnections(address);
			if (peer) {
				this.recordFailure(peer.vm, err as Error);
			} else {
				log.debug({event: 'seed_silent', address, err}, 'exchange with a seed failed');
			}
		}
	}

	private recordFailure(vm: string, err: Error): void {
		const known = this.peers.get(vm);
		if (known && ++known.failures >= maxFailures) {
			this.peers.delete(vm);
			this.forgetLists();
			this.options.coverage.remove(vm);
			this.removedPeers.set(vm, {startedAtMs: known.info.startedAtMs, untilMs: performance.now() + readmissionDelayMs});
			this.options.log.warn({event: 'peer_lost', peer: vm, reason: err.message}, 'peer removed after failed exchanges');
		}
	}

	private applyMessage({self, group, versions, watchers}: PeersExchange): void {
		this.recordAlive(self);
		for (const info of group ?? []) {
			const removed = this.removedPeers.get(info.vm);
			const isBlocked = removed && info.startedAtMs <= removed.startedAtMs && performance.now() < removed.untilMs;
			if (!this.peers.has(info.vm) && !isBlocked) {
				this.recordAlive(info);
			}
		}

		if (versions.length > 0) {
			this.options.directory.mergeFromPeer({versions});
		}

		if (self.zone === this.options.self.zone) {
			this.recordWatchers(watchers);
		}
	}

	private recordWatchers(watchers: PeersExchange['watchers']): void {
		for (const [vm, ageMs] of watchers) {
			if (vm !== this.options.self.vm) {
				this.options.coverage.record(vm, ageMs);
			}
		}
	}

	private createMessage(theirDigest: string | undefined): PeersExchange {
		const {self, directory, coverage, onMessage} = this.options;
		onMessage();
		const digest = this.computeGroupDigest();
		const {configurationVersion, lastInstanceChange, shareableVersions} = directory;
		return {
			self,
			groupDigest: digest,
			...(theirDigest === undefined || theirDigest === digest ? {} : {group: this.selectMembers()}),
			directory: {configurationVersion, lastInstanceChange},
			versions: shareableVersions,
			watchers: [...coverage.ages].map(([vm, ageMs]) => [vm, Math.round(ageMs)]),
		};
	}

	/** Returns the members for a message: from time to time all of them, otherwise those that were learned of lately. */
	private selectMembers(): PeerInfo[] {
		const nowMs = performance.now();
		if (nowMs < this.discoveryUntilMs || nowMs - this.fullListSentMs >= fullListIntervalMs) {
			this.fullListSentMs = nowMs;
			return [...this.others];
		}

		return [...this.peers.values()].filter(({learnedAtMs}) => nowMs - learnedAtMs < rumorMs).map(({info}) => info);
	}

	private computeGroupDigest(): string {
		if (this.groupDigest === undefined) {
			const members = [this.options.self, ...this.others].map(({vm, startedAtMs}) => `${vm}@${startedAtMs}`);
			this.groupDigest = digestOf(members.toSorted((a, b) => (a < b ? -1 : 1)).join(' ')).slice(0, 16);
		}

		return this.groupDigest;
	}
}
