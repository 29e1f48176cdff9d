/** `cactusreach check`: prints every finding of settings files and published documents. */
import {readFileSync} from 'node:fs';
import {checkDocument} from '../configuration/check-document.ts';
import {type Finding, formatFinding} from '../runtime/finding.ts';
import {lineOfKey, parseSettings} from '../settings/parse-settings.ts';
import {agentSettingsSchema, entrySettingsSchema} from '../settings/settings-schema.ts';

/**
 * Checks files and prints their findings.
 *
 * A `.json` file holds documents by path; any other file holds settings.
 *
 * @param files - the files
 * @returns the exit code: 1 when there are findings
 */
export function checkCommand(files: readonly string[]): number {
	const findings = files.flatMap(file => checkFile(file));
	for (const finding of findings) {
		console.log(formatFinding(finding));
	}

	console.log(`${files.length} files, ${findings.length} findings`);
	return findings.length === 0 ? 0 : 1;
}

function checkFile(file: string): readonly Finding[] {
	try {
		const text = readFileSync(file, 'utf8');
		return file.endsWith('.json') ? checkDocuments(text, file) : checkSettings(text, file);
	} catch (err) {
		return [{file, key: '(file)', reason: (err as Error).message}];
	}
}

function checkSettings(text: string, file: string): readonly Finding[] {
	const hasCallers = lineOfKey(text, ['listen', 'callers']) !== lineOfKey(text, ['listen', '']);
	const isEntry = hasCallers && lineOfKey(text, ['upstream']) === undefined;
	const parsed = parseSettings<unknown>(text, file, isEntry ? entrySettingsSchema : agentSettingsSchema);
	return parsed.ok ? [] : parsed.findings;
}

function checkDocuments(text: string, file: string): readonly Finding[] {
	const documents = JSON.parse(text) as Record<string, unknown>;
	return Object.entries(documents).flatMap(([path, value]) => {
		const checked = checkDocument(path, value);
		const at = text.split('\n').findIndex(line => line.includes(JSON.stringify(path)));
		return checked.ok
			? []
			: checked.findings.map(finding => ({
				file, line: at + 1, key: `${path} ${finding.key}`, reason: finding.reason,
			}));
	});
}
