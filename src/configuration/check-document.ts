/** Checks one published document against the schema of its path. */
import type {ConfigEntry} from '../messages/config-sync.ts';
import type {Finding} from '../runtime/finding.ts';
import {documentSchemas} from './documents.ts';

/** A checked document with defaults filled in, or what is wrong with it. */
export type CheckedDocument =
	| {readonly ok: true; readonly document: unknown}
	| {readonly ok: false; readonly findings: readonly Finding[]};

/**
 * Checks a document.
 *
 * @param path - the published path
 * @param value - the published value
 */
export function checkDocument(path: string, value: unknown): CheckedDocument {
	const kind = documentSchemas.find(({pattern}) => pattern.test(path));
	if (!kind) {
		return {ok: false, findings: [{file: path, key: '(path)', reason: 'is not a known path'}]};
	}

	const result = kind.schema.safeParse(value);
	if (result.success) {
		return {ok: true, document: result.data};
	}

	const findings = result.error.issues.map(issue => ({file: path, key: issue.path.join('.') || '(document)', reason: issue.message}));
	return {ok: false, findings};
}

// Entries never change once they are in a tree, so that a change of one document checks only that document.
const checkedByEntry = new WeakMap<ConfigEntry, CheckedDocument>();

/**
 * Checks the published value of an entry, once per entry.
 *
 * @param entry - the entry
 */
export function checkEntry(entry: ConfigEntry): CheckedDocument {
	let checked = checkedByEntry.get(entry);
	if (!checked) {
		checked = checkDocument(entry.path, entry.value);
		checkedByEntry.set(entry, checked);
	}

	return checked;
}
