/** Finds the processes of the deployment from a few seed addresses and keeps the group by exchanges between random pairs. */
import type {Directory, DirectorySnapshot} from '../directory/directory.ts';
import {digestOf} from '../ids/digest.ts';
import type {PeerClient} from '../links/peer-client.ts';
import {
	directoryGetMethod, type PeerInfo, peersExchangeMethod, type PeersExchange, peersExchangeSchema,
} from '../messages/peers-exchange.ts';
import type {Logger} from '../runtime/logger.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import {directorySnapshotSchema} from './directory-snapshot-schema.ts';

/** Mean time between two exchanges that a process starts, in milliseconds: while it looks for the group, and then. */
const exchangeIntervalMs = {discovery: 250, steady: 1000};

/** How long after the start a process looks for the group, in milliseconds. */
const discoveryMs = 3000;

/** How long an exchange may take, in milliseconds. */
const exchangeTimeoutMs = 900;

/** Failed exchanges in a row after which a process leaves the group. */
const maxFailures = 3;

/** How long a process that left is not taken back on others' word, in milliseconds. */
const readmissionDelayMs = 8000;

/** Of this many exchanges one goes to another region, whose link is narrow. */
const remoteRegionPeriod = 4;

/** Of this many exchanges one goes to a seed, so that parts of a group that lost each other meet again. */
const seedPeriod = 5;

type KnownPeer = {readonly info: PeerInfo; failures: number};

/** What the group works with. */
export type PeerGroupOptions = {
	readonly self: PeerInfo;
	readonly seeds: () => readonly string[];
	readonly links: PeerClient;
	readonly directory: Directory;
	readonly random: RandomSource;
	readonly log: Logger;
	/** What this process takes from entries: the whole directory, or the services only. */
	readonly pulledParts: 'directory' | 'services';
	/** Whether the own source of the directory fails now, so that peers are asked more often. */
	readonly isSourceFailing: () => boolean;
};

/** Knows the other processes. */
export class PeerGroup {
	/** Entries that were ever known, the own process included where it is one. */
	readonly knownGateways = new Set<string>();
	private readonly peers = new Map<string, KnownPeer>();
	private readonly removedPeers = new Map<string, {readonly startedAtMs: number; readonly untilMs: number}>();
	private readonly startedMs = performance.now();
	private round = 0;
	private timer: NodeJS.Timeout | undefined;
	private stopped = false;
	private isPulling = false;

	/** @param options - what the group works with */
	constructor(private readonly options: PeerGroupOptions) {
		this.recordGateway(options.self);
	}

	/** The other processes. */
	get others(): readonly PeerInfo[] {
		return [...this.peers.values()].map(({info}) => info);
	}

	/** Starts exchanges. */
	start(): void {
		this.schedule(0);
	}

	/** Stops exchanges. */
	stop(): void {
		this.stopped = true;
		clearTimeout(this.timer);
	}

	/**
	 * Answers another process.
	 *
	 * @param theirs - what it told
	 */
	handleExchange(theirs: PeersExchange): PeersExchange {
		this.applyMessage(theirs);
		return this.createMessage(theirs.groupDigest);
	}

	/**
	 * Notes a sign of life.
	 *
	 * @param info - the process
	 */
	recordAlive(info: PeerInfo): void {
		const known = this.peers.get(info.vm);
		if (info.vm === this.options.self.vm || (known && known.info.startedAtMs > info.startedAtMs)) {
			return;
		}

		if (known?.info.startedAtMs !== info.startedAtMs || known.info.address !== info.address) {
			this.options.log.info({
				event: 'peer_found', peer: info.vm, role: info.role, address: info.address,
			}, 'peer found');
		}

		this.peers.set(info.vm, {info, failures: 0});
		this.removedPeers.delete(info.vm);
		this.recordGateway(info);
	}

	private recordGateway({vm, role}: PeerInfo): void {
		if (role === 'gateway') {
			this.knownGateways.add(vm);
		}
	}

	private schedule(waitMs: number): void {
		if (!this.stopped) {
			this.timer = setTimeout(() => {
				void this.runRound();
			}, waitMs);
			this.timer.unref();
		}
	}

	private async runRound(): Promise<void> {
		const {random, isSourceFailing} = this.options;
		const isDiscovering = performance.now() - this.startedMs < discoveryMs || this.peers.size === 0 || isSourceFailing();
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

	private async exchange(address: string): Promise<void> {
		const {links, log} = this.options;
		const peer = this.others.find(other => other.address === address);
		try {
			const theirs = await links.rpc(address, {method: peersExchangeMethod, params: this.createMessage(undefined)}, peersExchangeSchema, {timeoutMs: exchangeTimeoutMs});
			this.applyMessage(theirs);
			if (theirs.group === undefined && theirs.groupDigest !== this.computeGroupDigest()) {
				await links.rpc(address, {method: peersExchangeMethod, params: this.createMessage('')}, peersExchangeSchema, {timeoutMs: exchangeTimeoutMs});
			}

			await this.pull(address, theirs);
		} catch (err) {
			// The next exchange takes a connection of its own, since this one may have gone silent.
			links.renew(address);
			if (peer) {
				this.recordFailure(peer.vm, err as Error);
			} else {
				log.debug({event: 'seed_silent', address, err}, 'a seed does not answer');
			}
		}
	}

	private recordFailure(vm: string, err: Error): void {
		const known = this.peers.get(vm);
		if (known && ++known.failures >= maxFailures) {
			this.peers.delete(vm);
			this.removedPeers.set(vm, {startedAtMs: known.info.startedAtMs, untilMs: performance.now() + readmissionDelayMs});
			this.options.log.warn({event: 'peer_lost', peer: vm, reason: err.message}, 'peer lost');
		}
	}

	/** Takes newer parts of the directory over from a peer that has them. */
	private async pull(address: string, {self, directory: theirs}: PeersExchange): Promise<void> {
		const {directory, links} = this.options;
		const {configurationVersion, instancesRevision} = directory;
		const servicesOnly = this.options.pulledParts === 'services';
		const isNewer = theirs.configurationVersion > configurationVersion || (!servicesOnly && theirs.instancesRevision > instancesRevision);
		if (self.role !== 'gateway' || !isNewer || this.isPulling) {
			return;
		}

		this.isPulling = true;
		try {
			const params = {configurationVersion, instancesRevision, servicesOnly};
			const snapshot = await links.rpc(address, {method: directoryGetMethod, params}, directorySnapshotSchema, {timeoutMs: exchangeTimeoutMs});
			directory.mergeFromPeer(snapshot as DirectorySnapshot);
		} finally {
			this.isPulling = false;
		}
	}

	private applyMessage({self, group, versions}: PeersExchange): void {
		this.recordAlive(self);
		for (const info of group ?? []) {
			const removed = this.removedPeers.get(info.vm);
			const isBlocked = removed && info.startedAtMs <= removed.startedAtMs && performance.now() < removed.untilMs;
			if (!this.peers.has(info.vm) && !isBlocked) {
				this.recordAlive(info);
			}
		}

		if (versions.length > 0) {
			this.options.directory.mergeFromPeer({versions, instancesRevision: 0});
		}
	}

	private createMessage(theirDigest: string | undefined): PeersExchange {
		const {self, directory} = this.options;
		const digest = this.computeGroupDigest();
		const {configurationVersion, instancesRevision} = directory;
		return {
			self,
			groupDigest: digest,
			...(theirDigest === undefined || theirDigest === digest ? {} : {group: [...this.others]}),
			directory: {configurationVersion, instancesRevision},
			versions: [...directory.snapshot(Number.POSITIVE_INFINITY, Number.POSITIVE_INFINITY).versions],
		};
	}

	private computeGroupDigest(): string {
		const members = [this.options.self, ...this.others].map(({vm, startedAtMs}) => `${vm}@${startedAtMs}`);
		return digestOf(members.toSorted((a, b) => (a < b ? -1 : 1)).join(' ')).slice(0, 16);
	}
}
