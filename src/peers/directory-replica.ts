/** Keeps one process's copy of the directory up to date: by duty from its source, otherwise from the other processes. */
import type {Directory} from '../directory/directory.ts';
import type {DirectoryPart, DirectorySource} from '../directory/directory-types.ts';
import {DirectoryWatcher} from '../directory/directory-watcher.ts';
import type {DatagramPort} from '../links/datagram-port.ts';
import type {PeerClient} from '../links/peer-client.ts';
import type {PeerInfo, PeersExchange} from '../messages/peers-exchange.ts';
import type {Logger} from '../runtime/logger.ts';
import type {ListeningClock} from '../runtime/pause-detector.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import {DirectoryChecks} from './directory-checks.ts';
import {DirectoryPuller} from './directory-puller.ts';
import {NewsSpreader} from './news-spreader.ts';
import {PeerGroup} from './peer-group.ts';
import {PeerList} from './peer-list.ts';
import {WatchCoverage} from './watch-duty.ts';
import {WatchManager} from './watch-manager.ts';

/** Dependencies of a {@link DirectoryReplica}. */
export type DirectoryReplicaOptions = {
	readonly self: PeerInfo;
	readonly directory: Directory;
	readonly source: DirectorySource;
	/** The parts of the directory that this process watches at the source, if it is its duty. */
	readonly parts: readonly DirectoryPart[];
	/** What this process fetches from others: the whole directory, or only the services. */
	readonly pulledParts: 'directory' | 'services';
	readonly seeds: () => readonly string[];
	readonly links: PeerClient;
	readonly datagrams: DatagramPort;
	/** The number of the port on which all processes receive datagrams. */
	readonly port: number;
	readonly random: RandomSource;
	readonly log: Logger;
	/** Tells for how long this process could hear the others. */
	readonly clock: ListeningClock;
};

/** Finds the other processes, and brings the directory up to date from them and from the source. */
export class DirectoryReplica {
	/** The other processes. */
	readonly peers: PeerList;
	private readonly watchManager: WatchManager;
	private readonly news: NewsSpreader;
	private readonly group: PeerGroup;
	/** Stagers need a small part of the directory only, and rely on the exchanges. */
	private readonly checks: DirectoryChecks | undefined;

	constructor(options: DirectoryReplicaOptions) {
		const {
			self, directory, source, parts, pulledParts, seeds, links, datagrams, port, random, log, clock,
		} = options;
		this.peers = new PeerList(self, log);
		const others = () => this.peers.others;
		const coverage = new WatchCoverage();
		const watchers = parts.map(part => new DirectoryWatcher({
			part, source, directory, random, log, watchWaitMs: () => this.watchManager.waitMs,
		}));
		const puller = new DirectoryPuller({
			links, directory, pulledParts, log,
		});
		this.watchManager = new WatchManager({
			self, others, coverage, watchers, log, clock,
		});
		this.news = new NewsSpreader({
			self,
			others,
			directory,
			puller,
			random,
			datagrams,
			port,
			ask: address => {
				this.group.ask(address);
			},
		});
		const checks = new DirectoryChecks({
			self,
			others,
			directory,
			puller,
			datagrams,
			port,
			random,
			log,
			clock,
			ownWatch: () => this.watchManager.ownWatch,
			onUnconfirmed: () => {
				this.watchManager.watchAlone();
			},
		});
		this.checks = self.role === 'gateway' ? checks : undefined;
		this.group = new PeerGroup({
			self,
			list: this.peers,
			seeds,
			links,
			datagrams,
			port,
			directory,
			random,
			log,
			puller,
			coverage,
			isSourceFailing: () => this.watchManager.isFailing,
			onMessage: () => {
				this.watchManager.recordOwnCoverage();
			},
		});
	}

	/** Whether this process reads and watches the source of the directory. */
	get isWatching(): boolean {
		return this.watchManager.isWatching;
	}

	/** How old the knowledge of this process is, in milliseconds; 0 if it watches the source itself or fetches only the services. */
	get ageMs(): number {
		return this.watchManager.ownWatch === 'working' ? 0 : this.checks?.ageMs ?? 0;
	}

	/** Starts to watch the source, until others are known to, and to exchange with other processes. */
	start(): void {
		this.watchManager.start();
		this.news.start();
		this.group.start();
		this.checks?.start();
	}

	/** Stops all of it. */
	stop(): void {
		this.group.stop();
		this.checks?.stop();
		this.watchManager.stop();
		this.news.stop();
	}

	/** Catches up faster for a while, since this process was paused and may have missed changes. */
	catchUp(): void {
		this.watchManager.restart();
		this.group.hurry();
		this.checks?.restart();
	}

	/** Handles an exchange that another process started, and returns the response. */
	handleExchange(theirs: PeersExchange): PeersExchange {
		return this.group.handleExchange(theirs);
	}
}
