/** Decides whether a received configuration update replaces the current tree. */
import type {Digest} from '../ids/digest.ts';
import type {Revision} from '../ids/revision.ts';
import type {ConfigEntry} from '../messages/config-sync.ts';
import type {Finding} from '../runtime/finding.ts';
import {checkEntry} from './check-document.ts';
import {newerFallback, lastValidValue} from './fallback.ts';
import {
	treeSizeBytes, type ConfigurationTree, tombstoneRetentionRevisions, digestOfTree,
} from './tree.ts';

/** Size limit of a tree, in bytes of serialized documents: a quarter of the 32 MB budgeted for the control plane. */
export const maxTreeBytes = 8 * 1024 * 1024;

/** A full tree or a set of changes, received from a peer or from the configuration service. */
export type ConfigurationUpdate = {
	readonly revision: Revision;
	/** True when `entries` is the full tree, false when it holds the changes since revision `base`. */
	readonly whole: boolean;
	/** The revision that the changes apply to. */
	readonly base: Revision;
	readonly entries: readonly ConfigEntry[];
	/** The expected digest of the resulting tree; absent for the configuration service, which sends none. */
	readonly digest?: string;
};

/** Why an update was rejected. */
export type RejectionReason =
	/** The update's revision is lower than the current one. */
	| 'older'
	/** The update equals the current tree. */
	| 'same'
	/** The update has the current revision but different content. */
	| 'conflict'
	/** The changes do not apply to the current tree or do not produce the announced digest; the full tree is needed. */
	| 'incomplete'
	/** The resulting tree exceeds {@link maxTreeBytes}. */
	| 'oversized';

/** The new tree with its digest and findings, or the reason for the rejection. */
export type UpdateDecision =
	| {readonly accepted: true; readonly tree: ConfigurationTree; readonly digest: Digest; readonly findings: readonly Finding[]}
	| {readonly accepted: false; readonly rejection: RejectionReason};

/**
 * Accepts an update only when its revision is greater than the current one and its content matches the announced digest.
 *
 * A document that fails validation keeps its last valid value as a fallback; the other documents of the revision still apply.
 */
export function evaluateUpdate(current: ConfigurationTree, update: ConfigurationUpdate): UpdateDecision {
	if (update.revision < current.revision) {
		return {accepted: false, rejection: 'older'};
	}

	if (!update.whole && update.base !== current.revision) {
		return {accepted: false, rejection: 'incomplete'};
	}

	const tree = mergeEntries(current, update);
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

function mergeEntries(current: ConfigurationTree, update: ConfigurationUpdate): ConfigurationTree {
	const entries = update.whole ? new Map<string, ConfigEntry>() : new Map(current.entries);
	for (const entry of update.entries) {
		entries.set(entry.path, attachFallback(entry, current.entries.get(entry.path)));
	}

	for (const entry of entries.values()) {
		if (entry.value === null && entry.revision < update.revision - tombstoneRetentionRevisions) {
			entries.delete(entry.path);
		}
	}

	return {revision: update.revision, entries};
}

function attachFallback(entry: ConfigEntry, previous: ConfigEntry | undefined): ConfigEntry {
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
