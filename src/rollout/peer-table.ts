/** What one agent knows about its peers' transfers of one manifest. */
import type {TransferNotice} from '../messages/rollout-have.ts';
import {ChunkBitmap} from './chunk-bitmap.ts';
import type {PlanPeer} from './plan-transfers.ts';

/** The number of chunks before the manifest is held: the manifest itself is fetched like the only chunk of a version. */
export const manifestPhaseSize = 1;

/** Consecutive failed downloads after which a peer no longer counts as a provider, so that its chunks are imported again. */
const failuresUntilFailing = 2;

type PeerState = {
	notice: TransferNotice;
	holds: ChunkBitmap;
	reading: ChunkBitmap;
	progressAtMs: number;
	contactAtMs: number;
	notBeforeMs: number;
	banned: boolean;
	overBudget: boolean;
	failures: number;
	/** When the first message was sent that the peer has not answered, in milliseconds of the listening clock; undefined if it has answered since. */
	unansweredSinceMs: number | undefined;
};

/** Stores each peer's latest notice, failures and backoff. */
export class PeerTable {
	private readonly states = new Map<string, PeerState>();
	private size = manifestPhaseSize;
	private inManifestPhase = true;

	/** The VMs that sent a notice. */
	get vms(): string[] {
		return [...this.states.keys()];
	}

	/**
	 * Switches from fetching the manifest to fetching its chunks, and decodes the known notices again accordingly.
	 *
	 * @param chunkCount - the number of chunks in the manifest
	 */
	startChunkPhase(chunkCount: number): void {
		this.size = chunkCount;
		this.inManifestPhase = false;
		for (const state of this.states.values()) {
			this.decode(state);
		}
	}

	/**
	 * Records a peer's notice.
	 *
	 * @param notice - the peer's notice
	 * @param nowMs - when it was received, in milliseconds
	 * @returns whether the peer holds chunks that it did not hold before
	 */
	record(notice: TransferNotice, nowMs: number): boolean {
		const state = this.states.get(notice.vm);
		if (!state) {
			const added: PeerState = {
				notice, holds: new ChunkBitmap(this.size), reading: new ChunkBitmap(this.size), progressAtMs: nowMs, contactAtMs: nowMs, notBeforeMs: 0, banned: false, overBudget: false, failures: 0, unansweredSinceMs: undefined,
			};
			this.decode(added);
			this.states.set(notice.vm, added);
			return added.holds.count > 0;
		}

		const before = state.holds.count;
		const last = state.notice;
		const importProgressed = notice.imported > last.imported || (notice.reading !== last.reading && notice.reading !== '');
		state.notice = notice;
		if (notice.bitmap !== last.bitmap || notice.reading !== last.reading) {
			this.decode(state);
		}

		if (importProgressed || state.holds.count > before) {
			state.progressAtMs = nowMs;
		}

		state.contactAtMs = nowMs;
		state.unansweredSinceMs = undefined;
		return state.holds.count > before;
	}

	/** Returns how many bytes a peer has received from outside its region; infinite for an unknown peer, whose first notice shows no progress. */
	importedBytes(vm: string): number {
		return this.states.get(vm)?.notice.imported ?? Number.POSITIVE_INFINITY;
	}

	/**
	 * Returns whether a peer is known to hold a chunk.
	 *
	 * @param vm - the peer
	 * @param chunk - the chunk's position
	 */
	holds(vm: string, chunk: number): boolean {
		return this.states.get(vm)?.holds.has(chunk) ?? false;
	}

	/**
	 * Excludes a peer as a source until a given time.
	 *
	 * @param vm - the peer
	 * @param untilMs - the earliest time of the next request, in milliseconds
	 */
	pause(vm: string, untilMs: number): void {
		const state = this.states.get(vm);
		if (state) {
			state.notBeforeMs = untilMs;
		}
	}

	/**
	 * Records that a message was sent to a peer, which answers unless it is unreachable.
	 *
	 * @param vm - the peer
	 * @param listeningMs - the time of the listening clock, in milliseconds
	 */
	recordAsked(vm: string, listeningMs: number): void {
		const state = this.states.get(vm);
		if (state) {
			state.unansweredSinceMs ??= listeningMs;
		}
	}

	/** Returns for how long a peer has not answered, in milliseconds; 0 if no message to it is unanswered. */
	silentMs(vm: string, listeningMs: number): number {
		return listeningMs - (this.states.get(vm)?.unansweredSinceMs ?? listeningMs);
	}

	/** Resets a peer's count of consecutive failures. */
	recordSuccess(vm: string): void {
		const state = this.states.get(vm);
		if (state) {
			state.failures = 0;
			state.unansweredSinceMs = undefined;
		}
	}

	/** Counts a failed download and returns the peer's number of consecutive failures. */
	recordFailure(vm: string): number {
		const state = this.states.get(vm);
		return state ? ++state.failures : 0;
	}

	/** Returns whether so many consecutive downloads from a peer failed that it no longer counts as a provider. */
	isFailing(vm: string): boolean {
		return (this.states.get(vm)?.failures ?? 0) >= failuresUntilFailing;
	}

	/** Excludes a peer for the rest of this version's transfer, because it sent corrupt data. */
	ban(vm: string): void {
		const state = this.states.get(vm);
		if (state) {
			state.banned = true;
		}
	}

	/** Records that a peer has used up its upload budget. */
	markOverBudget(vm: string): void {
		const state = this.states.get(vm);
		if (state) {
			state.overBudget = true;
		}
	}

	/** Forgets all peers except the banned ones; used after this process was suspended, when the notices may be outdated. */
	clear(): void {
		for (const [vm, state] of this.states) {
			if (!state.banned) {
				this.states.delete(vm);
			}
		}
	}

	/**
	 * Returns the peers as input for the transfer plan.
	 *
	 * @param regions - the region of each VM of the group; peers that left the group are skipped
	 * @param region - this agent's region
	 * @param isSilent - returns whether a peer has not answered for so long that it counts as unreachable
	 */
	toPlanPeers(regions: ReadonlyMap<string, string>, region: string, isSilent: (vm: string) => boolean): PlanPeer[] {
		const peers: PlanPeer[] = [];
		for (const [vm, state] of this.states) {
			const peerRegion = regions.get(vm);
			if (peerRegion !== undefined) {
				const {holds, reading, progressAtMs, contactAtMs, notBeforeMs, banned, overBudget} = state;
				peers.push({
					vm, local: peerRegion === region, holds, reading, progressAtMs, contactAtMs, notBeforeMs, banned, overBudget, uploaded: state.notice.uploaded,
					failing: this.isFailing(vm), silent: isSilent(vm),
				});
			}
		}

		return peers;
	}

	private decode(state: PeerState): void {
		const {bitmap, reading} = state.notice;
		if (this.inManifestPhase) {
			state.holds = new ChunkBitmap(this.size);
			if (bitmap !== '') {
				state.holds.add(0);
			}

			state.reading = ChunkBitmap.decode(bitmap === '' ? reading : '', this.size);
			return;
		}

		state.holds = ChunkBitmap.decode(bitmap, this.size);
		state.reading = ChunkBitmap.decode(bitmap === '' ? '' : reading, this.size);
	}
}
