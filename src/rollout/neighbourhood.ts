/** The peers that one version's transfer exchanges notices with. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Digest} from '../ids/digest.ts';
import {
	decodeNotice, rolloutHaveMethod, rolloutHaveResultSchema, type TransferNotice,
} from '../messages/rollout-have.ts';
import {type ChunkOwners, rankOwners} from './chunk-owners.ts';
import {chooseNeighbours} from './choose-neighbours.ts';
import {NoticeSender} from './notice-sender.ts';
import {PeerTable} from './peer-table.ts';
import type {TransferOptions, TransferPeer} from './transfer-options.ts';

/** Mean time between two exchanges without news, in milliseconds. */
const pollIntervalMs = 1000;

/** Surveys per step-in time, so that an owner at work is seen before the next rank steps in. */
const pollsPerStepIn = 3;

/** Neighbours that an agent asks in each survey, in case a notice was lost. */
const polledNeighbours = 1;

/** How long an exchange of notices may take, in milliseconds. */
const exchangeTimeoutMs = 1000;

/** How long a survey waits for answers at most, in milliseconds; who is silent for longer does not hold up the others. */
const surveyTimeoutMs = 250;

/** Neighbours in all: the chosen ones and those that chose this agent. */
const maxNeighbours = 24;

/** A chunk that at most this many neighbours hold is announced at once. */
const maxRareHolders = 2;

/** What a neighbourhood needs. */
export type NeighbourhoodOptions = {
	readonly agentOptions: TransferOptions;
	readonly manifest: Digest;
	/** Whether importers of other regions matter for whose turn it is. */
	readonly watchesAllRegions: boolean;
	/** Returns the own notice. */
	readonly notice: () => TransferNotice;
	/** Is called when a peer holds something new. */
	readonly onNewChunks: () => void;
};

/** Knows the group, its owners and neighbours, and what they told. */
export class Neighbourhood {
	readonly peers = new PeerTable();
	/** Whether all neighbours were asked once, so that what they hold is known. */
	surveyed = false;
	private readonly noticeSender: NoticeSender;
	private readonly failedContacts = new Set<string>();
	private groupKey: string | undefined;
	private rankedOwners!: ChunkOwners;
	private ownNeighbours: ReadonlySet<string> = new Set();
	private groupByVm: ReadonlyMap<string, TransferPeer> = new Map();
	private nextPollAtMs = 0;

	/** @param options - what the neighbourhood needs */
	constructor(private readonly options: NeighbourhoodOptions) {
		this.noticeSender = new NoticeSender({
			bytesPerSecond: options.agentOptions.noticeBytesPerSecond, exchange: async vm => this.exchange(vm),
		});
		this.refreshGroup();
	}

	/** Who brings which chunk into the region. */
	get owners(): ChunkOwners {
		return this.rankedOwners;
	}

	/** Whether this agent reads from outside of its region in the first place. */
	get isImporter(): boolean {
		return this.rankedOwners.importers.has(this.options.agentOptions.self.vm);
	}

	/** Regions by VM. */
	get regions(): ReadonlyMap<string, string> {
		return new Map([...this.groupByVm.values()].map(({vm, region}) => [vm, region]));
	}

	/**
	 * Returns a peer of the group.
	 *
	 * @param vm - the peer
	 */
	peer(vm: string): TransferPeer | undefined {
		return this.groupByVm.get(vm);
	}

	/** Ranks owners and neighbours again when the group has changed. */
	refreshGroup(): void {
		const {self, peers} = this.options.agentOptions;
		const group = peers();
		const key = group.map(({vm, address}) => `${vm}@${address}`).join(' ');
		if (key !== this.groupKey) {
			this.groupKey = key;
			this.groupByVm = new Map(group.map(peer => [peer.vm, peer]));
			this.rankedOwners = rankOwners(this.options.manifest, self, group);
			this.ownNeighbours = chooseNeighbours(self, group, this.rankedOwners.importers);
		}
	}

	/**
	 * Takes a notice over.
	 *
	 * @param notice - a peer's notice
	 */
	recordNotice(notice: TransferNotice): void {
		// Only members of the group count, which also bounds the table.
		this.noticeSender.recordContact(notice.vm);
		if (this.groupByVm.has(notice.vm) && this.peers.record(notice, performance.now())) {
			this.options.onNewChunks();
		}
	}

	/**
	 * Takes the notice that rides on a chunk's answer over.
	 *
	 * @param text - the header's value
	 */
	recordNoticeHeader(text: string): void {
		const notice = decodeNotice(new URLSearchParams(text));
		if (notice) {
			this.recordNotice(notice);
		}
	}

	/** Tells all neighbours the own news. */
	announce(): void {
		this.noticeSender.notify(this.allNeighbours());
	}

	/** Tells those whose turn depends on it that a chunk is being brought in. */
	announceImport(): void {
		this.noticeSender.notify(this.watchedImporters());
	}

	/**
	 * Tells neighbours about a chunk that they lack: at once while it is rare, otherwise together with later ones.
	 *
	 * @param chunk - the chunk's position
	 */
	announceChunk(chunk: number): void {
		const lacking = this.allNeighbours().filter(vm => !this.peers.holds(vm, chunk));
		const rare = this.peers.vms.length - lacking.length <= maxRareHolders;
		this.noticeSender.notify(lacking, rare ? 0 : this.options.agentOptions.noticeIntervalMs);
	}

	/** Asks all chosen neighbours what they hold. */
	async survey(): Promise<void> {
		this.surveyed = false;
		const asked = Promise.all([...this.ownNeighbours].map(async vm => this.exchange(vm)));
		await Promise.race([asked, sleep(surveyTimeoutMs, undefined, {ref: false})]);
		this.surveyed = true;
	}

	/** Asks again after a while: importers watch each other, others ask a few neighbours. */
	pollNeighbours(): void {
		const nowMs = performance.now();
		if (nowMs < this.nextPollAtMs) {
			return;
		}

		const {random, limits} = this.options.agentOptions;
		const intervalMs = Math.min(pollIntervalMs, limits().step_in_ms / pollsPerStepIn);
		this.nextPollAtMs = nowMs + random.jitter(intervalMs);
		this.noticeSender.notify([...this.watchedImporters(), ...random.sample([...this.ownNeighbours], polledNeighbours)], intervalMs);
	}

	/**
	 * Tells whether the last contact with a source failed, so that the next one takes a connection of its own.
	 *
	 * @param source - a peer or the origin
	 */
	lastContactFailed(source: string): boolean {
		return this.failedContacts.has(source);
	}

	/**
	 * Notes how a contact with a source went.
	 *
	 * @param source - a peer or the origin
	 * @param failed - whether it failed
	 */
	recordContact(source: string, failed: boolean): void {
		if (failed) {
			this.failedContacts.add(source);
		} else {
			this.failedContacts.delete(source);
		}
	}

	/** Stops all exchanges. */
	stop(): void {
		this.noticeSender.stop();
	}

	/** Importers whose progress decides whose turn it is. */
	private watchedImporters(): string[] {
		const {self} = this.options.agentOptions;
		const isWatched = (vm: string) => vm !== self.vm && (this.options.watchesAllRegions || this.groupByVm.get(vm)?.region === self.region);
		return this.isImporter ? [...this.rankedOwners.importers].filter(vm => isWatched(vm)) : [];
	}

	private allNeighbours(): string[] {
		return [...new Set([...this.ownNeighbours, ...this.peers.vms])].slice(0, maxNeighbours);
	}

	/** Exchanges notices with one peer; a peer that does not answer makes no progress. */
	private async exchange(vm: string): Promise<void> {
		const peer = this.groupByVm.get(vm);
		if (!peer) {
			return;
		}

		const {agentOptions, manifest, notice} = this.options;
		try {
			const call = {method: rolloutHaveMethod, params: {manifest, notice: notice()}};
			const answer = await agentOptions.links.rpc(peer.address, call, rolloutHaveResultSchema, {timeoutMs: exchangeTimeoutMs, fresh: this.lastContactFailed(vm)});
			this.recordContact(vm, false);
			this.recordNotice(answer);
		} catch {
			this.recordContact(vm, true);
		}
	}
}
