/** Decides which chunk is downloaded next and from which source. Pure functions: no I/O, no clock. */
import type {ChunkBitmap} from './chunk-bitmap.ts';

/** The name of the origin as a source. */
export const originSource = 'origin';

/** What the plan needs to know about a peer. */
export type PlanPeer = {
	readonly vm: string;
	/** Whether the peer is in this VM's region. */
	readonly local: boolean;
	readonly holds: ChunkBitmap;
	/** Chunks that the peer is reading from outside its region. */
	readonly reading: ChunkBitmap;
	/** Copies of the version that the peer has uploaded. */
	readonly uploaded: number;
	/** The earliest time of the next request after a refusal or failure, in milliseconds. */
	readonly notBeforeMs: number;
	/** Whether the peer sent corrupt data of this version. */
	readonly banned: boolean;
	/** When the peer last made progress, in milliseconds. */
	readonly progressAtMs: number;
	/** When the peer's last notice was received, in milliseconds. */
	readonly contactAtMs: number;
	/** Whether several consecutive downloads from the peer failed. It may still answer notices. */
	readonly failing: boolean;
	/** Whether the peer has not answered for so long that it counts as unreachable. */
	readonly silent: boolean;
	/** Whether the peer reported that its upload budget is used up. */
	readonly overBudget: boolean;
};

/** A download in progress. */
export type OpenTransfer = {readonly chunk: number; readonly source: string; readonly startedAtMs: number; readonly receivedBytes: number};

/** A download to start; `lastResort` asks the peer to ignore its upload budget. */
export type PlannedTransfer = {readonly chunk: number; readonly source: string; readonly lastResort: boolean};

/** The input of the plan. */
export type PlanInput = {
	readonly nowMs: number;
	readonly held: ChunkBitmap;
	readonly open: readonly OpenTransfer[];
	readonly peers: readonly PlanPeer[];
	/** Returns the VMs of the region that rank above this one for a chunk. */
	readonly higherRankedInRegion: (chunk: number) => readonly string[];
	/** Returns the VMs of all regions that rank above this one for a chunk. */
	readonly higherRankedGlobally: (chunk: number) => readonly string[];
	/** Whether the rollout minimizes its duration or the bytes read from the origin. */
	readonly objective: 'time' | 'origin-bytes';
	/** Whether this VM reads from outside its region by default; others do so only when the importers make no progress. */
	readonly isImporter: boolean;
	/** When the transfer began, in milliseconds. */
	readonly startedAtMs: number;
	/** When this VM last verified a chunk, in milliseconds. */
	readonly progressAtMs: number;
	/** The earliest time of the next origin request, in milliseconds. */
	readonly originNotBeforeMs: number;
	/** Returns since when no reachable peer of the region holds or imports a chunk, in milliseconds. */
	readonly unavailableSinceMs: (chunk: number) => number;
	/** Whether a survey of the neighbours is complete, so that it is known which chunks they hold. */
	readonly surveyed: boolean;
	/** How long a VM waits without progress of the higher ranks before it takes over their imports, in milliseconds. */
	readonly stepInMs: number;
	readonly maxOpen: number;
	readonly maxOriginReads: number;
	/** Returns a chunk's position in a random order specific to this VM; breaks ties so that VMs request different chunks. */
	readonly randomRank: (chunk: number) => number;
};

type PlanState = {
	readonly input: PlanInput;
	readonly local: readonly PlanPeer[];
	readonly remote: readonly PlanPeer[];
	readonly sourceLoad: Map<string, number>;
	readonly plannedChunks: Set<number>;
	freeSlots: number;
	originReads: number;
};

/** An owner with at least this many chunks left to import has some of them taken over by other importers. With fewer, both would read the same chunk. */
const minStealableBacklog = 2;

/** Plans the next downloads, most urgent first. */
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
		plannedChunks: new Set(),
		freeSlots: input.maxOpen - input.open.length,
		originReads: sourceLoad.get(originSource) ?? 0,
	};
	const missing = missingChunks(input);
	return [...planImports(state, missing), ...planFromRegion(state, missing)];
}

/**
 * Returns whether a reachable peer of the region holds a chunk or is importing it.
 *
 * @param input - the peers and the time
 * @param chunk - the chunk's position
 */
export function isAvailableInRegion(input: Pick<PlanInput, 'nowMs' | 'peers' | 'stepInMs'>, chunk: number): boolean {
	return input.peers.some(peer => peer.local && isProvider(input, peer, chunk));
}

/** Returns the chunks that are neither held nor being downloaded, in manifest order. */
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

/** Plans imports: chunks that are unavailable in the region and due to be imported by this VM. */
function planImports(state: PlanState, missing: readonly number[]): PlannedTransfer[] {
	const {input} = state;
	const planned: PlannedTransfer[] = [];
	const mayImport = input.isImporter || input.nowMs - Math.max(input.startedAtMs, input.progressAtMs) >= input.stepInMs;
	if (!input.surveyed || !mayImport) {
		return planned;
	}

	const unavailable = missing.filter(chunk => !state.local.some(peer => isProvider(input, peer, chunk)));
	const due = unavailable.filter(chunk => isDue(input, input.higherRankedInRegion(chunk), chunk));
	// An owner imports its chunks in manifest order; other importers take chunks from the end of its backlog.
	const isStealing = due.length === 0 && state.originReads < input.maxOriginReads;
	for (const chunk of isStealing ? stealChunks(state, unavailable).slice(0, 1) : due) {
		if (state.freeSlots <= 0) {
			break;
		}

		const source = chooseImportSource(state, chunk, isStealing);
		// Reads from other regions go on while the origin, whose link is shared by all importers, is being read.
		if (source !== undefined && (source !== originSource || state.originReads < input.maxOriginReads)) {
			planned.push(assign(state, chunk, source, false));
			state.originReads += source === originSource ? 1 : 0;
		}
	}

	return planned;
}

/** Work stealing: returns chunks of owners that fall behind, for an importer without due chunks. Only the importer ranked directly below the owner takes a chunk, so that no two importers take the same one. */
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

function chooseImportSource(state: PlanState, chunk: number, isStolen: boolean): string | undefined {
	const {input, remote, sourceLoad} = state;
	const holders = remote.filter(peer => isUsable(input, peer, chunk));
	const workingHolders = holders.filter(({failing, silent}) => !failing && !silent);
	const originReady = input.nowMs >= input.originNotBeforeMs;
	if (workingHolders.length > 0 && (input.objective === 'origin-bytes' || !originReady)) {
		return leastLoaded(workingHolders, sourceLoad);
	}

	const importedElsewhere = remote.some(peer => isProvider(input, peer, chunk));
	const mayReadOrigin = input.objective === 'time' || (!importedElsewhere && (isStolen || isDue(input, input.higherRankedGlobally(chunk), chunk)));
	if (originReady && mayReadOrigin) {
		return originSource;
	}

	// A holder that has failed may work again; the only one may also have left for good, so that it never keeps the origin from being read.
	const tried = holders.filter(peer => mayAsk(state, peer));
	return tried.length > 0 ? leastLoaded(tried, sourceLoad) : undefined;
}

/** Returns whether a peer holds or imports a chunk, so that it need not be imported again. A peer that does not answer and an importer without progress do not count. */
function isProvider(input: Pick<PlanInput, 'nowMs' | 'stepInMs'>, peer: PlanPeer, chunk: number): boolean {
	if (peer.banned || peer.failing || peer.silent) {
		return false;
	}

	if (peer.holds.has(chunk)) {
		return peer.notBeforeMs <= input.nowMs || input.nowMs - peer.contactAtMs < input.stepInMs;
	}

	return peer.reading.has(chunk) && input.nowMs - peer.progressAtMs < input.stepInMs;
}

/** Returns whether it is this VM's turn to import a chunk. The VM of rank k among those that are not silent, with the owner at rank 0, waits k times `stepInMs` after the last progress of any higher rank. */
function isDue(input: PlanInput, ranked: readonly string[], chunk: number): boolean {
	const higherRanked = ranked.length === 0 ? ranked : withoutSilent(input, ranked);
	if (higherRanked.length === 0) {
		return true;
	}

	// A VM that is not an importer does not watch the owners. Its own progress shows that the region still receives chunks.
	let waitingSinceMs = Math.max(input.startedAtMs, input.unavailableSinceMs(chunk), input.isImporter ? 0 : input.progressAtMs);
	for (const peer of input.peers) {
		if (peer.progressAtMs > waitingSinceMs && higherRanked.includes(peer.vm)) {
			waitingSinceMs = peer.progressAtMs;
		}
	}

	return input.nowMs - waitingSinceMs >= higherRanked.length * input.stepInMs;
}

/** Removes the VMs that are known to be unreachable. */
function withoutSilent(input: PlanInput, vms: readonly string[]): readonly string[] {
	const silent = input.peers.filter(peer => peer.silent);
	return silent.length === 0 ? vms : vms.filter(vm => silent.every(peer => peer.vm !== vm));
}

/** Plans downloads from peers of the region, rarest chunk first. */
function planFromRegion(state: PlanState, missing: readonly number[]): PlannedTransfer[] {
	const {input, local, sourceLoad} = state;
	const planned: PlannedTransfer[] = [];
	const taken = new Set(input.open.map(({chunk}) => chunk));
	const reachable = local.filter(peer => !peer.silent);
	const candidates = missing
		.map(chunk => ({chunk, copies: reachable.filter(peer => peer.holds.has(chunk)).length, order: input.randomRank(chunk)}))
		.filter(({chunk, copies}) => copies > 0 && !taken.has(chunk))
		.toSorted((a, b) => a.copies - b.copies || a.order - b.order);
	for (const {chunk} of candidates) {
		if (state.freeSlots <= 0) {
			break;
		}

		const holders = reachable.filter(peer => isUsable(input, peer, chunk));
		const idle = holders.filter(peer => !peer.overBudget && !sourceLoad.has(peer.vm));
		if (idle.length > 0) {
			planned.push(assign(state, chunk, leastLoaded(idle, sourceLoad), false));
		} else if (holders.length > 0 && holders.every(peer => peer.overBudget) && isLastResort(state, chunk)) {
			planned.push(assign(state, chunk, leastLoaded(holders, sourceLoad), true));
		}
	}

	return [...planned, ...planProbe(state, missing)];
}

/** Plans one download from a silent peer of the region when nothing better is left to do, since messages to it may be lost while connections work. */
function planProbe(state: PlanState, missing: readonly number[]): PlannedTransfer[] {
	const silent = state.freeSlots > 0 ? state.local.filter(peer => peer.silent && mayAsk(state, peer)) : [];
	for (const peer of silent) {
		const chunk = missing.find(item => isUsable(state.input, peer, item) && !state.plannedChunks.has(item));
		if (chunk !== undefined) {
			return [assign(state, chunk, peer.vm, false)];
		}
	}

	return [];
}

/** Returns whether a download from a peer may be planned. One at a time may ask a silent peer, since it occupies a slot until its timeout. */
function mayAsk({input, sourceLoad}: PlanState, peer: PlanPeer): boolean {
	return !peer.silent || input.peers.every(({vm, silent}) => !silent || !sourceLoad.has(vm));
}

/** Returns whether a holder is to be asked beyond its upload budget. A peer that still lacks the chunk will become a holder with budget left, unless the transfer makes no progress. */
function isLastResort({input, local}: PlanState, chunk: number): boolean {
	const allHold = local.every(peer => peer.holds.has(chunk));
	return allHold || input.nowMs - Math.max(input.startedAtMs, input.progressAtMs) >= input.stepInMs;
}

function isUsable(input: PlanInput, peer: PlanPeer, chunk: number): boolean {
	return !peer.banned && peer.notBeforeMs <= input.nowMs && peer.holds.has(chunk);
}

/** Selects the peer with the fewest downloads of this VM, then the one that has uploaded least, to balance uploads. */
function leastLoaded(peers: readonly PlanPeer[], sourceLoad: ReadonlyMap<string, number>): string {
	const load = (peer: PlanPeer) => sourceLoad.get(peer.vm) ?? 0;
	const sorted = peers.toSorted((a, b) => load(a) - load(b) || a.uploaded - b.uploaded || a.holds.count - b.holds.count);
	return sorted[0]!.vm;
}

/** Reserves a download slot for a planned download. */
function assign(state: PlanState, chunk: number, source: string, lastResort: boolean): PlannedTransfer {
	state.freeSlots--;
	state.plannedChunks.add(chunk);
	state.sourceLoad.set(source, (state.sourceLoad.get(source) ?? 0) + 1);
	return {chunk, source, lastResort};
}
