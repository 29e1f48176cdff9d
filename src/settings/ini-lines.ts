/** Line numbers of an INI text, which the `ini` package does not keep. */

/** A section header or a key and where it stands. */
export type IniLine = {
	/** The line, from 1. */
	readonly line: number;
	/** The section, empty before the first header. */
	readonly section: string;
	/** The key, or undefined for the header itself. */
	readonly key: string | undefined;
};

/** The same forms that the `ini` package takes as a header; everything else is a key. */
const headerPattern = /^\[([^\]]*)]\s*$/;

/**
 * Lists the headers and keys of a text in order.
 *
 * @param text - INI text
 */
export function listIniLines(text: string): readonly IniLine[] {
	const found: IniLine[] = [];
	let section = '';
	for (const [at, content] of text.split(/\r\n|\r|\n/).entries()) {
		if (/^\s*([;#]|$)/.test(content)) {
			continue;
		}

		const header = headerPattern.exec(content)?.[1]?.trim();
		section = header ?? section;
		const key = header === undefined ? keyOf(content) : undefined;
		found.push({line: at + 1, section, key});
	}

	return found;
}

/**
 * Finds the line of a key, of its section when the key is absent, or the last line when both are.
 *
 * @param lines - the lines of the text
 * @param path - section and key
 */
export function findLine(lines: readonly IniLine[], path: readonly string[]): number {
	const [section = '', key] = path;
	const found = lines.findLast(item => item.section === section && item.key === key)
		?? lines.findLast(item => item.section === '' && item.key === section)
		?? lines.find(item => item.section === section || item.section.startsWith(`${section}.`));
	return (found ?? lines.at(-1))?.line ?? 1;
}

/**
 * Lists the keys that a section gives more than once; the `ini` package takes the last one silently.
 *
 * @param lines - the lines of the text
 */
export function listDuplicateKeys(lines: readonly IniLine[]): readonly IniLine[] {
	const seen = new Set<string>();
	return lines.filter(({section, key}) => {
		const name = `${section}\n${key}`;
		const isDuplicate = key !== undefined && !key.endsWith('[]') && seen.has(name);
		seen.add(name);
		return isDuplicate;
	});
}

function keyOf(content: string): string {
	const raw = (content.split('=')[0] ?? '').trim();
	return /^(["']).*\1$/.test(raw) ? raw.slice(1, -1) : raw.split(/[;#]/)[0]?.trim() ?? raw;
}
