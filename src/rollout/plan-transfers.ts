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
	readonly banned: boolean;
	/** The peer's import last grew at this time, in milliseconds. */
	readonly progressAtMs: number;
	/** The last notice of the peer came at this time, in milliseconds. */
	readonly contactAtMs: number;
	/** Downloads from the peer failed several times in a row, although it may still answer notices. */
	readonly failing: boolean;
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
	readonly higherRankedInRegion: (chunk: number) => readonly string[];
	/** VMs that come before this one for a chunk, in all regions. */
	readonly higherRankedGlobally: (chunk: number) => readonly string[];
	readonly objective: 'time' | 'origin-bytes';
	readonly isImporter: boolean;
	/** When the transfer began, in milliseconds. */
	readonly startedAtMs: number;
	/** When this VM last verified a chunk, in milliseconds. */
	readonly progressAtMs: number;
	/** The origin is not asked before this time, in milliseconds. */
	readonly originNotBeforeMs: number;
	/** Since when no reachable peer of the region holds or reads a chunk, in milliseconds. */
	readonly unavailableSinceMs: (chunk: number) => number;
	/** Whether all neighbours were asked once, so that what they hold is known. */
	readonly surveyed: boolean;
	readonly stepInMs: number;
	readonly maxOpen: number;
	readonly maxOriginReads: number;
	/** A chunk's position in this VM's own random order; breaks ties so that peers ask for different chunks. */
	readonly randomRank: (chunk: number) => number;
};

type PlanState = {
	readonly input: PlanInput;
	readonly local: readonly PlanPeer[];
	readonly remote: readonly PlanPeer[];
	readonly sourceLoad: Map<string, number>;
	freeSlots: number;
	originReads: number;
};

/** An owner that has at least this many chunks left to begin is helped; with fewer, helper and owner would meet. */
const minStealableBacklog = 2;

/**
 * Plans the next transfers, most urgent first.
 *
 * @param input - what is known now
 */
export function planTransfers(input: PlanInput): PlannedTransfer[] {
	if (input.open.length >= input.maxOpen) {
		return [];
	}

	const sourceLoad = new Map<string, number>();
	for (const {source} of input.open) {
		sourceLoad.set(source, (sourceLoad.get(source) ?? 0) + 1);
	}

	const state: PlanState = {
		input,
		local: input.peers.filter(({local}) => local),
		remote: input.peers.filter(({local}) => !local),
		sourceLoad,
		freeSlots: input.maxOpen - input.open.length,
		originReads: sourceLoad.get(originSource) ?? 0,
	};
	const missing = missingChunks(input);
	return [...planImports(state, missing), ...planFromRegion(state, missing)];
}

/**
 * Tells whether a reachable peer of the region holds a chunk or reads it.
 *
 * @param input - what is known now
 * @param chunk - the chunk's position
 */
export function isAvailableInRegion(input: Pick<PlanInput, 'nowMs' | 'peers' | 'stepInMs'>, chunk: number): boolean {
	return input.peers.some(peer => peer.local && isProvider(input, peer, chunk));
}

/** Lists missing chunks that are not open, in manifest order. */
function missingChunks(input: PlanInput): number[] {
	const open = new Set(input.open.map(({chunk}) => chunk));
	const missing: number[] = [];
	for (let chunk = 0; chunk < input.held.size; chunk++) {
		if (!input.held.has(chunk) && !open.has(chunk)) {
			missing.push(chunk);
		}
	}

	return missing;
}

/** Chunks that nobody in the region holds and that are this VM's turn to bring in. */
function planImports(state: PlanState, missing: readonly number[]): PlannedTransfer[] {
	const {input} = state;
	const planned: PlannedTransfer[] = [];
	const mayImport = input.isImporter || input.nowMs - Math.max(input.startedAtMs, input.progressAtMs) >= input.stepInMs;
	if (!input.surveyed || !mayImport || state.originReads >= input.maxOriginReads) {
		return planned;
	}

	const unavailable = missing.filter(chunk => !state.local.some(peer => isProvider(input, peer, chunk)));
	const due = unavailable.filter(chunk => isDue(input, input.higherRankedInRegion(chunk), chunk));
	// An owner goes through its chunks forwards; helpers take them from the end.
	for (const chunk of due.length > 0 ? due : stealChunks(state, unavailable)) {
		if (state.freeSlots <= 0 || state.originReads >= input.maxOriginReads) {
			break;
		}

		const source = chooseImportSource(state, chunk, due.length === 0);
		if (source !== undefined) {
			planned.push(assign(state, chunk, source, false));
			state.originReads++;
		}
	}

	return planned;
}

/** Chunks of owners that fall behind, for an importer that has none of its own left; only rank 1 helps, so that helpers do not meet. */
function stealChunks({input}: PlanState, unavailable: readonly number[]): number[] {
	const higherRanked = input.objective === 'time' ? input.higherRankedInRegion : input.higherRankedGlobally;
	const backlogs = new Map<string, number[]>();
	for (const chunk of input.isImporter ? unavailable : []) {
		const owner = higherRanked(chunk)[0];
		if (owner !== undefined) {
			backlogs.set(owner, [...(backlogs.get(owner) ?? []), chunk]);
		}
	}

	return [...backlogs.values()]
		.filter(({length}) => length >= minStealableBacklog)
		.toSorted((a, b) => b.length - a.length)
		.flatMap(chunks => chunks.slice(1).toReversed().filter(chunk => higherRanked(chunk).length === 1));
}

function chooseImportSource({input, remote, sourceLoad}: PlanState, chunk: number, isStolen: boolean): string | undefined {
	const holders = remote.filter(peer => isUsable(input, peer, chunk));
	const originReady = input.nowMs >= input.originNotBeforeMs;
	if (holders.length > 0 && (input.objective === 'origin-bytes' || !originReady)) {
		return leastLoaded(holders, sourceLoad);
	}

	const importedElsewhere = remote.some(peer => isProvider(input, peer, chunk));
	if (input.objective === 'origin-bytes' && (importedElsewhere || !(isStolen || isDue(input, input.higherRankedGlobally(chunk), chunk)))) {
		return undefined;
	}

	return originReady ? originSource : undefined;
}

/** A peer that reads a chunk without progress, or holds it and does not answer, keeps nobody from bringing it in again. */
function isProvider(input: Pick<PlanInput, 'nowMs' | 'stepInMs'>, peer: PlanPeer, chunk: number): boolean {
	if (peer.banned || peer.failing) {
		return false;
	}

	if (peer.holds.has(chunk)) {
		return peer.notBeforeMs <= input.nowMs || input.nowMs - peer.contactAtMs < input.stepInMs;
	}

	return peer.reading.has(chunk) && input.nowMs - peer.progressAtMs < input.stepInMs;
}

/** Rank k waits k step-in times after the last progress of any better rank. */
function isDue(input: PlanInput, higherRanked: readonly string[], chunk: number): boolean {
	if (higherRanked.length === 0) {
		return true;
	}

	// A VM that is no importer does not watch the owners; its own progress shows that the region is supplied.
	let waitingSinceMs = Math.max(input.startedAtMs, input.unavailableSinceMs(chunk), input.isImporter ? 0 : input.progressAtMs);
	for (const peer of input.peers) {
		if (peer.progressAtMs > waitingSinceMs && higherRanked.includes(peer.vm)) {
			waitingSinceMs = peer.progressAtMs;
		}
	}

	return input.nowMs - waitingSinceMs >= higherRanked.length * input.stepInMs;
}

/** Chunks that peers of the region hold, rarest first. */
function planFromRegion(state: PlanState, missing: readonly number[]): PlannedTransfer[] {
	const {input, local, sourceLoad} = state;
	const planned: PlannedTransfer[] = [];
	const taken = new Set(input.open.map(({chunk}) => chunk));
	const candidates = missing
		.map(chunk => ({chunk, copies: local.filter(peer => peer.holds.has(chunk)).length, order: input.randomRank(chunk)}))
		.filter(({chunk, copies}) => copies > 0 && !taken.has(chunk))
		.toSorted((a, b) => a.copies - b.copies || a.order - b.order);
	for (const {chunk} of candidates) {
		if (state.freeSlots <= 0) {
			break;
		}

		const holders = local.filter(peer => isUsable(input, peer, chunk));
		const idle = holders.filter(peer => !peer.overBudget && !sourceLoad.has(peer.vm));
		if (idle.length > 0) {
			planned.push(assign(state, chunk, leastLoaded(idle, sourceLoad), false));
		} else if (holders.length > 0 && holders.every(peer => peer.overBudget) && isLastResort(state, chunk)) {
			planned.push(assign(state, chunk, leastLoaded(holders, sourceLoad), true));
		}
	}

	return planned;
}

/** While some peer still lacks the chunk, it will become a holder with budget left, unless nothing moves any more. */
function isLastResort({input, local}: PlanState, chunk: number): boolean {
	const allHold = local.every(peer => peer.holds.has(chunk));
	return allHold || input.nowMs - Math.max(input.startedAtMs, input.progressAtMs) >= input.stepInMs;
}

function isUsable(input: PlanInput, peer: PlanPeer, chunk: number): boolean {
	return !peer.banned && peer.notBeforeMs <= input.nowMs && peer.holds.has(chunk);
}

/** Prefers peers that this VM loads least, then those that have sent least, so that uploads stay even. */
function leastLoaded(peers: readonly PlanPeer[], sourceLoad: ReadonlyMap<string, number>): string {
	const load = (peer: PlanPeer) => sourceLoad.get(peer.vm) ?? 0;
	const sorted = peers.toSorted((a, b) => load(a) - load(b) || a.uploaded - b.uploaded || a.holds.count - b.holds.count);
	return sorted[0]!.vm;
}

function assign(state: PlanState, chunk: number, source: string, lastResort: boolean): PlannedTransfer {
	state.freeSlots--;
	state.sourceLoad.set(source, (state.sourceLoad.get(source) ?? 0) + 1);
	return {chunk, source, lastResort};
}
