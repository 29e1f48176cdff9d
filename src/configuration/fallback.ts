/** The last good value of a document whose published value failed its check. */
import type {ConfigEntry} from '../messages/config-sync.ts';
import {checkDocument, checkEntry} from './check-document.ts';
import type {ConfigurationTree} from './tree.ts';

/** A last good value and the revision that published it. */
export type Fallback = NonNullable<ConfigEntry['fallback']>;

/**
 * Returns what stays in force when the next value of an entry is not valid.
 *
 * @param entry - the entry before the change
 */
export function lastValidValue(entry: ConfigEntry | undefined): Fallback | undefined {
	if (!entry || entry.value === null) {
		return undefined;
	}

	return checkEntry(entry).ok ? {revision: entry.revision, value: entry.value} : entry.fallback;
}

/**
 * Returns the newer of two last good values; every process chooses the same one in any order of arrival.
 *
 * @param a - one value
 * @param b - the other value
 */
export function newerFallback(a: Fallback | undefined, b: Fallback | undefined): Fallback | undefined {
	if (!a || !b) {
		return a ?? b;
	}

	if (a.revision !== b.revision) {
		return a.revision > b.revision ? a : b;
	}

	return JSON.stringify(a.value) >= JSON.stringify(b.value) ? a : b;
}

/**
 * Takes the newer last good values of a peer that has the same documents.
 *
 * @param tree - the tree in force
 * @param entries - the peer's entries that carry a last good value
 * @returns the same tree when nothing is newer
 */
export function mergeFallbacks(tree: ConfigurationTree, entries: readonly ConfigEntry[]): ConfigurationTree {
	const merged = new Map(tree.entries);
	let changed = false;
	for (const {path, revision, fallback} of entries) {
		const own = merged.get(path);
		const isUsable = own?.revision === revision && fallback !== undefined && !checkEntry(own).ok && checkDocument(path, fallback.value).ok;
		const better = isUsable ? newerFallback(own.fallback, fallback) : own?.fallback;
		if (own && better !== own.fallback) {
			merged.set(path, {...own, fallback: better});
			changed = true;
		}
	}

	return changed ? {revision: tree.revision, entries: merged} : tree;
}
