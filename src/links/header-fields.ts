/**
 * Tells how many fields of an incomplete head or of incomplete trailers a connection holds.
 *
 * The parser of Node.js keeps them as strings in the heap, and has no event for them: of a read of many sockets, all are parsed before a
 * timer runs. It hands fields over in groups of 32, to a function that this module wraps. A head with fewer fields is not told of.
 */
import type net from 'node:net';

/** Index of the function that receives a group of fields: `kOnHeaders` of the parser. */
const onFieldsIndex = 1;

type OnFields = (this: FieldParser, fields: string[], url: string) => void;

/** The part of a parser of Node.js that this module uses. `_headers` holds names and values by turns. */
type FieldParser = {[onFieldsIndex]?: OnFields; _headers: string[]; readonly socket?: net.Socket | null};

/** What is called with the number of fields of a connection. */
const listeners = new WeakMap<net.Socket, (count: number) => void>();

/** The function of the parsers. */
let parserOnFields: OnFields | undefined;

/** Takes the place of the function of the parsers. They are used again for further connections, so that it must not hold on to one. */
function handleFields(this: FieldParser, fields: string[], url: string): void {
	parserOnFields?.call(this, fields, url);
	if (this.socket) {
		listeners.get(this.socket)?.(this._headers.length / 2);
	}
}

/**
 * Watches the fields of a connection.
 *
 * @param onFields - called with the number of fields that the parser holds, each time that it has received some
 */
export function watchFields(socket: net.Socket, onFields: (count: number) => void): void {
	const parser = findParser(socket);
	const original = parser?.[onFieldsIndex];
	if (parser && original) {
		parserOnFields ??= original;
		parser[onFieldsIndex] = handleFields;
		listeners.set(socket, onFields);
	}
}

/** Drops the fields that the parser of a connection holds; the connection is of no use afterwards. */
export function dropFields(socket: net.Socket): void {
	const parser = findParser(socket);
	if (parser) {
		parser._headers = [];
	}
}

function findParser(socket: net.Socket): FieldParser | undefined {
	return (socket as net.Socket & {parser?: FieldParser | null}).parser ?? undefined;
}
