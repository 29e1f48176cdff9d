/** Detects whether the configuration service still has the history that the current tree was built from. */
import type {Revision} from '../ids/revision.ts';
import type {ConfigEntry} from '../messages/config-sync.ts';
import {type ConfigurationTree, isSameEntry} from './tree.ts';

/**
 * Number of revisions before the current one that each read compares.
 *
 * When the service is restored from a backup and publishes again under used revision numbers, the divergence is missed only if its
 * last 16 publications are the same.
 */
export const overlapRevisions = 16;

/**
 * Compares a response of the service with the current tree, in the revisions that both cover.
 *
 * @param after - the response has all entries that changed after this revision
 * @param entries - the entries of the response
 * @returns false when an entry in the overlap differs
 */
export function hasSameHistory(tree: ConfigurationTree, after: Revision, entries: readonly ConfigEntry[]): boolean {
	const responseEntries = new Map(entries.map(entry => [entry.path, entry]));
	const matchesLocalEntries = entries.every(entry => {
		const local = tree.entries.get(entry.path);
		return entry.revision > tree.revision || (local === undefined ? entry.value === null : isSameEntry(local, entry));
	});
	// Each local entry in the overlap must be in the response, unchanged or overwritten since; the service may have dropped tombstones.
	return matchesLocalEntries && [...tree.entries.values()].every(local => {
		const entry = responseEntries.get(local.path);
		return local.revision <= after || (entry === undefined ? local.value === null : entry.revision > tree.revision || isSameEntry(local, entry));
	});
}
