/** A configuration tree: entries by path at one revision, with their digests and sizes. */
import {Buffer} from 'node:buffer';
import {digestOf, type Digest} from '../ids/digest.ts';
import {noRevision, type Revision} from '../ids/revision.ts';
import type {ConfigEntry} from '../messages/config-sync.ts';

/** A whole tree of entries at one revision. */
export type ConfigurationTree = {
	readonly revision: Revision;
	/** Entries by path; deleted paths stay for a while as entries with a null value, so that deltas carry them. */
	readonly entries: ReadonlyMap<string, ConfigEntry>;
};

/** The tree before anything was published. */
export const emptyTree: ConfigurationTree = {revision: noRevision, entries: new Map()};

/** For how many revisions a deleted path is remembered; about one day at the design size. */
export const tombstoneRetentionRevisions = 3000;

type EntryFacts = {readonly digest: string; readonly bytes: number};

// Entries never change once they are in a tree, so that a change of one document hashes only that document.
const factsByEntry = new WeakMap<ConfigEntry, EntryFacts>();

/**
 * Computes the digest of a tree over path, revision and value of all entries that exist.
 *
 * Deleted paths are left out: a whole read of the service may no longer name them.
 *
 * @param tree - the tree
 */
export function digestOfTree(tree: ConfigurationTree): Digest {
	const existing = [...tree.entries.values()].filter(entry => entry.value !== null);
	return digestOf(`${tree.revision}\n${sortByPath(existing).map(entry => factsOf(entry).digest).join('\n')}`);
}

/**
 * Computes the digest of the last good values that a tree carries.
 *
 * @param tree - the tree
 */
export function digestOfFallbacks(tree: ConfigurationTree): Digest {
	const lines = sortByPath(fallbackEntries(tree)).map(({path, fallback}) => JSON.stringify([path, fallback?.revision, fallback?.value]));
	return digestOf(lines.join('\n'));
}

/**
 * Returns the entries that carry a last good value.
 *
 * @param tree - the tree
 */
export function fallbackEntries(tree: ConfigurationTree): ConfigEntry[] {
	return [...tree.entries.values()].filter(entry => entry.fallback !== undefined);
}

/**
 * Returns the size of all documents of a tree in bytes of JSON.
 *
 * @param tree - the tree
 */
export function treeSizeBytes(tree: ConfigurationTree): number {
	let bytes = 0;
	for (const entry of tree.entries.values()) {
		bytes += factsOf(entry).bytes;
	}

	return bytes;
}

/**
 * Tells whether two entries publish the same value at the same revision.
 *
 * @param a - one entry
 * @param b - the other entry
 */
export function isSameEntry(a: ConfigEntry, b: ConfigEntry): boolean {
	return a === b || factsOf(a).digest === factsOf(b).digest;
}

function factsOf(entry: ConfigEntry): EntryFacts {
	let facts = factsByEntry.get(entry);
	if (!facts) {
		const text = JSON.stringify([entry.path, entry.revision, entry.value]);
		facts = {digest: digestOf(text), bytes: Buffer.byteLength(text)};
		factsByEntry.set(entry, facts);
	}

	return facts;
}

function sortByPath(entries: readonly ConfigEntry[]): ConfigEntry[] {
	return entries.toSorted((a, b) => (a.path < b.path ? -1 : 1));
}
