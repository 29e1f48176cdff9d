/** Parses JSON and keeps the line of every key, which `JSON.parse` does not report. */

/** Nesting over this depth is refused; published documents need four levels. */
const maxDepth = 64;

/** A parsed text with the line of each key, or the place of the first syntax error. */
export type ParsedJson =
	| {readonly ok: true; readonly value: unknown; readonly lines: JsonLineIndex; readonly duplicates: readonly JsonPath[]}
	| {readonly ok: false; readonly line: number; readonly reason: string};

/** Keys and positions from the root. */
export type JsonPath = ReadonlyArray<string | number>;

/** Lines by path. */
export class JsonLineIndex {
	private readonly lineByPath = new Map<string, number>();

	/**
	 * Records the line of a path.
	 *
	 * @param path - the path
	 * @param line - the line, from 1
	 */
	set(path: JsonPath, line: number): void {
		this.lineByPath.set(JSON.stringify(path), line);
	}

	/**
	 * Finds the line of a path, or of its nearest parent that exists.
	 *
	 * @param path - the path
	 */
	get(path: JsonPath): number {
		for (let {length} = path; length > 0; length--) {
			const line = this.lineByPath.get(JSON.stringify(path.slice(0, length)));
			if (line !== undefined) {
				return line;
			}
		}

		return 1;
	}
}

class JsonSyntaxError extends Error {
	constructor(readonly line: number, reason: string) {
		super(reason);
	}
}

type Token = {readonly text: string; readonly line: number};

/**
 * Parses a text.
 *
 * @param text - JSON text
 */
export function parseJsonWithLines(text: string): ParsedJson {
	try {
		const reader = new TokenReader(tokenize(text));
		const value = reader.readValue([]);
		reader.expectEnd();
		return {
			ok: true, value, lines: reader.lines, duplicates: reader.duplicates,
		};
	} catch (err) {
		if (err instanceof JsonSyntaxError) {
			return {ok: false, line: err.line, reason: err.message};
		}

		throw err;
	}
}

const tokenPattern = /[{}[\],:]|"(?:[^"\\\n]|\\(?:["\\/bfnrt]|u[\da-f]{4}))*"|-?(?:0|[1-9]\d*)(?:\.\d+)?(?:e[+-]?\d+)?|true|false|null|\n|[ \t\r]+/iy;

function tokenize(text: string): Token[] {
	const tokens: Token[] = [];
	let line = 1;
	for (let at = 0; at < text.length;) {
		tokenPattern.lastIndex = at;
		const part = tokenPattern.exec(text)?.[0];
		if (part === undefined) {
			throw new JsonSyntaxError(line, `unexpected character ${JSON.stringify(text[at])}`);
		}

		if (part === '\n') {
			line++;
		} else if (!/^[ \t\r]/.test(part)) {
			tokens.push({text: part, line});
		}

		at += part.length;
	}

	tokens.push({text: '', line});
	return tokens;
}

/** Reads values from tokens; the last token is empty and stands for the end of the text. */
class TokenReader {
	readonly lines = new JsonLineIndex();
	readonly duplicates: JsonPath[] = [];
	private at = 0;

	constructor(private readonly tokens: readonly Token[]) {}

	readValue(path: JsonPath): unknown {
		const token = this.next();
		if (path.length > maxDepth) {
			throw new JsonSyntaxError(token.line, `is nested deeper than ${maxDepth} levels`);
		}

		if (token.text === '{') {
			return this.readObject(path);
		}

		if (token.text === '[') {
			return this.readArray(path);
		}

		return readScalar(token);
	}

	expectEnd(): void {
		const token = this.next();
		if (token.text !== '') {
			throw new JsonSyntaxError(token.line, `unexpected ${token.text} after the end of the document`);
		}
	}

	private readObject(path: JsonPath): Record<string, unknown> {
		const entries = new Map<string, unknown>();
		this.readList('}', () => {
			const token = this.next();
			if (!token.text.startsWith('"')) {
				throw new JsonSyntaxError(token.line, `expected a key in quotes, found ${describe(token)}`);
			}

			const key = readScalar(token) as string;
			const keyPath = [...path, key];
			if (entries.has(key)) {
				this.duplicates.push(keyPath);
			}

			this.lines.set(keyPath, token.line);
			this.expect(':');
			entries.set(key, this.readValue(keyPath));
		});
		return Object.fromEntries(entries);
	}

	private readArray(path: JsonPath): unknown[] {
		const items: unknown[] = [];
		this.readList(']', () => {
			const itemPath = [...path, items.length];
			this.lines.set(itemPath, this.peek().line);
			items.push(this.readValue(itemPath));
		});
		return items;
	}

	private readList(end: string, readItem: () => void): void {
		if (this.peek().text === end) {
			this.next();
			return;
		}

		for (;;) {
			readItem();
			const token = this.next();
			if (token.text === end) {
				return;
			}

			if (token.text !== ',') {
				throw new JsonSyntaxError(token.line, `expected , or ${end}, found ${describe(token)}`);
			}
		}
	}

	private expect(text: string): void {
		const token = this.next();
		if (token.text !== text) {
			throw new JsonSyntaxError(token.line, `expected ${text}, found ${describe(token)}`);
		}
	}

	private peek(): Token {
		return this.tokens[this.at] ?? {text: '', line: 1};
	}

	private next(): Token {
		const token = this.peek();
		this.at = Math.min(this.at + 1, this.tokens.length);
		return token;
	}
}

function readScalar(token: Token): unknown {
	try {
		return JSON.parse(token.text) as unknown;
	} catch {
		throw new JsonSyntaxError(token.line, `expected a value, found ${describe(token)}`);
	}
}

function describe(token: Token): string {
	return token.text === '' ? 'the end of the file' : token.text;
}
