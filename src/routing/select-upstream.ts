/** Load balancing: selects an upstream by zone, prefix affinity and load. */
import type {Member} from '../membership/member.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import {selectMember} from '../runtime/rendezvous.ts';

/** Load as a fraction of capacity above which calls spill over to other zones, or to the previous version of a model. */
export const spilloverThreshold = 0.9;

/** The prefix owner is selected while its projected load is at most this multiple of the candidates' mean. */
export const affinityLoadFactor = 1.25;

/** A usable upstream that can run the call. */
export type Candidate = {
	readonly member: Member;
	/** Calls that this entry has in flight at the upstream. */
	readonly ownCalls: number;
	/** Estimated number of calls that the upstream runs or queues. */
	readonly load: number;
	/** Number of calls that the upstream can run at once, reduced during slow start after an ejection. */
	readonly capacity: number;
};

/** Inputs of the selection. */
export type SelectionInput = {
	readonly candidates: readonly Candidate[];
	/** The entry's own zone. */
	readonly zone: string;
	/** The start of the prompt. Calls with the same prefix go to the same upstream, which may have the prefix cached. */
	readonly prefix?: string | undefined;
};

/**
 * Selects the prefix owner while its load is within the affinity bound, otherwise one of two random candidates by load.
 *
 * Other zones are considered only while the own zone has no candidate or its load exceeds {@link spilloverThreshold}.
 *
 * @param input - the candidates, the entry's zone and the prompt's prefix
 * @param random - source of the random choices
 * @returns undefined without candidates
 */
export function selectUpstream(input: SelectionInput, random: RandomSource): Candidate | undefined {
	const pool = filterByZone(input);
	if (pool.length === 0) {
		return undefined;
	}

	return findPrefixOwner(pool, input.prefix) ?? selectByTwoRandomChoices(pool, random);
}

/** Returns the load per capacity that an upstream would have with one more call. */
export function projectedLoad(candidate: Candidate): number {
	return (candidate.load + 1) / candidate.capacity;
}

/** Returns the candidates in the own zone, or all when there are none or their load exceeds {@link spilloverThreshold}. */
export function filterByZone({candidates, zone}: SelectionInput): readonly Candidate[] {
	const local = candidates.filter(({member}) => member.zone === zone);
	if (local.length === 0 || local.length === candidates.length) {
		return candidates;
	}

	let load = 0;
	let capacity = 0;
	for (const candidate of local) {
		load += candidate.load;
		capacity += candidate.capacity;
	}

	return load > spilloverThreshold * capacity ? candidates : local;
}

/** Returns the mean of {@link projectedLoad} over the candidates, weighted by capacity. */
export function meanProjectedLoad(pool: readonly Candidate[]): number {
	let load = 0;
	let capacity = 0;
	for (const candidate of pool) {
		load += candidate.load + 1;
		capacity += candidate.capacity;
	}

	return load / capacity;
}

/** Finds the owner of a prefix by rendezvous hashing; undefined when its load exceeds the affinity bound. */
function findPrefixOwner(pool: readonly Candidate[], prefix: string | undefined): Candidate | undefined {
	if (prefix === undefined) {
		return undefined;
	}

	const owner = selectMember(prefix, pool, ({member}) => member.vm);
	return owner && projectedLoad(owner) <= affinityLoadFactor * meanProjectedLoad(pool) ? owner : undefined;
}

/** Power of two choices: draws two of the candidates with the fewest own calls per capacity and selects the less loaded one. */
function selectByTwoRandomChoices(pool: readonly Candidate[], random: RandomSource): Candidate | undefined {
	const leastUsed = withFewestOwnCalls(pool);
	const firstIndex = random.nextInt(leastUsed.length);
	const first = leastUsed[firstIndex];
	if (leastUsed.length === 1) {
		return first;
	}

	// The second draw is from the remaining candidates, so that the two differ.
	const secondIndex = random.nextInt(leastUsed.length - 1);
	const second = leastUsed[secondIndex < firstIndex ? secondIndex : secondIndex + 1];
	return first && second && projectedLoad(second) < projectedLoad(first) ? second : first;
}

function withFewestOwnCalls(pool: readonly Candidate[]): Candidate[] {
	let least: Candidate[] = [];
	let lowestLoad = Number.POSITIVE_INFINITY;
	for (const candidate of pool) {
		const ownLoad = (candidate.ownCalls + 1) / candidate.capacity;
		if (ownLoad < lowestLoad) {
			least = [candidate];
			lowestLoad = ownLoad;
		} else if (ownLoad === lowestLoad) {
			least.push(candidate);
		}
	}

	return least;
}
