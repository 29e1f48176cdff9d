/** Finds out whether the configuration service still has the history that the tree in force comes from. */
import type {Revision} from '../ids/revision.ts';
import type {ConfigEntry} from '../messages/config-sync.ts';
import {type ConfigurationTree, isSameEntry} from './tree.ts';

/**
 * How many revisions before the one in force are compared at each read.
 *
 * A service that was restored and published again under used numbers goes unnoticed only when its last 16 publications are the same.
 */
export const overlapRevisions = 16;

/**
 * Tells whether an answer of the service that overlaps the tree in force has the same entries in the overlap.
 *
 * @param tree - the tree in force
 * @param after - the answer has all entries that changed after this revision
 * @param entries - the answer's entries
 */
export function hasSameHistory(tree: ConfigurationTree, after: Revision, entries: readonly ConfigEntry[]): boolean {
	const answered = new Map(entries.map(entry => [entry.path, entry]));
	const isKnown = entries.every(entry => {
		const own = tree.entries.get(entry.path);
		return entry.revision > tree.revision || (own === undefined ? entry.value === null : isSameEntry(own, entry));
	});
	// An own entry of the overlap must be there, the same or overwritten since; a deletion may have been dropped by the service.
	return isKnown && [...tree.entries.values()].every(own => {
		const entry = answered.get(own.path);
		return own.revision <= after || (entry === undefined ? own.value === null : entry.revision > tree.revision || isSameEntry(own, entry));
	});
}
