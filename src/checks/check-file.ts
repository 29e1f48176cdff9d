/** Validates a file of settings (INI) or published documents (JSON) and collects all findings. */
import {readFileSync} from 'node:fs';
import type {ZodError, ZodType} from 'zod';
import {documentSchemas} from '../configuration/documents.ts';
import type {Finding} from '../runtime/finding.ts';
import {gatewaySettingsSchema, stagerSettingsSchema} from '../settings/direct-settings.ts';
import {type IniLine, listIniLines} from '../settings/ini-lines.ts';
import {parseSettings} from '../settings/parse-settings.ts';
import {agentSettingsSchema, entrySettingsSchema} from '../settings/settings-schema.ts';
import {checkReferences} from './check-references.ts';
import {type JsonLineIndex, type JsonPath, parseJsonWithLines} from './parse-json-with-lines.ts';

/**
 * Validates a file.
 *
 * @param file - a `.json` file contains documents by path; any other file contains settings
 */
export function checkFile(file: string): readonly Finding[] {
	let text: string;
	try {
		text = readFileSync(file, 'utf8');
	} catch (err) {
		return [{file, key: '(file)', reason: `cannot be read: ${(err as Error).message}`}];
	}

	return file.endsWith('.json') ? checkDocuments(text, file) : checkSettings(text, file);
}

/**
 * Validates settings against the schema of their role, which is derived from their sections and keys.
 *
 * @param text - INI text
 * @param file - the file name for findings
 */
export function checkSettings(text: string, file: string): readonly Finding[] {
	const lines = listIniLines(text);
	const parsed = parseSettings<unknown>(text, file, selectSchema(lines));
	return parsed.ok ? [] : parsed.findings;
}

function selectSchema(lines: readonly IniLine[]): ZodType {
	const has = (section: string) => lines.some(line => line.section === section);
	const hasCallers = lines.some(({section, key}) => section === 'listen' && key === 'callers');
	if (has('directory')) {
		return hasCallers && !has('engine') ? gatewaySettingsSchema : stagerSettingsSchema;
	}

	return hasCallers && !has('upstream') ? entrySettingsSchema : agentSettingsSchema;
}

/**
 * Validates published documents and the references between them.
 *
 * @param text - JSON text: an object of documents by path; null marks a deleted path
 * @param file - the file name for findings
 */
export function checkDocuments(text: string, file: string): readonly Finding[] {
	const parsed = parseJsonWithLines(text);
	if (!parsed.ok) {
		return [{
			file, line: parsed.line, key: '(syntax)', reason: parsed.reason,
		}];
	}

	const {value, lines, duplicates} = parsed;
	if (typeof value !== 'object' || value === null || Array.isArray(value)) {
		return [{
			file, line: 1, key: '(document)', reason: 'must be an object of documents by path',
		}];
	}

	const findings: Finding[] = duplicates.map(path => createFinding(file, lines, path, 'is given more than once'));
	const documents = new Map<string, unknown>();
	for (const [path, document] of Object.entries(value).filter(([, document]) => document !== null)) {
		const schema = documentSchemas.find(({pattern}) => pattern.test(path))?.schema;
		const result = schema?.safeParse(document);
		if (!result) {
			findings.push(createFinding(file, lines, [path], 'is not a known path'));
		} else if (result.success) {
			documents.set(path, result.data);
		} else {
			findings.push(...listIssues(result.error).map(({key, reason}) => createFinding(file, lines, [path, ...key], reason)));
		}
	}

	const references = checkReferences(documents).map(({path, key, reason}) => createFinding(file, lines, [path, ...key], reason));
	return [...findings, ...references];
}

function listIssues(err: ZodError): Array<{key: JsonPath; reason: string}> {
	return err.issues.flatMap(issue => {
		const path = issue.path.map(part => (typeof part === 'number' ? part : String(part)));
		return issue.code === 'unrecognized_keys'
			? issue.keys.map(key => ({key: [...path, key], reason: 'is not a known key'}))
			: [{key: path, reason: issue.message}];
	});
}

function createFinding(file: string, lines: JsonLineIndex, path: JsonPath, reason: string): Finding {
	const [documentPath, ...key] = path;
	return {
		file, line: lines.get(path), key: [documentPath, key.join('.')].join(' ').trim(), reason,
	};
}
