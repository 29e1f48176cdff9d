/** Keeps the configuration in force up to date: watch, exchange with peers, and direct reads as the last resort. */
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

/** Mean time between two exchanges while no tree is in force, in milliseconds. */
export const startupExchangeIntervalMs = 300;

/** How often duties and contacts are looked at, in milliseconds. */
export const maintenanceIntervalMs = 500;

/** What the manager works with. */
export type ConfigurationManagerOptions = {
	readonly store: ConfigurationStore;
	readonly links: PeerClient;
	readonly rpc: RpcDispatcher;
	readonly random: RandomSource;
	readonly log: Logger;
	/** The configuration service's address. */
	readonly serviceUrl: string;
	/** This process with its control listener. */
	readonly self: Peer;
	/** All other processes that the platform lists. */
	readonly peers: () => readonly Peer[];
	/** The VM list, which travels beside the configuration. */
	readonly list?: {
		readonly version: () => ConfigOffer['list'];
		readonly hear: (offer: ConfigOffer) => void;
	};
};

/** Keeps the configuration up to date. */
export class ConfigurationManager {
	private readonly replica: ConfigurationReplica;
	private readonly service: ServiceWatcher;
	private readonly exchange: PeerExchange;
	private readonly timers = new Set<NodeJS.Timeout>();
	private ranking: {peers: readonly Peer[]; vms: readonly string[]} | undefined;
	private exchanges = 0;
	private contactAtMs = performance.now();
	private serviceWordAtMs = -neverAgeMs;
	private directReadAtMs = -neverAgeMs;
	private directReadFailures = 0;
	private stopped = false;

	/** @param options - what the manager works with */
	constructor(private readonly options: ConfigurationManagerOptions) {
		const {store, links, rpc, random, log, serviceUrl, self: own, peers} = options;
		this.replica = new ConfigurationReplica(store);
		this.service = new ServiceWatcher({
			replica: this.replica, links, random, log, serviceUrl, onResponse: () => {
				this.contactAtMs = performance.now();
				this.serviceWordAtMs = this.contactAtMs;
			},
		});
		this.exchange = new PeerExchange({
			replica: this.replica, links, rpc, random, log, zone: own.zone, peers, currentOffer: () => this.ownOffer(), onOffer: offer => {
				this.noteHeard(offer);
			},
		});
	}

	/** Whether this process watches the configuration service. */
	get isWatcher(): boolean {
		return this.duty().role === 'watcher';
	}

	/** What the state dump shows. */
	get state(): Record<string, unknown> {
		const nowMs = performance.now();
		return {
			duty: this.duty().role,
			floor: this.replica.startupMinRevision,
			exchanges: this.exchanges,
			contactAgeMs: Math.round(nowMs - this.contactAtMs),
			serviceAgeMs: Math.round(Math.min(neverAgeMs, nowMs - this.serviceWordAtMs)),
		};
	}

	/** Takes the tree from peers, or from the service when no peer answers, and goes on until stopped. */
	async start(): Promise<void> {
		const {store, log} = this.options;
		void this.follow(store.changes(), ({revision}) => {
			log.info({event: 'configuration_in_force', revision, digest: store.digest}, 'configuration in force');
			void this.offer();
		});
		void this.follow(store.newFindings(), finding => {
			log.warn({event: 'configuration_finding', ...finding}, 'configuration finding');
		});
		const asked = chooseStartupPeers(this.exchange.candidates, this.options.random);
		const answers = await Promise.all(asked.map(async peer => this.exchange.exchange(peer)));
		if (answers.every(answer => answer === undefined)) {
			await this.service.readOnce();
		}

		this.repeat(() => maintenanceIntervalMs, () => {
			this.keepDuties();
		});
		this.repeat(() => store.revision === noRevision ? startupExchangeIntervalMs : exchangeIntervalMs, () => {
			void this.exchangeOnce();
		});
	}

	/**
	 * Offers what this process holds to random peers.
	 *
	 * @param others - processes that are told as well
	 */
	async offer(others: readonly Peer[] = []): Promise<void> {
		await this.exchange.offer(this.isWatcher, others);
	}

	/** Exchanges with peers and reads the service at once, since the process may have been paused. */
	async refresh(): Promise<void> {
		await this.exchangeOnce();
	}

	/** Ends watch and exchange. */
	stop(): void {
		this.stopped = true;
		this.service.stop();
		for (const timer of this.timers) {
			clearTimeout(timer);
		}
	}

	private async follow<Event>(events: Stream<Event>, listener: (event: Event) => void): Promise<void> {
		try {
			await events.observe(listener);
		} catch (err) {
			this.options.log.error({event: 'configuration_listener_failed', err}, 'listener of configuration changes failed');
		}
	}

	private ownOffer(): ConfigOffer {
		const {store, self: own, list} = this.options;
		const serviceAgeMs = Math.min(neverAgeMs, performance.now() - this.serviceWordAtMs);
		return {
			...store.version, vm: own.vm, address: own.address, serviceAgeMs, list: list?.version(),
		};
	}

	private noteHeard(offer: ConfigOffer): void {
		this.contactAtMs = performance.now();
		this.serviceWordAtMs = Math.max(this.serviceWordAtMs, this.contactAtMs - offer.serviceAgeMs);
		this.options.list?.hear(offer);
	}

	private duty(): WatchAssignment {
		const {self: own} = this.options;
		const peers = this.options.peers();
		if (this.ranking?.peers !== peers) {
			this.ranking = {peers, vms: rankWatchers(own, peers)};
		}

		return assignWatch(own.vm, this.ranking.vms, vm => this.exchange.isUnreachable(vm));
	}

	private keepDuties(): void {
		if (this.isWatcher) {
			this.service.watchWhile(() => this.isWatcher);
		}

		const nowMs = performance.now();
		const contacts = {
			contactAgeMs: nowMs - this.contactAtMs,
			serviceAgeMs: nowMs - this.serviceWordAtMs,
			directReadAgeMs: nowMs - this.directReadAtMs,
			failures: this.directReadFailures,
		};
		if (!this.isWatcher && decideDirectRead(contacts)) {
			this.directReadAtMs = nowMs;
			this.after(directReadDelayMs(contacts, this.options.random), () => {
				void this.readDirectly();
			});
		}
	}

	private async readDirectly(): Promise<void> {
		this.directReadAtMs = performance.now();
		this.directReadFailures = await this.service.readOnce() ? 0 : this.directReadFailures + 1;
	}

	private async exchangeOnce(): Promise<void> {
		const {random} = this.options;
		const {candidates: choice} = this.exchange;
		const {role, watchers} = this.duty();
		// A standby gives every second exchange to a watcher, so that it takes the watch over soon after its death.
		const checked = role === 'standby' && this.exchanges % 2 === 0 ? choice.peers.filter(peer => watchers.includes(peer.vm)) : [];
		const peer = random.sample(checked, 1)[0] ?? chooseExchangePeer(choice, this.exchanges, random);
		this.exchanges++;
		if (peer) {
			await this.exchange.exchange(peer);
		}
	}

	private repeat(meanMs: () => number, action: () => void): void {
		this.after(this.options.random.jitter(meanMs()), () => {
			action();
			this.repeat(meanMs, action);
		});
	}

	private after(ms: number, action: () => void): void {
		if (this.stopped) {
			return;
		}

		const timer = setTimeout(() => {
			this.timers.delete(timer);
			action();
		}, ms);
		timer.unref();
		this.timers.add(timer);
	}
}
