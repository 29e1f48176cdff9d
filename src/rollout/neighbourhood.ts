/**
 * The peers that exchange transfer notices about one version, and the schedule of the exchanges.
 *
 * A notice says which chunks a peer holds and which ones it is importing, that is, reading from outside its region.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Digest} from '../ids/digest.ts';
import {
	decodeNotice, rolloutHaveMethod, rolloutHaveResultSchema, type TransferNotice,
} from '../messages/rollout-have.ts';
import {monotonicClock} from '../runtime/pause-detector.ts';
import {type ChunkOwners, rankOwners} from './chunk-owners.ts';
import {chooseNeighbours} from './choose-neighbours.ts';
import {NoticeSender} from './notice-sender.ts';
import {PeerTable} from './peer-table.ts';
import type {TransferOptions, TransferPeer} from './transfer-options.ts';

/** The mean interval of polls while there is nothing to announce, in milliseconds. */
const pollIntervalMs = 1000;

/** Polls per `step_in_ms`, so that the progress of an active owner is known before the next rank takes over. */
const pollsPerStepIn = 3;

/** The number of random neighbours in each poll, in case a notice was lost. */
const polledNeighbours = 1;

/** The timeout of one exchange of notices, in milliseconds. */
const exchangeTimeoutMs = 1000;

/** How long a survey waits for responses, in milliseconds. Slower neighbours do not delay the transfer. */
const surveyTimeoutMs = 250;

/** The maximum number of neighbours: those that this agent chose and those that chose it. */
const maxNeighbours = 24;

/** A chunk is rare, and announced immediately, if at most this many neighbours hold it. */
const maxRareHolders = 2;

/** Dependencies and callbacks of a neighbourhood. */
export type NeighbourhoodOptions = {
	readonly agentOptions: TransferOptions;
	readonly manifest: Digest;
	/** Whether this agent's turn to import also depends on the importers of other regions. */
	readonly watchesAllRegions: boolean;
	/** Returns this agent's notice. */
	readonly notice: () => TransferNotice;
	/** Called when a peer holds chunks that it did not hold before. */
	readonly onNewChunks: () => void;
	/** Called when a peer has received more from outside its region. */
	readonly onImport: () => void;
};

/** Tracks the group of one version: the chunk owners, this agent's neighbours and their notices. */
export class Neighbourhood {
	readonly peers = new PeerTable();
	/** Whether a survey is complete, so that it is known which chunks the neighbours hold. */
	surveyed = false;
	private readonly noticeSender: NoticeSender;
	private readonly failedContacts = new Set<string>();
	private group: readonly TransferPeer[] | undefined;
	private groupKey: string | undefined;
	private rankedOwners!: ChunkOwners;
	private ownNeighbours: ReadonlySet<string> = new Set();
	private groupByVm: ReadonlyMap<string, TransferPeer> = new Map();
	private regionByVm: ReadonlyMap<string, string> = new Map();
	private nextPollAtMs = 0;

	constructor(private readonly options: NeighbourhoodOptions) {
		this.noticeSender = new NoticeSender({
			bytesPerSecond: options.agentOptions.noticeBytesPerSecond,
			exchange: async vm => {
				if (!this.sendNotice(vm)) {
					await this.exchange(vm);
				}
			},
		});
		this.refreshGroup();
	}

	/** The VMs that import each chunk into the region. */
	get owners(): ChunkOwners {
		return this.rankedOwners;
	}

	/** Whether this agent is one of the VMs that read from outside the region by default. */
	get isImporter(): boolean {
		return this.rankedOwners.importers.has(this.options.agentOptions.self.vm);
	}

	/** The region of each VM of the group. */
	get regions(): ReadonlyMap<string, string> {
		return this.regionByVm;
	}

	/** Returns a peer of the group, or undefined when the VM does not belong to it. */
	peer(vm: string): TransferPeer | undefined {
		return this.groupByVm.get(vm);
	}

	/** Recomputes the owners and neighbours if the group has changed. */
	refreshGroup(): void {
		const {self, peers} = this.options.agentOptions;
		const group = peers();
		if (group === this.group) {
			return;
		}

		this.group = group;
		const key = group.map(({vm, address}) => `${vm}@${address}`).join(' ');
		if (key !== this.groupKey) {
			this.groupKey = key;
			this.groupByVm = new Map(group.map(peer => [peer.vm, peer]));
			this.regionByVm = new Map(group.map(({vm, region}) => [vm, region]));
			this.rankedOwners = rankOwners(this.options.manifest, self, group);
			this.ownNeighbours = chooseNeighbours(self, group, this.rankedOwners.importers);
		}
	}

	/** Records a peer's notice; notices from VMs outside the group are ignored. */
	recordNotice(notice: TransferNotice): void {
		this.noticeSender.recordContact(notice.vm);
		// Accepting only members of the group also bounds the size of the table.
		if (!this.groupByVm.has(notice.vm)) {
			return;
		}

		if (this.peers.importedBytes(notice.vm) < notice.imported) {
			this.options.onImport();
		}

		if (this.peers.record(notice, performance.now())) {
			this.options.onNewChunks();
		}
	}

	/**
	 * Records the notice in the header of a chunk response.
	 *
	 * @param text - the header's value; invalid values are ignored
	 */
	recordNoticeHeader(text: string): void {
		const notice = decodeNotice(new URLSearchParams(text));
		if (notice) {
			this.recordNotice(notice);
		}
	}

	/** Sends this agent's notice to all neighbours. */
	announce(): void {
		this.noticeSender.notify(this.allNeighbours());
	}

	/** Announces that this agent is importing a chunk, to the importers whose turn depends on it. */
	announceImport(): void {
		this.noticeSender.notify(this.watchedImporters());
	}

	/**
	 * Announces a chunk to the neighbours that lack it: immediately while it is rare, otherwise batched with later chunks.
	 *
	 * @param chunk - the chunk's position
	 */
	announceChunk(chunk: number): void {
		const lacking = this.allNeighbours().filter(vm => !this.peers.holds(vm, chunk));
		const rare = this.peers.vms.length - lacking.length <= maxRareHolders;
		this.noticeSender.notify(lacking, rare ? 0 : this.options.agentOptions.noticeIntervalMs);
	}

	/**
	 * Exchanges notices with all neighbours that this agent chose, to learn which chunks they hold.
	 *
	 * @param awaitOtherRegion - whether to wait longer, until a neighbour in another region has responded or all requests have ended
	 */
	async survey(awaitOtherRegion = false): Promise<void> {
		this.surveyed = false;
		const exchanges = [...this.ownNeighbours].map(vm => ({vm, response: this.exchange(vm)}));
		const isAwaited = (vm: string) => awaitOtherRegion && this.regionByVm.get(vm) !== this.options.agentOptions.self.region;
		const ended = Promise.all(exchanges.map(async ({response}) => response));
		const awaited = waitForAny(exchanges.filter(({vm}) => isAwaited(vm)).map(async ({response}) => response));
		await Promise.race([ended, Promise.all([sleep(surveyTimeoutMs, undefined, {ref: false}), awaited])]);
		this.surveyed = true;
	}

	/** Polls a few neighbours when the poll interval has passed, and the silent ones, which may answer again. Importers also poll the importers that they watch. */
	pollNeighbours(): void {
		const nowMs = performance.now();
		if (nowMs < this.nextPollAtMs) {
			return;
		}

		const {random, limits} = this.options.agentOptions;
		const intervalMs = Math.min(pollIntervalMs, limits().step_in_ms / pollsPerStepIn);
		this.nextPollAtMs = nowMs + random.jitter(intervalMs);
		const silent = this.allNeighbours().filter(vm => this.isSilent(vm));
		this.noticeSender.notify([...this.watchedImporters(), ...random.sample([...this.ownNeighbours], polledNeighbours), ...silent], intervalMs);
	}

	/**
	 * Returns whether the last contact with a source failed, in which case the next request opens a new connection.
	 *
	 * @param source - a peer's VM, or the origin
	 */
	lastContactFailed(source: string): boolean {
		return this.failedContacts.has(source);
	}

	/**
	 * Records whether a contact with a source failed.
	 *
	 * @param source - a peer's VM, or the origin
	 * @param failed - whether the contact failed
	 */
	recordContact(source: string, failed: boolean): void {
		if (failed) {
			this.failedContacts.add(source);
		} else {
			this.failedContacts.delete(source);
		}
	}

	/** Records that a request was sent to a peer, which answers unless it is unreachable. */
	recordAsked(vm: string): void {
		this.peers.recordAsked(vm, this.listeningMs);
	}

	/** Returns whether a peer has not answered for `step_in_ms`. Time in which this process could not hear it does not count. */
	isSilent(vm: string): boolean {
		return this.peers.silentMs(vm, this.listeningMs) >= this.options.agentOptions.limits().step_in_ms;
	}

	/** Returns whether a peer is silent or its last downloads failed. */
	isDoubtful(vm: string): boolean {
		return this.isSilent(vm) || this.peers.isFailing(vm);
	}

	/** Stops sending notices. */
	stop(): void {
		this.noticeSender.stop();
	}

	private get listeningMs(): number {
		return (this.options.agentOptions.clock ?? monotonicClock).listeningMs;
	}

	/** The importers whose progress decides when this agent takes over; empty unless this agent is an importer. */
	private watchedImporters(): string[] {
		const {self} = this.options.agentOptions;
		const isWatched = (vm: string) => vm !== self.vm && (this.options.watchesAllRegions || this.groupByVm.get(vm)?.region === self.region);
		return this.isImporter ? [...this.rankedOwners.importers].filter(vm => isWatched(vm)) : [];
	}

	private allNeighbours(): string[] {
		return [...new Set([...this.ownNeighbours, ...this.peers.vms])].slice(0, maxNeighbours);
	}

	/** Sends the notice without a connection; returns false if that is not possible. */
	private sendNotice(vm: string): boolean {
		const {agentOptions, manifest, notice} = this.options;
		const peer = this.groupByVm.get(vm);
		const isSent = peer !== undefined && agentOptions.sendNotice?.(peer, manifest, notice()) === true;
		if (isSent) {
			this.recordAsked(vm);
		}

		return isSent;
	}

	/** Exchanges notices with one peer and returns whether it responded. A failure is only recorded: without a notice, the peer counts as making no progress. */
	private async exchange(vm: string): Promise<boolean> {
		const peer = this.groupByVm.get(vm);
		if (!peer) {
			return false;
		}

		const {agentOptions, manifest, notice} = this.options;
		this.recordAsked(vm);
		try {
			const call = {method: rolloutHaveMethod, params: {manifest, notice: notice()}};
			const answer = await agentOptions.links.rpc(peer.address, call, rolloutHaveResultSchema, {timeoutMs: exchangeTimeoutMs, freshConnection: this.lastContactFailed(vm)});
			this.recordContact(vm, false);
			this.recordNotice(answer);
			return true;
		} catch {
			this.recordContact(vm, true);
			return false;
		}
	}
}

/** Waits until one of the results is true, or all are false. */
async function waitForAny(results: ReadonlyArray<Promise<boolean>>): Promise<void> {
	const pending = new Map(results.map((result, at) => [at, awaitWithIndex(result, at)]));
	while (pending.size > 0) {
		const {value, at} = await Promise.race(pending.values());
		if (value) {
			return;
		}

		pending.delete(at);
	}
}

async function awaitWithIndex(result: Promise<boolean>, at: number) {
	return {value: await result, at};
}
