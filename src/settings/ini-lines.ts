/** Finds the line numbers of sections and keys in INI text, which the `ini` package does not report. */

/** A section header or key with its line number. */
export type IniLine = {
	/** Line number, from 1. */
	readonly line: number;
	/** Name of the section; empty before the first header. */
	readonly section: string;
	/** The key; undefined for a section header. */
	readonly key: string | undefined;
};

/** Matches the same lines as the `ini` package's header pattern; every other line is a key. */
const headerPattern = /^\[([^\]]*)]\s*$/;

/** Lists the section headers and keys of INI text, in order. */
export function listIniLines(text: string): readonly IniLine[] {
	const iniLines: IniLine[] = [];
	let section = '';
	for (const [at, content] of text.split(/\r\n|\r|\n/).entries()) {
		if (/^\s*([;#]|$)/.test(content)) {
			continue;
		}

		const header = headerPattern.exec(content)?.[1]?.trim();
		section = header ?? section;
		const key = header === undefined ? parseKey(content) : undefined;
		iniLines.push({line: at + 1, section, key});
	}

	return iniLines;
}

/**
 * Returns the line number of a key: the line of its section if the key is absent, or the last line if the section is absent too.
 *
 * @param path - section and key
 */
export function findLine(lines: readonly IniLine[], path: readonly string[]): number {
	const [section = '', key] = path;
	const match = lines.findLast(item => item.section === section && item.key === key)
		?? lines.findLast(item => item.section === '' && item.key === section)
		?? lines.find(item => item.section === section || item.section.startsWith(`${section}.`));
	return (match ?? lines.at(-1))?.line ?? 1;
}

/** Lists keys that repeat an earlier one of their section; the `ini` package silently uses the last value. Array keys (`key[]`) may repeat. */
export function listDuplicateKeys(lines: readonly IniLine[]): readonly IniLine[] {
	const seen = new Set<string>();
	return lines.filter(({section, key}) => {
		const name = `${section}\n${key}`;
		const isDuplicate = key !== undefined && !key.endsWith('[]') && seen.has(name);
		seen.add(name);
		return isDuplicate;
	});
}

/** Returns the key of a line, without quotes or a trailing comment. */
function parseKey(content: string): string {
	const keyText = (content.split('=')[0] ?? '').trim();
	return /^(["']).*\1$/.test(keyText) ? keyText.slice(1, -1) : keyText.split(/[;#]/)[0]?.trim() ?? keyText;
}
