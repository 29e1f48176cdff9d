/** Writes measured tables into pages. */
import {readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';

/**
 * Replaces the text between the two marks of a part of a page.
 *
 * @param page - the page, from the root
 * @param name - the part
 * @param text - the new text
 */
export function writeDocPart(page: string, name: string, text: string): void {
	const file = path.resolve(page);
	const [begin, end] = [`<!-- ${name}: begin -->`, `<!-- ${name}: end -->`];
	const [before, rest] = readFileSync(file, 'utf8').split(begin);
	if (rest === undefined) {
		throw new Error(`${page} has no mark ${begin}`);
	}

	writeFileSync(file, `${before}${begin}\n${text}\n${end}${rest.split(end)[1] ?? ''}`);
}
