/** Writes generated tables into Markdown documents. */
import {readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';

/**
 * Replaces the text between the begin and end markers of a part of a document.
 *
 * @param document - path of the document, relative to the root
 * @param part - name in the markers of the part
 */
export function writeDocPart(document: string, part: string, text: string): void {
	const file = path.resolve(document);
	const [beginMarker, endMarker] = [`<!-- ${part}: begin -->`, `<!-- ${part}: end -->`];
	const [before, rest] = readFileSync(file, 'utf8').split(beginMarker);
	if (rest === undefined) {
		throw new Error(`${document} has no marker ${beginMarker}`);
	}

	writeFileSync(file, `${before}${beginMarker}\n${text}\n${endMarker}${rest.split(endMarker)[1] ?? ''}`);
}
