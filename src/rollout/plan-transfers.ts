/** Decides which chunk is fetched from where next. No I/O, no clock. */
import type {ChunkBitmap} from './chunk-bitmap.ts';

/** The source name of the origin. */
export const originSource = 'origin';

/** A peer as the plan sees it. */
export type PlanPeer = {
	readonly vm: string;
	readonly local: boolean;
	readonly holds: ChunkBitmap;
	/** Chunks that the peer reads from outside its region now. */
	readonly reading: ChunkBitmap;
	/** Copies that the peer has sent on. */
	readonly uploaded: number;
	/** The peer refused and is not asked before this time, in milliseconds. */
	readonly notBeforeMs: number;
	/** The peer sent corrupt bytes of this version. */
	readonly shunned: boolean;
	/** The peer's import last grew at this time, in milliseconds. */
	readonly progressAtMs: number;
	/** The peer said that its upload budget is used up. */
	readonly overBudget: boolean;
};

/** A transfer in progress. */
export type OpenTransfer = {readonly chunk: number; readonly source: string; readonly startedAtMs: number; readonly receivedBytes: number};

/** A transfer to start. */
export type PlannedTransfer = {readonly chunk: number; readonly source: string; readonly lastResort: boolean};

/** Everything that the plan depends on. */
export type PlanInput = {
	readonly nowMs: number;
	readonly held: ChunkBitmap;
	readonly open: readonly OpenTransfer[];
	readonly peers: readonly PlanPeer[];
	/** VMs that come before this one for a chunk, in this region. */
	readonly beforeInRegion: (chunk: number) => readonly string[];
	/** VMs that come before this one for a chunk, in all regions. */
	readonly beforeInAll: (chunk: number) => readonly string[];
	readonly objective: 'time' | 'origin-bytes';
	readonly isImporter: boolean;
	/** When the transfer began, in milliseconds. */
	readonly startedAtMs: number;
	/** When this VM last verified a chunk, in milliseconds. */
	readonly progressAtMs: number;
	/** The origin is not asked before this time, in milliseconds. */
	readonly originNotBeforeMs: number;
	/** Whether all neighbours were asked once, so that what they hold is known. */
	readonly surveyed: boolean;
	readonly stepInMs: number;
	readonly maxOpen: number;
	readonly maxOriginReads: number;
	/** A chunk's position in this VM's own random order; breaks ties so that peers ask for different chunks. */
	readonly shuffle: (chunk: number) => number;
};

type PlanState = {readonly input: PlanInput; readonly sourceLoad: Map<string, number>; free: number; originReads: number};

/**
 * Plans the next transfers, most urgent first.
 *
 * @param input - what is known now
 */
export function planTransfers(input: PlanInput): PlannedTransfer[] {
	const sourceLoad = new Map<string, number>();
	for (const {source} of input.open) {
		sourceLoad.set(source, (sourceLoad.get(source) ?? 0) + 1);
	}

	const state: PlanState = {
		input, sourceLoad, free: input.maxOpen - input.open.length, originReads: sourceLoad.get(originSource) ?? 0,
	};
	const missing = missingByRarity(input);
	return [...planImports(state, missing), ...planFromRegion(state, missing)];
}

/** Lists missing chunks that are not open, rarest in the region first. */
function missingByRarity(input: PlanInput): number[] {
	const open = new Set(input.open.map(({chunk}) => chunk));
	const missing: Array<{chunk: number; copies: number; order: number}> = [];
	for (let chunk = 0; chunk < input.held.size; chunk++) {
		if (!input.held.has(chunk) && !open.has(chunk)) {
			const copies = input.peers.filter(peer => peer.local && peer.holds.has(chunk)).length;
			missing.push({chunk, copies, order: input.shuffle(chunk)});
		}
	}

	return missing.toSorted((a, b) => a.copies - b.copies || a.order - b.order).map(({chunk}) => chunk);
}

/** Chunks that nobody in the region holds and that are this VM's turn to bring in. */
function planImports(state: PlanState, missing: readonly number[]): PlannedTransfer[] {
	const {input} = state;
	const planned: PlannedTransfer[] = [];
	if (!input.surveyed) {
		return planned;
	}

	for (const chunk of missing) {
		if (state.free <= 0 || state.originReads >= input.maxOriginReads) {
			break;
		}

		const source = importSource(state, chunk);
		if (source !== undefined) {
			planned.push(take(state, chunk, source, false));
			state.originReads++;
		}
	}

	return planned;
}

function importSource({input, sourceLoad}: PlanState, chunk: number): string | undefined {
	const seen = input.peers.some(peer => peer.local && !peer.shunned && (peer.holds.has(chunk) || isBeingRead(input, peer, chunk)));
	if (seen || !isTurn(input, input.beforeInRegion(chunk))) {
		return undefined;
	}

	const remote = input.peers.filter(peer => !peer.local && isUsable(input, peer, chunk));
	const originReady = input.nowMs >= input.originNotBeforeMs;
	if (remote.length > 0 && (input.objective === 'origin-bytes' || !originReady)) {
		return leastLoaded(remote, sourceLoad, chunk);
	}

	const readElsewhere = input.peers.some(peer => !peer.local && !peer.shunned && (peer.holds.has(chunk) || isBeingRead(input, peer, chunk)));
	if (input.objective === 'origin-bytes' && (readElsewhere || !isTurn(input, input.beforeInAll(chunk)))) {
		return undefined;
	}

	return originReady ? originSource : undefined;
}

/** A peer that reads a chunk but makes no progress any more does not keep others from it. */
function isBeingRead(input: PlanInput, peer: PlanPeer, chunk: number): boolean {
	return peer.reading.has(chunk) && input.nowMs - peer.progressAtMs < input.stepInMs;
}

/** Rank k waits k step-in times after the last progress of any better rank. */
function isTurn(input: PlanInput, before: readonly string[]): boolean {
	if (before.length === 0) {
		return true;
	}

	const better = new Set(before);
	// A VM that is no importer does not watch the owners; its own progress shows that the region is supplied.
	let lastMs = input.isImporter ? input.startedAtMs : Math.max(input.startedAtMs, input.progressAtMs);
	for (const peer of input.peers) {
		if (better.has(peer.vm)) {
			lastMs = Math.max(lastMs, peer.progressAtMs);
		}
	}

	return input.nowMs - lastMs >= before.length * input.stepInMs;
}

/** Chunks that peers of the region hold. */
function planFromRegion(state: PlanState, missing: readonly number[]): PlannedTransfer[] {
	const {input, sourceLoad} = state;
	const planned: PlannedTransfer[] = [];
	for (const chunk of missing) {
		if (state.free <= 0) {
			break;
		}

		const holders = input.peers.filter(peer => peer.local && isUsable(input, peer, chunk));
		const idle = holders.filter(peer => !peer.overBudget && (sourceLoad.get(peer.vm) ?? 0) === 0);
		if (idle.length > 0) {
			planned.push(take(state, chunk, leastLoaded(idle, sourceLoad, chunk), false));
		} else if (holders.length > 0 && holders.every(peer => peer.overBudget)) {
			planned.push(take(state, chunk, leastLoaded(holders, sourceLoad, chunk), true));
		}
	}

	return planned;
}

function isUsable(input: PlanInput, peer: PlanPeer, chunk: number): boolean {
	return !peer.shunned && peer.notBeforeMs <= input.nowMs && peer.holds.has(chunk);
}

/** Prefers peers that this VM loads least, then those that have sent least, so that uploads stay even. */
function leastLoaded(peers: readonly PlanPeer[], sourceLoad: ReadonlyMap<string, number>, chunk: number): string {
	const load = (peer: PlanPeer) => sourceLoad.get(peer.vm) ?? 0;
	const sorted = peers.toSorted((a, b) => load(a) - load(b) || a.uploaded - b.uploaded || a.holds.count - b.holds.count);
	return (sorted[0] ?? peers[chunk % peers.length])!.vm;
}

function take(state: PlanState, chunk: number, source: string, lastResort: boolean): PlannedTransfer {
	state.free--;
	state.sourceLoad.set(source, (state.sourceLoad.get(source) ?? 0) + 1);
	return {chunk, source, lastResort};
}
