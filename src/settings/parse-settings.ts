/** Reads INI settings and collects every finding with file, line, key and reason. */
import {readFileSync} from 'node:fs';
import {parse} from 'ini';
import type {ZodError, ZodType} from 'zod';
import {type Finding, formatFinding} from '../runtime/finding.ts';

/** Parsed settings, or all that is wrong with them. */
export type ParsedSettings<Settings> =
	| {readonly ok: true; readonly settings: Settings}
	| {readonly ok: false; readonly findings: readonly Finding[]};

/** Reports settings that failed their check; the message lists every finding. */
export class InvalidSettingsError extends Error {
	readonly findings: readonly Finding[];

	/** @param findings - all that is wrong */
	constructor(findings: readonly Finding[]) {
		super(findings.map(finding => formatFinding(finding)).join('\n'));
		this.findings = findings;
	}
}

/**
 * Parses settings text.
 *
 * @param text - INI text
 * @param file - the file's name, for findings
 * @param schema - the role's schema
 */
export function parseSettings<Settings>(text: string, file: string, schema: ZodType<Settings>): ParsedSettings<Settings> {
	const result = schema.safeParse(plainObject(parse(text)));
	if (result.success) {
		return {ok: true, settings: result.data};
	}

	return {ok: false, findings: toFindings(result.error, text, file)};
}

/**
 * Reads and parses a settings file.
 *
 * @param file - the path
 * @param schema - the role's schema
 * @throws InvalidSettingsError with every finding
 */
export function readSettings<Settings>(file: string, schema: ZodType<Settings>): Settings {
	const parsed = parseSettings(readSettingsText(file), file, schema);
	if (!parsed.ok) {
		throw new InvalidSettingsError(parsed.findings);
	}

	return parsed.settings;
}

/**
 * Finds the line of a key, or of its section when the key is absent.
 *
 * @param text - INI text; the `ini` package keeps no line numbers
 * @param path - section and key
 * @returns the line from 1, or undefined when the section is absent too
 */
export function lineOfKey(text: string, path: readonly string[]): number | undefined {
	const [section, key] = path;
	let sectionLine: number | undefined;
	let current = '';
	for (const [at, line] of text.split('\n').entries()) {
		const header = /^\s*\[([^\]]*)]/.exec(line);
		if (header) {
			current = (header[1] ?? '').trim();
			if (current === section) {
				sectionLine = at + 1;
			}
		} else if (current === section && key !== undefined && line.split('=')[0]?.trim() === key) {
			return at + 1;
		}
	}

	return sectionLine;
}

function readSettingsText(file: string): string {
	try {
		return readFileSync(file, 'utf8');
	} catch (err) {
		throw new InvalidSettingsError([{file, key: '(file)', reason: `cannot be read: ${(err as Error).message}`}]);
	}
}

function toFindings(err: ZodError, text: string, file: string): Finding[] {
	return err.issues.flatMap(issue => {
		const path = issue.path.map(String);
		// An unknown key is reported at the key itself, not at the section that holds it.
		const keys = issue.code === 'unrecognized_keys' ? issue.keys.map(key => [...path, key]) : [path];
		const reason = issue.code === 'unrecognized_keys' ? 'is not a known key' : issue.message;
		return keys.map(key => ({
			file, line: lineOfKey(text, key), key: key.join('.'), reason,
		}));
	});
}

/** The `ini` package returns objects without a prototype, which zod does not take as plain objects in nested places. */
function plainObject(value: unknown): unknown {
	if (typeof value !== 'object' || value === null) {
		return typeof value === 'boolean' ? String(value) : value;
	}

	return Object.fromEntries(Object.entries(value).map(([key, item]) => [key, plainObject(item)]));
}
