/** Validates a published document against the schema of its path. */
import type {ConfigEntry} from '../messages/config-sync.ts';
import type {Finding} from '../runtime/finding.ts';
import {documentSchemas} from './documents.ts';

/** The parsed document with defaults filled in, or its validation problems. */
export type CheckedDocument =
	| {readonly ok: true; readonly document: unknown}
	| {readonly ok: false; readonly findings: readonly Finding[]};

/** Validates a value against the schema of the first path pattern that matches. */
export function checkDocument(path: string, value: unknown): CheckedDocument {
	const match = documentSchemas.find(({pattern}) => pattern.test(path));
	if (!match) {
		return {ok: false, findings: [{file: path, key: '(path)', reason: 'is not a known path'}]};
	}

	const result = match.schema.safeParse(value);
	if (result.success) {
		return {ok: true, document: result.data};
	}

	const findings = result.error.issues.map(issue => ({file: path, key: issue.path.join('.') || '(document)', reason: issue.message}));
	return {ok: false, findings};
}

// Entries are immutable, so a new revision validates only the documents that changed.
const checkedByEntry = new WeakMap<ConfigEntry, CheckedDocument>();

/** Validates the published value of an entry and caches the result per entry object. */
export function checkEntry(entry: ConfigEntry): CheckedDocument {
	let checked = checkedByEntry.get(entry);
	if (!checked) {
		checked = checkDocument(entry.path, entry.value);
		checkedByEntry.set(entry, checked);
	}

	return checked;
}
