/**
 * Spreads changes of the directory: a process that learns of one tells a few random others, which fetch what they lack and tell others.
 *
 * The number of datagrams that a process sends for a change does not depend on the size of the fleet. Processes that a change does not
 * reach this way get it with the periodic exchanges of {@link PeerGroup}.
 */
import type {Directory} from '../directory/directory.ts';
import {
	compareRevisions, createStoreRevision, noStoreRevision, type StoreRevision,
} from '../directory/store-revision.ts';
import type {DatagramPort} from '../links/datagram-port.ts';
import {parseAddress} from '../links/http-listener.ts';
import {type NewsDatagram, newsDatagramSchema} from '../messages/news-datagram.ts';
import type {PeerInfo} from '../messages/peers-exchange.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import type {DirectoryPuller} from './directory-puller.ts';

/** Number of processes that are told of a change: in the own zone and in other zones, since the links between regions are narrow. */
const fanout = {local: 3, remote: 1};

/** Minimum interval between two rounds of news, in milliseconds. */
const minIntervalMs = 50;

/** How long a change waits for others that follow it at once, in milliseconds. */
const batchDelayMs = 2;

/** Dependencies of a {@link NewsSpreader}. */
export type NewsSpreaderOptions = {
	readonly self: PeerInfo;
	/** Returns the other processes. */
	readonly others: () => readonly PeerInfo[];
	readonly directory: Directory;
	readonly puller: DirectoryPuller;
	readonly datagrams: DatagramPort;
	/** The number of the port on which all processes receive datagrams. */
	readonly port: number;
	readonly random: RandomSource;
	/** Asks the process with a control address for its message. */
	readonly ask: (address: string) => void;
};

/** Tells other processes of changes, and takes news from them. */
export class NewsSpreader {
	private sentVersionChanges = 0;
	private sentConfiguration = 0;
	private sentInstanceChange: StoreRevision = noStoreRevision;
	private sentEvacuationChanges = 0;
	private lastSentMs = Number.NEGATIVE_INFINITY;
	private timer: NodeJS.Timeout | undefined;

	constructor(private readonly options: NewsSpreaderOptions) {}

	/** Starts to tell and to take news. */
	start(): void {
		const {datagrams, directory, puller} = this.options;
		datagrams.on('news', newsDatagramSchema, ([, address, state, versions]) => {
			const {versionChanges} = directory;
			directory.mergeFromPeer({versions}, directory.clock.sentAfterMs);
			if (directory.versionChanges !== versionChanges) {
				this.options.ask(address);
			}

			if (this.options.self.role === 'gateway') {
				void puller.pull(address, state);
			}
		});
		directory.onChange(() => {
			this.timer ??= setTimeout(() => {
				this.timer = undefined;
				this.spread();
			}, Math.max(batchDelayMs, this.lastSentMs + minIntervalMs - performance.now())).unref();
		});
	}

	/** Stops telling. */
	stop(): void {
		clearTimeout(this.timer);
	}

	private spread(): void {
		const {directory, self} = this.options;
		const hasNewVersion = directory.versionChanges !== this.sentVersionChanges;
		const instanceChange = createStoreRevision(directory.instancesEra, directory.lastInstanceChange);
		const hasNewEntries = directory.configurationVersion !== this.sentConfiguration || compareRevisions(instanceChange, this.sentInstanceChange) !== 0
			|| directory.evacuations.changes !== this.sentEvacuationChanges;
		this.sentVersionChanges = directory.versionChanges;
		this.sentConfiguration = directory.configurationVersion;
		this.sentInstanceChange = instanceChange;
		this.sentEvacuationChanges = directory.evacuations.changes;
		if (hasNewVersion) {
			this.tell(() => true);
		} else if (hasNewEntries && self.role === 'gateway') {
			// Stagers need the services only, and get them with the periodic exchanges.
			this.tell(({role}) => role === 'gateway');
		}
	}

	private tell(isConcerned: (peer: PeerInfo) => boolean): void {
		const {self, others, directory, datagrams, port, random} = this.options;
		this.lastSentMs = performance.now();
		const peers = others().filter(peer => isConcerned(peer));
		const local = random.sample(peers.filter(({zone}) => zone === self.zone), fanout.local);
		const remote = random.sample(peers.filter(({zone}) => zone !== self.zone), fanout.remote);
		const news: NewsDatagram = ['news', self.address, directory.state, directory.shareableVersions];
		for (const {address} of [...local, ...remote]) {
			datagrams.send(news, {host: parseAddress(address).host, port});
		}
	}
}
