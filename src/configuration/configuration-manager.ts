/** Keeps the configuration of a process current: service watch, gossip with peers, and direct reads as a last resort. */
import type {Stream} from 'most';
import type {PeerClient} from '../links/peer-client.ts';
import type {RpcDispatcher} from '../links/rpc-dispatcher.ts';
import {noRevision} from '../ids/revision.ts';
import type {ConfigOffer} from '../messages/config-sync.ts';
import type {Logger} from '../runtime/logger.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import {chooseExchangePeer, chooseStartupPeers} from './choose-peers.ts';
import {ConfigurationReplica} from './configuration-replica.ts';
import type {ConfigurationStore} from './configuration-store.ts';
import {decideDirectRead, directReadDelayMs, neverAgeMs} from './decide-direct-read.ts';
import {PeerExchange} from './peer-exchange.ts';
import {ServiceWatcher} from './service-watcher.ts';
import {
	type Peer, rankWatchers, type WatchAssignment, assignWatch,
} from './watcher-rank.ts';

/** Mean time between two exchanges of one process, in milliseconds. */
export const exchangeIntervalMs = 3000;

/** Mean time between two exchanges before the first tree is applied, in milliseconds. */
export const startupExchangeIntervalMs = 300;

/** Mean interval at which the watch assignment and the contact ages are checked, in milliseconds. */
export const maintenanceIntervalMs = 500;

/** Dependencies of {@link ConfigurationManager}. */
export type ConfigurationManagerOptions = {
	readonly store: ConfigurationStore;
	readonly links: PeerClient;
	readonly rpc: RpcDispatcher;
	readonly random: RandomSource;
	readonly log: Logger;
	/** The configuration service's address. */
	readonly serviceUrl: string;
	/** This process and the address of its control listener. */
	readonly self: Peer;
	/** All other processes that the platform lists. */
	readonly peers: () => readonly Peer[];
	/** The VM list, whose version is sent along with every configuration offer. */
	readonly list?: {
		readonly version: () => ConfigOffer['list'];
		readonly handleOffer: (offer: ConfigOffer) => void;
	};
};

/**
 * Runs the configuration synchronization of one process.
 *
 * The watchers of a zone long-poll the configuration service. All processes exchange versions with random peers and fetch newer
 * revisions. A process whose last contact or last confirmation from the service is too old reads the service itself.
 */
export class ConfigurationManager {
	private readonly replica: ConfigurationReplica;
	private readonly serviceWatcher: ServiceWatcher;
	private readonly exchange: PeerExchange;
	private readonly timers = new Set<NodeJS.Timeout>();
	/** The ranking of the last peer list, cached until the list changes. */
	private ranking: {peers: readonly Peer[]; vms: readonly string[]} | undefined;
	private exchangeCount = 0;
	private lastContactAtMs = performance.now();
	/** When the service last confirmed a revision, to this process or to any peer that it exchanged with. */
	private serviceConfirmedAtMs = -neverAgeMs;
	private lastDirectReadAtMs = -neverAgeMs;
	private directReadFailures = 0;
	private stopped = false;

	constructor(private readonly options: ConfigurationManagerOptions) {
		const {store, links, rpc, random, log, serviceUrl, self, peers} = options;
		this.replica = new ConfigurationReplica(store);
		this.serviceWatcher = new ServiceWatcher({
			replica: this.replica, links, random, log, serviceUrl, onResponse: () => {
				this.lastContactAtMs = performance.now();
				this.serviceConfirmedAtMs = this.lastContactAtMs;
			},
		});
		this.exchange = new PeerExchange({
			replica: this.replica, links, rpc, random, log, zone: self.zone, peers, currentOffer: () => this.currentOffer(), onOffer: offer => {
				this.recordContact(offer);
			},
		});
	}

	/** Whether this process watches the configuration service. */
	get isWatcher(): boolean {
		return this.watchAssignment().role === 'watcher';
	}

	/** The configuration part of the state dump. */
	get state(): Record<string, unknown> {
		const nowMs = performance.now();
		return {
			duty: this.watchAssignment().role,
			floor: this.replica.startupMinRevision,
			exchanges: this.exchangeCount,
			contactAgeMs: Math.round(nowMs - this.lastContactAtMs),
			serviceAgeMs: Math.round(Math.min(neverAgeMs, nowMs - this.serviceConfirmedAtMs)),
		};
	}

	/** Fetches the tree from peers, or from the service when no peer answers, then keeps it current until {@link stop}. */
	async start(): Promise<void> {
		const {store, log} = this.options;
		void this.subscribe(store.changes(), ({revision}) => {
			log.info({event: 'configuration_in_force', revision, digest: store.digest}, 'configuration applied');
			void this.offer();
		});
		void this.subscribe(store.newFindings(), finding => {
			log.warn({event: 'configuration_finding', ...finding}, 'problem in the configuration');
		});
		const startupPeers = chooseStartupPeers(this.exchange.candidates, this.options.random);
		const answers = await Promise.all(startupPeers.map(async peer => this.exchange.exchange(peer)));
		if (answers.every(answer => answer === undefined)) {
			await this.serviceWatcher.readOnce();
		}

		this.scheduleRepeating(() => maintenanceIntervalMs, () => {
			this.runMaintenance();
		});
		this.scheduleRepeating(() => store.revision === noRevision ? startupExchangeIntervalMs : exchangeIntervalMs, () => {
			void this.exchangeOnce();
		});
	}

	/**
	 * Offers the current configuration version to random peers.
	 *
	 * @param additionalPeers - processes that receive the offer as well
	 */
	async offer(additionalPeers: readonly Peer[] = []): Promise<void> {
		await this.exchange.offer(this.isWatcher, additionalPeers);
	}

	/** Exchanges versions with a peer at once; called after the process was paused. */
	async refresh(): Promise<void> {
		await this.exchangeOnce();
	}

	/** Stops the watch and the exchanges. */
	stop(): void {
		this.stopped = true;
		this.serviceWatcher.stop();
		for (const timer of this.timers) {
			clearTimeout(timer);
		}
	}

	private async subscribe<Event>(events: Stream<Event>, listener: (event: Event) => void): Promise<void> {
		try {
			await events.observe(listener);
		} catch (err) {
			this.options.log.error({event: 'configuration_listener_failed', err}, 'listener of configuration changes failed');
		}
	}

	private currentOffer(): ConfigOffer {
		const {store, self, list} = this.options;
		const serviceAgeMs = Math.min(neverAgeMs, performance.now() - this.serviceConfirmedAtMs);
		return {
			...store.version, vm: self.vm, address: self.address, serviceAgeMs, list: list?.version(),
		};
	}

	private recordContact(offer: ConfigOffer): void {
		this.lastContactAtMs = performance.now();
		this.serviceConfirmedAtMs = Math.max(this.serviceConfirmedAtMs, this.lastContactAtMs - offer.serviceAgeMs);
		this.options.list?.handleOffer(offer);
	}

	private watchAssignment(): WatchAssignment {
		const {self} = this.options;
		const peers = this.options.peers();
		if (this.ranking?.peers !== peers) {
			this.ranking = {peers, vms: rankWatchers(self, peers)};
		}

		return assignWatch(self.vm, this.ranking.vms, vm => this.exchange.isUnreachable(vm));
	}

	private runMaintenance(): void {
		if (this.isWatcher) {
			this.serviceWatcher.watchWhile(() => this.isWatcher);
		}

		const nowMs = performance.now();
		const contacts = {
			contactAgeMs: nowMs - this.lastContactAtMs,
			serviceAgeMs: nowMs - this.serviceConfirmedAtMs,
			directReadAgeMs: nowMs - this.lastDirectReadAtMs,
			failures: this.directReadFailures,
		};
		if (!this.isWatcher && decideDirectRead(contacts)) {
			this.lastDirectReadAtMs = nowMs;
			this.schedule(directReadDelayMs(contacts, this.options.random), () => {
				void this.readDirectly();
			});
		}
	}

	private async readDirectly(): Promise<void> {
		this.lastDirectReadAtMs = performance.now();
		this.directReadFailures = await this.serviceWatcher.readOnce() ? 0 : this.directReadFailures + 1;
	}

	private async exchangeOnce(): Promise<void> {
		const {random} = this.options;
		const {candidates} = this.exchange;
		const {role, watchers} = this.watchAssignment();
		// A standby spends every second exchange on a watcher, so that it detects a dead watcher and takes over quickly.
		const watcherPeers = role === 'standby' && this.exchangeCount % 2 === 0 ? candidates.peers.filter(peer => watchers.includes(peer.vm)) : [];
		const peer = random.sample(watcherPeers, 1)[0] ?? chooseExchangePeer(candidates, this.exchangeCount, random);
		this.exchangeCount++;
		if (peer) {
			await this.exchange.exchange(peer);
		}
	}

	private scheduleRepeating(meanMs: () => number, action: () => void): void {
		this.schedule(this.options.random.jitter(meanMs()), () => {
			action();
			this.scheduleRepeating(meanMs, action);
		});
	}

	private schedule(delayMs: number, action: () => void): void {
		if (this.stopped) {
			return;
		}

		const timer = setTimeout(() => {
			this.timers.delete(timer);
			action();
		}, delayMs);
		timer.unref();
		this.timers.add(timer);
	}
}
