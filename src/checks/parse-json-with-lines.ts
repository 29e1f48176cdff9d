/** JSON parser that records the line number of every key and array item, which `JSON.parse` does not report. */

/** Maximum nesting depth; published documents need four levels. */
const maxDepth = 64;

/** The parsed value with its line numbers and duplicate keys, or the first syntax error. */
export type ParsedJson =
	| {readonly ok: true; readonly value: unknown; readonly lines: JsonLineIndex; readonly duplicates: readonly JsonPath[]}
	| {readonly ok: false; readonly line: number; readonly reason: string};

/** Object keys and array indexes, from the root to a value. */
export type JsonPath = ReadonlyArray<string | number>;

/** Line numbers by path. */
export class JsonLineIndex {
	private readonly lineByPath = new Map<string, number>();

	/**
	 * Sets the line number of a path.
	 *
	 * @param line - line number, from 1
	 */
	set(path: JsonPath, line: number): void {
		this.lineByPath.set(JSON.stringify(path), line);
	}

	/** Returns the line number of a path, or of its nearest recorded ancestor; 1 if there is none. */
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

/** A syntax error and its line number. */
class JsonSyntaxError extends Error {
	constructor(readonly line: number, reason: string) {
		super(reason);
	}
}

/** A token and its line number. */
type Token = {readonly text: string; readonly line: number};

/** Parses JSON text. For a duplicate key, the last value is used, as in `JSON.parse`. */
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
	for (let offset = 0; offset < text.length;) {
		tokenPattern.lastIndex = offset;
		const match = tokenPattern.exec(text)?.[0];
		if (match === undefined) {
			throw new JsonSyntaxError(line, `unexpected character ${JSON.stringify(text[offset])}`);
		}

		if (match === '\n') {
			line++;
		} else if (!/^[ \t\r]/.test(match)) {
			tokens.push({text: match, line});
		}

		offset += match.length;
	}

	tokens.push({text: '', line});
	return tokens;
}

/** Recursive-descent parser. The last token is empty and marks the end of the text. */
class TokenReader {
	readonly lines = new JsonLineIndex();
	readonly duplicates: JsonPath[] = [];
	private position = 0;

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
				throw new JsonSyntaxError(token.line, `expected a key in quotes, found ${describeToken(token)}`);
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
				throw new JsonSyntaxError(token.line, `expected , or ${end}, found ${describeToken(token)}`);
			}
		}
	}

	private expect(text: string): void {
		const token = this.next();
		if (token.text !== text) {
			throw new JsonSyntaxError(token.line, `expected ${text}, found ${describeToken(token)}`);
		}
	}

	private peek(): Token {
		return this.tokens[this.position] ?? {text: '', line: 1};
	}

	private next(): Token {
		const token = this.peek();
		this.position = Math.min(this.position + 1, this.tokens.length);
		return token;
	}
}

function readScalar(token: Token): unknown {
	try {
		return JSON.parse(token.text) as unknown;
	} catch {
		throw new JsonSyntaxError(token.line, `expected a value, found ${describeToken(token)}`);
	}
}

function describeToken(token: Token): string {
	return token.text === '' ? 'the end of the file' : token.text;
}
