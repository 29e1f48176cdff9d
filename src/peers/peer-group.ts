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
const exchangeIntervalMs = {searching: 250, settled: 1000};

/** How long after the start a process looks for the group, in milliseconds. */
const searchMs = 3000;

/** How long an exchange may take, in milliseconds. */
const exchangeTimeoutMs = 900;

/** Failed exchanges in a row after which a process leaves the group. */
const maxFailures = 3;

/** How long a process that left is not taken back on others' word, in milliseconds. */
const forgottenMs = 8000;

/** Of this many exchanges one goes to another region, whose link is narrow. */
const remoteEvery = 4;

/** Of this many exchanges one goes to a seed, so that parts of a group that lost each other meet again. */
const seedEvery = 5;

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
	readonly takes: 'directory' | 'services';
	/** Whether the own source of the directory fails now, so that peers are asked more often. */
	readonly isSourceFailing: () => boolean;
};

/** Knows the other processes. */
export class PeerGroup {
	/** Entries that were ever known, the own process included where it is one. */
	readonly entriesSeen = new Set<string>();
	private readonly peers = new Map<string, KnownPeer>();
	private readonly forgotten = new Map<string, {readonly startedAtMs: number; readonly untilMs: number}>();
	private readonly startedMs = performance.now();
	private round = 0;
	private timer: NodeJS.Timeout | undefined;
	private stopped = false;
	private isPulling = false;

	/** @param options - what the group works with */
	constructor(private readonly options: PeerGroupOptions) {
		this.noteEntry(options.self);
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
	answer(theirs: PeersExchange): PeersExchange {
		this.take(theirs);
		return this.message(theirs.groupDigest);
	}

	/**
	 * Notes a sign of life.
	 *
	 * @param info - the process
	 */
	noteAlive(info: PeerInfo): void {
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
		this.forgotten.delete(info.vm);
		this.noteEntry(info);
	}

	private noteEntry({vm, role}: PeerInfo): void {
		if (role === 'gateway') {
			this.entriesSeen.add(vm);
		}
	}

	private schedule(waitMs: number): void {
		if (!this.stopped) {
			this.timer = setTimeout(() => {
				void this.step();
			}, waitMs);
			this.timer.unref();
		}
	}

	private async step(): Promise<void> {
		const {random, isSourceFailing} = this.options;
		const isSearching = performance.now() - this.startedMs < searchMs || this.peers.size === 0 || isSourceFailing();
		const address = this.choosePeer();
		if (address !== undefined) {
			await this.exchange(address);
		}

		this.schedule(random.jitter(isSearching ? exchangeIntervalMs.searching : exchangeIntervalMs.settled));
	}

	private choosePeer(): string | undefined {
		const {random, self, seeds, isSourceFailing} = this.options;
		this.round++;
		const seedAddresses = seeds().filter(address => address !== self.address);
		if (seedAddresses.length > 0 && (this.peers.size === 0 || this.round % seedEvery === 0)) {
			return random.sample(seedAddresses, 1)[0];
		}

		const others = isSourceFailing() ? this.others.filter(({role}) => role === 'gateway') : this.others;
		const near = others.filter(({region}) => region === self.region);
		const far = others.filter(({region}) => region !== self.region);
		const pool = near.length === 0 || (far.length > 0 && (this.round % remoteEvery === 0 || isSourceFailing())) ? far : near;
		return random.sample(pool, 1)[0]?.address;
	}

	private async exchange(address: string): Promise<void> {
		const {links, log} = this.options;
		const peer = this.others.find(other => other.address === address);
		try {
			const theirs = await links.rpc(address, {method: peersExchangeMethod, params: this.message(undefined)}, peersExchangeSchema, {timeoutMs: exchangeTimeoutMs});
			this.take(theirs);
			if (theirs.group === undefined && theirs.groupDigest !== this.digest()) {
				await links.rpc(address, {method: peersExchangeMethod, params: this.message('')}, peersExchangeSchema, {timeoutMs: exchangeTimeoutMs});
			}

			await this.pull(address, theirs);
		} catch (err) {
			// The next exchange takes a connection of its own, since this one may have gone silent.
			links.replaceConnections(address);
			if (peer) {
				this.noteFailure(peer.vm, err as Error);
			} else {
				log.debug({event: 'seed_silent', address, err}, 'a seed does not answer');
			}
		}
	}

	private noteFailure(vm: string, err: Error): void {
		const known = this.peers.get(vm);
		if (known && ++known.failures >= maxFailures) {
			this.peers.delete(vm);
			this.forgotten.set(vm, {startedAtMs: known.info.startedAtMs, untilMs: performance.now() + forgottenMs});
			this.options.log.warn({event: 'peer_lost', peer: vm, reason: err.message}, 'peer lost');
		}
	}

	/** Takes newer parts of the directory over from a peer that has them. */
	private async pull(address: string, {self, directory: theirs}: PeersExchange): Promise<void> {
		const {directory, links} = this.options;
		const {configurationVersion, instancesRevision} = directory;
		const servicesOnly = this.options.takes === 'services';
		const isNewer = theirs.configurationVersion > configurationVersion || (!servicesOnly && theirs.instancesRevision > instancesRevision);
		if (self.role !== 'gateway' || !isNewer || this.isPulling) {
			return;
		}

		this.isPulling = true;
		try {
			const params = {configurationVersion, instancesRevision, servicesOnly};
			const snapshot = await links.rpc(address, {method: directoryGetMethod, params}, directorySnapshotSchema, {timeoutMs: exchangeTimeoutMs});
			directory.adopt(snapshot as DirectorySnapshot);
		} finally {
			this.isPulling = false;
		}
	}

	private take({self, group, versions}: PeersExchange): void {
		this.noteAlive(self);
		for (const info of group ?? []) {
			const forgotten = this.forgotten.get(info.vm);
			const isRefused = forgotten && info.startedAtMs <= forgotten.startedAtMs && performance.now() < forgotten.untilMs;
			if (!this.peers.has(info.vm) && !isRefused) {
				this.noteAlive(info);
			}
		}

		if (versions.length > 0) {
			this.options.directory.adopt({versions, instancesRevision: 0});
		}
	}

	private message(theirDigest: string | undefined): PeersExchange {
		const {self, directory} = this.options;
		const digest = this.digest();
		const {configurationVersion, instancesRevision} = directory;
		return {
			self,
			groupDigest: digest,
			...(theirDigest === undefined || theirDigest === digest ? {} : {group: [...this.others]}),
			directory: {configurationVersion, instancesRevision},
			versions: [...directory.snapshot(Number.POSITIVE_INFINITY, Number.POSITIVE_INFINITY).versions],
		};
	}

	private digest(): string {
		const members = [this.options.self, ...this.others].map(({vm, startedAtMs}) => `${vm}@${startedAtMs}`);
		return digestOf(members.toSorted((a, b) => (a < b ? -1 : 1)).join(' ')).slice(0, 16);
	}
}
