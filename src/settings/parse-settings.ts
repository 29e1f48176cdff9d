/** Parses and validates INI settings and collects all findings, each with file, line, key and reason. */
import {readFileSync} from 'node:fs';
import {parse} from 'ini';
import type {ZodError, ZodType} from 'zod';
import {type Finding, formatFinding} from '../runtime/finding.ts';
import {
	type IniLine, findLine, listDuplicateKeys, listIniLines,
} from './ini-lines.ts';

/** Valid settings, or all findings. */
export type ParsedSettings<Settings> =
	| {readonly ok: true; readonly settings: Settings}
	| {readonly ok: false; readonly findings: readonly Finding[]};

/** Thrown when settings are invalid. The message lists all findings. */
export class InvalidSettingsError extends Error {
	readonly findings: readonly Finding[];

	constructor(findings: readonly Finding[]) {
		super(findings.map(finding => formatFinding(finding)).join('\n'));
		this.findings = findings;
	}
}

/**
 * Parses and validates settings.
 *
 * @param text - INI text
 * @param file - the file name for findings
 * @param schema - the settings schema of the role
 */
export function parseSettings<Settings>(text: string, file: string, schema: ZodType<Settings>): ParsedSettings<Settings> {
	const lines = listIniLines(text);
	const duplicates = listDuplicateKeys(lines).map(({line, section, key}) => ({
		file, line, key: `${section}.${key}`, reason: 'is given more than once',
	}));
	let values: unknown;
	try {
		values = toPlainObject(parse(text));
	} catch {
		const line = findUnparsableLine(text);
		return {
			ok: false, findings: [...duplicates, {
				file, line, key: '(line)', reason: 'cannot be read as INI',
			}],
		};
	}

	const result = schema.safeParse(values);
	if (result.success && duplicates.length === 0) {
		return {ok: true, settings: result.data};
	}

	return {ok: false, findings: [...duplicates, ...(result.success ? [] : toFindings(result.error, lines, file))]};
}

/**
 * Reads, parses and validates a settings file.
 *
 * @param schema - the settings schema of the role
 * @throws InvalidSettingsError when the file cannot be read or has findings
 */
export function readSettings<Settings>(file: string, schema: ZodType<Settings>): Settings {
	const parsed = parseSettings(readSettingsText(file), file, schema);
	if (!parsed.ok) {
		throw new InvalidSettingsError(parsed.findings);
	}

	return parsed.settings;
}

function readSettingsText(file: string): string {
	try {
		return readFileSync(file, 'utf8');
	} catch (err) {
		throw new InvalidSettingsError([{file, key: '(file)', reason: `cannot be read: ${(err as Error).message}`}]);
	}
}

/** Returns the first line at which the `ini` package throws, for example a key in a section whose name is also used as a key. */
function findUnparsableLine(text: string): number {
	const lines = text.split(/\r\n|\r|\n/);
	const at = lines.findIndex((_, end) => {
		try {
			parse(lines.slice(0, end + 1).join('\n'));
			return false;
		} catch {
			return true;
		}
	});
	return Math.max(at, 0) + 1;
}

function toFindings(err: ZodError, lines: readonly IniLine[], file: string): Finding[] {
	return err.issues.flatMap(issue => {
		const path = issue.path.map(String);
		// Zod reports unknown keys as an issue of their section; findings name the keys themselves.
		const isUnknownKey = issue.code === 'unrecognized_keys';
		const keys = isUnknownKey ? issue.keys.map(key => [...path, key]) : [path];
		const isMissing = issue.code === 'invalid_type' && issue.message.endsWith('received undefined');
		const reason = isUnknownKey ? 'is not a known key' : (isMissing ? 'is missing' : issue.message);
		return keys.map(key => ({
			file, line: findLine(lines, key), key: key.join('.'), reason,
		}));
	});
}

/**
 * Copies parsed INI values to plain objects, because the `ini` package returns objects without a prototype, which zod rejects when nested.
 * Booleans become strings again.
 */
function toPlainObject(value: unknown): unknown {
	if (typeof value !== 'object' || value === null) {
		return typeof value === 'boolean' ? String(value) : value;
	}

	if (Array.isArray(value)) {
		return value.map(item => toPlainObject(item));
	}

	return Object.fromEntries(Object.entries(value).map(([key, item]) => [key, toPlainObject(item)]));
}
