/** Rendezvous hashing: every process ranks the same members in the same order without talking. */
import xxhash, {type XXHashAPI} from 'xxhash-wasm';

let hasher: XXHashAPI | undefined;

/**
 * Compiles the hash function; every program awaits it once before it ranks anything.
 *
 * It is no top-level await, since the single executable runs CommonJS.
 */
export async function initRendezvousHash(): Promise<void> {
	hasher = await xxhash();
}

/**
 * Orders members by their rendezvous rank for a key, best first.
 *
 * @param key - what is placed
 * @param members - ids of the candidates
 * @example
 * rankMembers('chunk-7', ['vm-a', 'vm-b']); // the owner of chunk-7 comes first
 */
export function rankMembers<Id extends string>(key: string, members: readonly Id[]): Id[] {
	if (!hasher) {
		throw new Error('initRendezvousHash() must be awaited before members are ranked');
	}

	const {h64} = hasher;
	const scored = members.map(id => ({id, score: h64(`${key}/${id}`)}));
	scored.sort((a, b) => compare(b.score, a.score) || compare(a.id, b.id));
	return scored.map(({id}) => id);
}

/**
 * Returns the member with the best rendezvous rank for a key, without ranking the others.
 *
 * @param key - what is placed
 * @param members - the candidates
 * @param idOf - returns a candidate's id
 */
export function selectMember<Item>(key: string, members: readonly Item[], idOf: (item: Item) => string): Item | undefined {
	if (!hasher) {
		throw new Error('initRendezvousHash() must be awaited before members are ranked');
	}

	const {h32} = hasher;
	const seed = h32(key);
	let best: Item | undefined;
	let bestScore = -1;
	for (const item of members) {
		// The key's hash seeds the hash of the short id; a long prompt prefix is read once, not once per member.
		const score = h32(idOf(item), seed);
		if (score > bestScore) {
			best = item;
			bestScore = score;
		}
	}

	return best;
}

function compare(a: bigint | string, b: bigint | string): number {
	if (a === b) {
		return 0;
	}

	return a < b ? -1 : 1;
}
