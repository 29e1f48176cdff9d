/** Fallbacks: the last valid value of a document whose published value is invalid. */
import type {ConfigEntry} from '../messages/config-sync.ts';
import {checkDocument, checkEntry} from './check-document.ts';
import type {ConfigurationTree} from './tree.ts';

/** A valid value and the revision that published it. */
export type Fallback = NonNullable<ConfigEntry['fallback']>;

/**
 * Returns the value that stays in use when the next value of an entry is invalid.
 *
 * @param entry - the entry before the change
 */
export function lastValidValue(entry: ConfigEntry | undefined): Fallback | undefined {
	if (!entry || entry.value === null) {
		return undefined;
	}

	return checkEntry(entry).ok ? {revision: entry.revision, value: entry.value} : entry.fallback;
}

/** Returns the newer of two fallbacks. Ties are broken by value, so that all processes converge in any order of arrival. */
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
 * Merges newer fallbacks of a peer that has the same published documents.
 *
 * @param entries - the peer's entries that have a fallback
 * @returns the same tree object when no fallback is newer
 */
export function mergeFallbacks(tree: ConfigurationTree, entries: readonly ConfigEntry[]): ConfigurationTree {
	const merged = new Map(tree.entries);
	let changed = false;
	for (const {path, revision, fallback} of entries) {
		const local = merged.get(path);
		const isUsable = local?.revision === revision && fallback !== undefined && !checkEntry(local).ok && checkDocument(path, fallback.value).ok;
		const newer = isUsable ? newerFallback(local.fallback, fallback) : local?.fallback;
		if (local && newer !== local.fallback) {
			merged.set(path, {...local, fallback: newer});
			changed = true;
		}
	}

	return changed ? {revision: tree.revision, entries: merged} : tree;
}
