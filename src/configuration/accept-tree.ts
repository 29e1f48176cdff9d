/** Decides whether a received configuration replaces the one in force. */
import type {Revision} from '../ids/revision.ts';
import type {ConfigEntry} from '../messages/config-sync.ts';
import type {Finding} from '../runtime/finding.ts';
import {checkDocument} from './check-document.ts';
import type {ConfigurationTree} from './configuration-store.ts';

/** A received configuration. */
export type ConfigurationUpdate = {
	readonly revision: Revision;
	/** True when `entries` is the whole tree, false when they are changes to the tree in force. */
	readonly whole: boolean;
	readonly entries: readonly ConfigEntry[];
};

/** The decision. */
export type Acceptance =
	| {readonly accepted: true; readonly tree: ConfigurationTree; readonly findings: readonly Finding[]}
	| {readonly accepted: false; readonly findings: readonly Finding[]};

/**
 * Accepts an update only when its revision is greater than the one in force.
 *
 * A document that fails its check keeps its last good value as fallback; other documents of the same revision are not held up.
 *
 * @param current - the tree in force
 * @param update - the received configuration
 */
export function acceptTree(current: ConfigurationTree, update: ConfigurationUpdate): Acceptance {
	if (update.revision < current.revision) {
		const reason = `revision ${update.revision} is older than revision ${current.revision} in force`;
		return {accepted: false, findings: [{file: '/', key: '(revision)', reason}]};
	}

	if (update.revision === current.revision) {
		return {accepted: false, findings: []};
	}

	const entries = update.whole ? new Map<string, ConfigEntry>() : new Map(current.entries);
	const findings: Finding[] = [];
	for (const entry of update.entries) {
		entries.set(entry.path, withFallback(entry, current.entries.get(entry.path)));
	}

	for (const entry of entries.values()) {
		findings.push(...findingsOf(entry));
	}

	return {accepted: true, tree: {revision: update.revision, entries}, findings};
}

function withFallback(entry: ConfigEntry, previous: ConfigEntry | undefined): ConfigEntry {
	if (entry.value === null || checkDocument(entry.path, entry.value).ok || entry.fallback) {
		return entry;
	}

	const fallback = lastGood(previous);
	return fallback ? {...entry, fallback} : entry;
}

function lastGood(entry: ConfigEntry | undefined): ConfigEntry['fallback'] {
	if (!entry || entry.value === null) {
		return undefined;
	}

	return checkDocument(entry.path, entry.value).ok ? {revision: entry.revision, value: entry.value} : entry.fallback;
}

function findingsOf(entry: ConfigEntry): readonly Finding[] {
	if (entry.value === null) {
		return [];
	}

	const checked = checkDocument(entry.path, entry.value);
	return checked.ok ? [] : checked.findings;
}
