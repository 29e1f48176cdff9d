/** Chooses an upstream for a call. */
import type {Member} from '../membership/member.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import {bestMember} from '../runtime/rendezvous.ts';

/** Mean load of the own zone, as a share of its capacity, above which other zones are considered. */
export const spillThreshold = 0.9;

/** The prefix owner is chosen while its load is at most this multiple of the candidates' mean. */
export const affinityBound = 1.25;

/** A usable upstream that can run the call. */
export type Candidate = {
	readonly member: Member;
	/** Own calls in flight there. */
	readonly own: number;
	/** Calls that it runs or queues, as far as the entry knows. */
	readonly load: number;
	/** Calls that it can run at once; reduced while it returns from an ejection. */
	readonly capacity: number;
};

/** What the choice depends on. */
export type Selection = {
	readonly candidates: readonly Candidate[];
	/** The zone of the entry. */
	readonly zone: string;
	/** The start of the prompt, to prefer the upstream that has it cached. */
	readonly prefix?: string | undefined;
};

/**
 * Chooses the prefix owner while its load is within its bound, otherwise the less loaded of two random candidates.
 *
 * Other zones take part only while the own zone has no candidate or is loaded over the threshold.
 *
 * @param selection - candidates and what is known of them
 * @param random - draws the candidates
 * @returns undefined when there is no candidate
 */
export function selectUpstream(selection: Selection, random: RandomSource): Candidate | undefined {
	const pool = poolOf(selection);
	if (pool.length === 0) {
		return undefined;
	}

	return findPrefixOwner(pool, selection.prefix) ?? chooseOfTwo(pool, random);
}

/**
 * Returns the load relative to the capacity, with the call that is to be placed.
 *
 * @param candidate - the upstream
 */
export function loadWithCall(candidate: Candidate): number {
	return (candidate.load + 1) / candidate.capacity;
}

/** Returns the candidates that take part: the own zone's, or all of them. */
export function poolOf({candidates, zone}: Selection): readonly Candidate[] {
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

	return load > spillThreshold * capacity ? candidates : local;
}

/** Returns {@link loadWithCall} of the candidates taken together. */
export function meanLoad(pool: readonly Candidate[]): number {
	let load = 0;
	let capacity = 0;
	for (const candidate of pool) {
		load += candidate.load + 1;
		capacity += candidate.capacity;
	}

	return load / capacity;
}

function findPrefixOwner(pool: readonly Candidate[], prefix: string | undefined): Candidate | undefined {
	if (prefix === undefined) {
		return undefined;
	}

	const owner = bestMember(prefix, pool, ({member}) => member.vm);
	return owner && loadWithCall(owner) <= affinityBound * meanLoad(pool) ? owner : undefined;
}

/** Of the candidates with the fewest own calls, two are drawn and the one with the lower load is chosen. */
function chooseOfTwo(pool: readonly Candidate[], random: RandomSource): Candidate | undefined {
	const least = withFewestOwnCalls(pool);
	const first = random.below(least.length);
	const a = least[first];
	if (least.length === 1) {
		return a;
	}

	// The second draw skips the first one, so that the two differ.
	const second = random.below(least.length - 1);
	const b = least[second < first ? second : second + 1];
	return a && b && loadWithCall(b) < loadWithCall(a) ? b : a;
}

function withFewestOwnCalls(pool: readonly Candidate[]): Candidate[] {
	let least: Candidate[] = [];
	let fewest = Number.POSITIVE_INFINITY;
	for (const candidate of pool) {
		const own = (candidate.own + 1) / candidate.capacity;
		if (own < fewest) {
			least = [candidate];
			fewest = own;
		} else if (own === fewest) {
			least.push(candidate);
		}
	}

	return least;
}
