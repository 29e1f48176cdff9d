/** Rendezvous hashing: all processes rank the same members in the same order without communicating. */
import xxhash, {type XXHashAPI} from 'xxhash-wasm';

let hasher: XXHashAPI | undefined;

/**
 * Compiles the WebAssembly hash function. Every program must await this once before it uses the other functions.
 *
 * It is not a top-level await, because the single executable runs CommonJS.
 */
export async function initRendezvousHash(): Promise<void> {
	hasher = await xxhash();
}

/**
 * Orders members by their rendezvous rank for a key, highest rank first.
 *
 * @param key - the key that is assigned to members
 * @param members - the ids of the members
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
 * Returns the member with the highest rendezvous rank for a key, without sorting the members.
 *
 * It uses a cheaper hash than {@link rankMembers}, so the two may select different members for the same key.
 *
 * @param key - the key that is assigned to a member
 * @param idOf - returns the id of a member
 * @returns undefined if there are no members
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
		// The hash of the key is the seed for hashing the short id, so a long key such as a prompt prefix is hashed once, not once per member.
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
