/** Rendezvous hashing: every process ranks the same members in the same order without talking. */
import xxhash, {type XXHashAPI} from 'xxhash-wasm';

let hasher: XXHashAPI | undefined;

/**
 * Compiles the hash function; every program awaits it once before it ranks anything.
 *
 * It is no top-level await, since the single executable runs CommonJS.
 */
export async function prepareRendezvous(): Promise<void> {
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
		throw new Error('prepareRendezvous() must be awaited before members are ranked');
	}

	const {h64} = hasher;
	const scored = members.map(id => ({id, score: h64(`${key}/${id}`)}));
	scored.sort((a, b) => compare(b.score, a.score) || compare(a.id, b.id));
	return scored.map(({id}) => id);
}

function compare(a: bigint | string, b: bigint | string): number {
	if (a === b) {
		return 0;
	}

	return a < b ? -1 : 1;
}
