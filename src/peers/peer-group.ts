/** Gossip-based membership: discovers the processes of the deployment from a few seed addresses, by exchanges with random peers. */
import type {Directory} from '../directory/directory.ts';
import type {DatagramPort} from '../links/datagram-port.ts';
import {parseAddress} from '../links/http-listener.ts';
import type {PeerClient} from '../links/peer-client.ts';
import {syncDatagramSchema, type SyncDatagram, syncedDatagramSchema} from '../messages/sync-datagram.ts';
import {
	type PeerInfo, peersExchangeMethod, type PeersExchange, peersExchangeSchema,
} from '../messages/peers-exchange.ts';
import type {Logger} from '../runtime/logger.ts';
import {setInputTimeout} from '../runtime/input-timeout.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import type {DirectoryPuller} from './directory-puller.ts';
import type {PeerList} from './peer-list.ts';
import {SyncRequests} from './sync-requests.ts';
import type {WatchCoverage} from './watch-duty.ts';

/** Mean interval between the exchanges that a process starts, in milliseconds: during discovery, and afterwards. */
const exchangeIntervalMs = {discovery: 250, steady: 1000};

/** Duration of the discovery phase after the start, in milliseconds. */
const discoveryMs = 3000;

/** Timeout of each request of an exchange, in milliseconds. */
const exchangeTimeoutMs = 900;

/** How long a process waits for the response to a datagram before it exchanges over a connection, in milliseconds. */
const datagramTimeoutMs = 300;

/** One in this many exchanges goes to another region while the source works; few do, since the links between regions have little bandwidth. */
const remoteRegionPeriod = 4;

/** One in this many exchanges goes to a seed, so that a partitioned group merges again. */
const seedPeriod = 5;

/** Dependencies of {@link PeerGroup}. */
export type PeerGroupOptions = {
	readonly self: PeerInfo;
	readonly list: PeerList;
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

/** Exchanges messages with the other processes, keeps their list up to date, and pulls newer parts of the directory from them. */
export class PeerGroup {
	private discoveryUntilMs = performance.now() + discoveryMs;
	private round = 0;
	private readonly requests: SyncRequests;
	/** The peer whose response to a datagram is awaited. */
	private awaited: {readonly vm: string; readonly number: number; readonly resolve: (theirs: PeersExchange) => void} | undefined;
	private timer: NodeJS.Timeout | undefined;
	private stopped = false;

	constructor(private readonly options: PeerGroupOptions) {
		this.requests = new SyncRequests(options.random);
	}

	/** Starts to exchange with peers periodically. */
	start(): void {
		const {datagrams, directory} = this.options;
		datagrams.on('sync', syncDatagramSchema, ([, theirs, number]) => {
			this.applyUnasked(theirs, directory.clock.sentAfterMs);
			this.pullFrom(theirs);
			this.sendDatagram(['synced', this.createMessage(undefined), number], theirs.self.address);
		});
		datagrams.on('synced', syncedDatagramSchema, ([, theirs, number]) => {
			this.applyMessage(theirs, this.requests.findSentMs(theirs.self.address, number) ?? directory.clock.sentAfterMs);
			if (this.awaited?.vm === theirs.self.vm && this.awaited.number === number) {
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
		// A request that its sender has given up may still be delivered, so it may be older than its timeout.
		this.applyUnasked(theirs, this.options.directory.clock.sentAfterMs - exchangeTimeoutMs);
		this.pullFrom(theirs);
		return this.createMessage(theirs.groupDigest);
	}

	/**
	 * Asks a process for its message by datagram, since it has told something without being asked: an answer counts from the time of the
	 * request, and so bounds when versions were named.
	 *
	 * @param address - the control address of the process
	 */
	ask(address: string): void {
		this.sendDatagram(['sync', this.createMessage(undefined), this.requests.add(address, this.options.directory.clock.nowMs)], address);
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
		const {random, list, isSourceFailing} = this.options;
		const isDiscovering = performance.now() < this.discoveryUntilMs || list.others.length === 0 || isSourceFailing();
		const address = this.choosePeer();
		if (address !== undefined) {
			await this.exchange(address);
		}

		this.schedule(random.jitter(isDiscovering ? exchangeIntervalMs.discovery : exchangeIntervalMs.steady));
	}

	private choosePeer(): string | undefined {
		const {random, self, list, seeds, isSourceFailing} = this.options;
		this.round++;
		const seedAddresses = seeds().filter(address => address !== self.address);
		if (seedAddresses.length > 0 && (list.others.length === 0 || this.round % seedPeriod === 0)) {
			return random.sample(seedAddresses, 1)[0];
		}

		const others = isSourceFailing() ? list.others.filter(({role}) => role === 'gateway') : list.others;
		const sameRegion = others.filter(({region}) => region === self.region);
		const otherRegions = others.filter(({region}) => region !== self.region);
		const pool = sameRegion.length === 0 || (otherRegions.length > 0 && (this.round % remoteRegionPeriod === 0 || isSourceFailing())) ? otherRegions : sameRegion;
		return random.sample(pool, 1)[0]?.address;
	}

	/** Exchanges by datagram, and over a connection if there are lists to send or no datagram is answered. */
	private async exchange(address: string): Promise<void> {
		const peer = this.options.list.others.find(other => other.address === address);
		const theirs = peer && performance.now() >= this.discoveryUntilMs ? await this.exchangeDatagrams(peer) : undefined;
		if (theirs?.groupDigest === this.options.list.digest) {
			this.pullFrom(theirs);
		} else {
			await this.exchangeOverConnection(address, peer);
		}
	}

	/** Returns the response, or undefined if none arrives in time: a datagram may be lost. */
	private async exchangeDatagrams({vm, address}: PeerInfo): Promise<PeersExchange | undefined> {
		return new Promise(resolve => {
			const timeout = setInputTimeout(() => {
				resolve(undefined);
			}, datagramTimeoutMs);
			const number = this.requests.add(address, this.options.directory.clock.nowMs);
			this.awaited = {
				vm, number, resolve(theirs) {
					timeout.clear();
					resolve(theirs);
				},
			};
			this.sendDatagram(['sync', this.createMessage(undefined), number], address);
		});
	}

	private sendDatagram(message: SyncDatagram, address: string): void {
		const {datagrams, port} = this.options;
		datagrams.send(message, {host: parseAddress(address).host, port});
	}

	private async exchangeOverConnection(address: string, peer: PeerInfo | undefined): Promise<void> {
		const {
			links, list, log, coverage, directory,
		} = this.options;
		try {
			const requestedAtMs = directory.clock.nowMs;
			const theirs = await links.rpc(address, {method: peersExchangeMethod, params: this.createMessage(undefined)}, peersExchangeSchema, {timeoutMs: exchangeTimeoutMs});
			this.applyMessage(theirs, requestedAtMs);
			if (theirs.group === undefined && theirs.groupDigest !== this.options.list.digest) {
				await links.rpc(address, {method: peersExchangeMethod, params: this.createMessage('')}, peersExchangeSchema, {timeoutMs: exchangeTimeoutMs});
			}

			this.pullFrom(theirs);
		} catch (err) {
			// The next exchange uses a new connection, since this one may no longer respond.
			links.replaceConnections(address);
			if (!peer) {
				log.debug({event: 'seed_silent', address, err}, 'exchange with a seed failed');
			} else if (list.recordFailure(peer.vm, err as Error)) {
				coverage.remove(peer.vm);
			}
		}
	}

	/** Applies a message that answers no request. */
	private applyUnasked(theirs: PeersExchange, createdAfterMs: number): void {
		const {directory} = this.options;
		const {versionChanges} = directory;
		this.applyMessage(theirs, createdAfterMs);
		if (directory.versionChanges !== versionChanges) {
			this.ask(theirs.self.address);
		}
	}

	private applyMessage({self, group, versions, watchers}: PeersExchange, createdAfterMs: number): void {
		const {list, directory} = this.options;
		list.recordAlive(self);
		for (const info of group ?? []) {
			list.recordListed(info);
		}

		if (versions.length > 0) {
			directory.mergeFromPeer({versions}, createdAfterMs);
		}

		if (self.zone === this.options.self.zone) {
			this.recordWatchers(watchers);
		}
	}

	/** Fetches what the other process has and this one lacks, whichever of them has started the exchange. */
	private pullFrom({self, directory}: PeersExchange): void {
		if (self.role === 'gateway') {
			void this.options.puller.pull(self.address, directory);
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
		const {self, list, directory, coverage, onMessage} = this.options;
		onMessage();
		const {digest} = list;
		return {
			self,
			groupDigest: digest,
			...(theirDigest === undefined || theirDigest === digest ? {} : {group: list.selectForMessage(performance.now() < this.discoveryUntilMs)}),
			directory: directory.state,
			versions: directory.shareableVersions,
			watchers: [...coverage.ages].map(([vm, ageMs]) => [vm, Math.round(ageMs)]),
		};
	}
}
