/** What one agent knows of its peers' transfers of one manifest. */
import type {TransferNotice} from '../messages/rollout-have.ts';
import {ChunkBitmap} from './chunk-bitmap.ts';
import type {PlanPeer} from './plan-transfers.ts';

/** The manifest is fetched like a version of one chunk before its chunks are known. */
export const manifestPhaseSize = 1;

/** Failed downloads in a row after which a peer no longer keeps others from bringing its chunks in. */
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
};

/** Keeps peers' notices and how they behaved. */
export class PeerTable {
	private readonly states = new Map<string, PeerState>();
	private size = manifestPhaseSize;
	private inManifestPhase = true;

	/** VMs that sent a notice. */
	get vms(): string[] {
		return [...this.states.keys()];
	}

	/**
	 * Switches from the manifest to its chunks.
	 *
	 * @param chunkCount - how many chunks the manifest has
	 */
	startChunkPhase(chunkCount: number): void {
		this.size = chunkCount;
		this.inManifestPhase = false;
		for (const state of this.states.values()) {
			this.decode(state);
		}
	}

	/**
	 * Takes a notice over.
	 *
	 * @param notice - the peer's notice
	 * @param nowMs - when it came, in milliseconds
	 * @returns whether the peer holds something that it did not hold before
	 */
	record(notice: TransferNotice, nowMs: number): boolean {
		const state = this.states.get(notice.vm);
		if (!state) {
			const added: PeerState = {
				notice, holds: new ChunkBitmap(this.size), reading: new ChunkBitmap(this.size), progressAtMs: nowMs, contactAtMs: nowMs, notBeforeMs: 0, banned: false, overBudget: false, failures: 0,
			};
			this.decode(added);
			this.states.set(notice.vm, added);
			return added.holds.count > 0;
		}

		const before = state.holds.count;
		const importProgressed = notice.imported > state.notice.imported || (notice.reading !== state.notice.reading && notice.reading !== '');
		state.notice = notice;
		this.decode(state);
		if (importProgressed || state.holds.count > before) {
			state.progressAtMs = nowMs;
		}

		state.contactAtMs = nowMs;
		return state.holds.count > before;
	}

	/**
	 * Tells whether a peer is known to hold a chunk.
	 *
	 * @param vm - the peer
	 * @param chunk - the chunk's position
	 */
	holds(vm: string, chunk: number): boolean {
		return this.states.get(vm)?.holds.has(chunk) ?? false;
	}

	/**
	 * Does not ask a peer for a while.
	 *
	 * @param vm - the peer
	 * @param untilMs - when it may be asked again, in milliseconds
	 */
	pause(vm: string, untilMs: number): void {
		const state = this.states.get(vm);
		if (state) {
			state.notBeforeMs = untilMs;
		}
	}

	/**
	 * Notes that a download from a peer worked.
	 *
	 * @param vm - the peer
	 */
	recordSuccess(vm: string): void {
		const state = this.states.get(vm);
		if (state) {
			state.failures = 0;
		}
	}

	/**
	 * Counts a failure in a row and returns how many there were.
	 *
	 * @param vm - the peer
	 */
	recordFailure(vm: string): number {
		const state = this.states.get(vm);
		return state ? ++state.failures : 0;
	}

	/**
	 * Uses a peer no more, since it sent wrong bytes.
	 *
	 * @param vm - the peer
	 */
	ban(vm: string): void {
		const state = this.states.get(vm);
		if (state) {
			state.banned = true;
		}
	}

	/**
	 * Notes that a peer's upload budget is used up.
	 *
	 * @param vm - the peer
	 */
	markOverBudget(vm: string): void {
		const state = this.states.get(vm);
		if (state) {
			state.overBudget = true;
		}
	}

	/** Forgets what peers hold, after a pause in which it may have changed. */
	clear(): void {
		for (const [vm, state] of this.states) {
			if (!state.banned) {
				this.states.delete(vm);
			}
		}
	}

	/**
	 * Returns the peers for a plan.
	 *
	 * @param regions - regions by VM; peers that left the group are passed over
	 * @param region - the own region
	 */
	toPlanPeers(regions: ReadonlyMap<string, string>, region: string): PlanPeer[] {
		const peers: PlanPeer[] = [];
		for (const [vm, state] of this.states) {
			const peerRegion = regions.get(vm);
			if (peerRegion !== undefined) {
				const {holds, reading, progressAtMs, contactAtMs, notBeforeMs, banned, overBudget} = state;
				peers.push({
					vm, local: peerRegion === region, holds, reading, progressAtMs, contactAtMs, notBeforeMs, banned, overBudget, uploaded: state.notice.uploaded,
					failing: state.failures >= failuresUntilFailing,
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
