/** Decides whether a received configuration replaces the one in force. */
import type {Digest} from '../ids/digest.ts';
import type {Revision} from '../ids/revision.ts';
import type {ConfigEntry} from '../messages/config-sync.ts';
import type {Finding} from '../runtime/finding.ts';
import {checkEntry} from './check-document.ts';
import {newerFallback, lastValidValue} from './fallback.ts';
import {
	treeSizeBytes, type ConfigurationTree, tombstoneRetentionRevisions, digestOfTree,
} from './tree.ts';

/** The largest tree that is put in force, in bytes of documents; a quarter of the 32 MB that control may use. */
export const maxTreeBytes = 8 * 1024 * 1024;

/** A received configuration. */
export type ConfigurationUpdate = {
	readonly revision: Revision;
	/** True when `entries` is the whole tree, false when they are changes to the tree at revision `base`. */
	readonly whole: boolean;
	/** The revision that the changes start from. */
	readonly base: Revision;
	readonly entries: readonly ConfigEntry[];
	/** The digest that the tree must have; absent from the configuration service, which sends none. */
	readonly digest?: string;
};

/** Why an update was not put in force. */
export type RejectionReason =
	/** A lower revision than the one in force. */
	| 'older'
	/** The tree in force itself. */
	| 'same'
	/** The revision in force with other content. */
	| 'conflict'
	/** The changes do not lead to the announced tree: only the whole tree helps. */
	| 'incomplete'
	/** More documents than a process may hold. */
	| 'oversized';

/** The decision. */
export type UpdateDecision =
	| {readonly accepted: true; readonly tree: ConfigurationTree; readonly digest: Digest; readonly findings: readonly Finding[]}
	| {readonly accepted: false; readonly rejection: RejectionReason};

/**
 * Accepts an update only when its revision is greater than the one in force and its content is what the sender announced.
 *
 * A document that fails its check keeps its last good value as fallback; other documents of the same revision are not held up.
 *
 * @param current - the tree in force
 * @param update - the received configuration
 */
export function evaluateUpdate(current: ConfigurationTree, update: ConfigurationUpdate): UpdateDecision {
	if (update.revision < current.revision) {
		return {accepted: false, rejection: 'older'};
	}

	if (!update.whole && update.base !== current.revision) {
		return {accepted: false, rejection: 'incomplete'};
	}

	const tree = combine(current, update);
	const digest = digestOfTree(tree);
	if (update.revision === current.revision) {
		return {accepted: false, rejection: digest === digestOfTree(current) ? 'same' : 'conflict'};
	}

	if (update.digest !== undefined && update.digest !== digest) {
		return {accepted: false, rejection: 'incomplete'};
	}

	if (treeSizeBytes(tree) > maxTreeBytes) {
		return {accepted: false, rejection: 'oversized'};
	}

	return {
		accepted: true, tree, digest, findings: [...tree.entries.values()].flatMap(entry => findingsOf(entry)),
	};
}

function combine(current: ConfigurationTree, update: ConfigurationUpdate): ConfigurationTree {
	const entries = update.whole ? new Map<string, ConfigEntry>() : new Map(current.entries);
	for (const entry of update.entries) {
		entries.set(entry.path, withFallback(entry, current.entries.get(entry.path)));
	}

	for (const entry of entries.values()) {
		if (entry.value === null && entry.revision < update.revision - tombstoneRetentionRevisions) {
			entries.delete(entry.path);
		}
	}

	return {revision: update.revision, entries};
}

function withFallback(entry: ConfigEntry, previous: ConfigEntry | undefined): ConfigEntry {
	if (entry.value === null || checkEntry(entry).ok) {
		return entry;
	}

	const fallback = newerFallback(entry.fallback, lastValidValue(previous));
	return fallback === entry.fallback ? entry : {...entry, fallback};
}

function findingsOf(entry: ConfigEntry): readonly Finding[] {
	if (entry.value === null) {
		return [];
	}

	const checked = checkEntry(entry);
	return checked.ok ? [] : checked.findings;
}
