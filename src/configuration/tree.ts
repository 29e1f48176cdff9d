/** The configuration tree, with its digests and size. */
import {Buffer} from 'node:buffer';
import {digestOf, type Digest} from '../ids/digest.ts';
import {noRevision, type Revision} from '../ids/revision.ts';
import type {ConfigEntry} from '../messages/config-sync.ts';

/** All entries of the configuration at one revision. */
export type ConfigurationTree = {
	readonly revision: Revision;
	/** Entries by path. Deleted paths are kept for a while as tombstones, entries with a null value, so that deltas include them. */
	readonly entries: ReadonlyMap<string, ConfigEntry>;
};

/** The tree before anything was published. */
export const emptyTree: ConfigurationTree = {revision: noRevision, entries: new Map()};

/** Number of revisions for which a tombstone is kept; about one day at the design size. */
export const tombstoneRetentionRevisions = 3000;

type EntrySummary = {readonly digest: string; readonly bytes: number};

// Entries are immutable, so a new revision hashes only the documents that changed.
const summaryByEntry = new WeakMap<ConfigEntry, EntrySummary>();

/**
 * Computes the digest of a tree over its revision and the path, revision and value of all existing entries.
 *
 * Tombstones are left out, since a full read of the service may no longer return them.
 */
export function digestOfTree(tree: ConfigurationTree): Digest {
	const existing = [...tree.entries.values()].filter(entry => entry.value !== null);
	return digestOf(`${tree.revision}\n${sortByPath(existing).map(entry => summaryOf(entry).digest).join('\n')}`);
}

/** Computes the digest of a tree's fallbacks. */
export function digestOfFallbacks(tree: ConfigurationTree): Digest {
	const lines = sortByPath(fallbackEntries(tree)).map(({path, fallback}) => JSON.stringify([path, fallback?.revision, fallback?.value]));
	return digestOf(lines.join('\n'));
}

/** Returns the entries that have a fallback. */
export function fallbackEntries(tree: ConfigurationTree): ConfigEntry[] {
	return [...tree.entries.values()].filter(entry => entry.fallback !== undefined);
}

/** Returns the size of all entries of a tree, serialized as JSON, in bytes; fallbacks don't count. */
export function treeSizeBytes(tree: ConfigurationTree): number {
	let bytes = 0;
	for (const entry of tree.entries.values()) {
		bytes += summaryOf(entry).bytes;
	}

	return bytes;
}

/** Returns whether two entries have the same path, revision and value. */
export function isSameEntry(a: ConfigEntry, b: ConfigEntry): boolean {
	return a === b || summaryOf(a).digest === summaryOf(b).digest;
}

function summaryOf(entry: ConfigEntry): EntrySummary {
	let summary = summaryByEntry.get(entry);
	if (!summary) {
		const text = JSON.stringify([entry.path, entry.revision, entry.value]);
		summary = {digest: digestOf(text), bytes: Buffer.byteLength(text)};
		summaryByEntry.set(entry, summary);
	}

	return summary;
}

function sortByPath(entries: readonly ConfigEntry[]): ConfigEntry[] {
	return entries.toSorted((a, b) => (a.path < b.path ? -1 : 1));
}
