/** Sound messages with random changes, for tests of decoders; and checks of what a decoder let through. */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import fc from 'fast-check';

/** Seed and runs of each property: fixed for CI, from the environment for a long run by hand. */
export const fuzzParameters = {seed: Number(process.env.FUZZ_SEED ?? 41), numRuns: Number(process.env.FUZZ_RUNS ?? 1500)} as const;

/** JSON texts that take the place of a scalar; a few that no writer of this project produces. */
const wrongScalars = [
	'1e999',
	'-1e999',
	'-1',
	'0',
	'1.5',
	'1e-320',
	'9007199254740993',
	'1e308',
	'null',
	'true',
	'""',
	'"x"',
	'[]',
	'{}',
	String.raw`"\u0000"`,
	'"__proto__"',
	'"ł"',
	`${'['.repeat(3000)}${']'.repeat(3000)}`,
	'{"__proto__":{"a":1}}',
	'"127.0.0.1:0"',
	String.raw`"a\nb"`,
	'"1"',
];

const scalar = /"(?:[^"\\]|\\.)*"|-?\d+(?:\.\d+)?|true|false|null/g;

type Change = {readonly kind: 'set' | 'flip' | 'insert' | 'remove' | 'repeat' | 'scalar'; readonly at: number; readonly value: number};

const changeArb: fc.Arbitrary<Change> = fc.record({
	kind: fc.constantFrom('set', 'flip', 'insert', 'remove', 'repeat', 'scalar', 'scalar'), at: fc.nat(), value: fc.nat(),
});

const appliers: Readonly<Record<Change['kind'], (text: string, at: number, value: number) => string>> = {
	set: (text, at, value) => `${text.slice(0, at)}${String.fromCodePoint(value % 256)}${text.slice(at + 1)}`,
	flip(text, at, value) {
		const code = text.codePointAt(at) ?? 0;
		const bit = 2 ** (value % 8);
		return `${text.slice(0, at)}${String.fromCodePoint(Math.floor(code / bit) % 2 === 0 ? code + bit : code - bit)}${text.slice(at + 1)}`;
	},
	insert: (text, at, value) => `${text.slice(0, at)}${String.fromCodePoint(value % 256)}${text.slice(at)}`,
	remove: (text, at, value) => `${text.slice(0, at)}${text.slice(at + 1 + (value % 4))}`,
	repeat: (text, at, value) => `${text.slice(0, at + (value % 64))}${text.slice(at)}`,
	scalar(text, at, value) {
		const found = [...text.matchAll(scalar)];
		const match = found[at % Math.max(1, found.length)];
		return match ? `${text.slice(0, match.index)}${wrongScalars[value % wrongScalars.length]!}${text.slice(match.index + match[0].length)}` : text;
	},
};

function applyChange(text: string, {kind, at, value}: Change): string {
	return appliers[kind](text, at % Math.max(1, text.length), value);
}

/**
 * Returns sound messages with up to six changes each.
 *
 * @param messages - sound messages: bytes as Latin-1 text, or values that are sent as JSON
 */
export function mutated(...messages: readonly unknown[]): fc.Arbitrary<Buffer> {
	const texts = messages.map(message => (typeof message === 'string' ? message : Buffer.from(JSON.stringify(message)).toString('latin1')));
	return fc.tuple(fc.constantFrom(...texts), fc.array(changeArb, {maxLength: 6})).map(([text, changes]) => {
		let result = text;
		for (const change of changes) {
			result = applyChange(result, change);
		}

		return Buffer.from(result, 'latin1');
	});
}

/** Splits bytes at random places. */
export function pieces(bytes: Buffer, cuts: readonly number[]): Buffer[] {
	const places = [0, ...cuts.map(cut => cut % (bytes.length + 1)).sort((a, b) => a - b), bytes.length];
	return places.slice(1).map((end, at) => bytes.subarray(places[at], end)).filter(piece => piece.length > 0);
}

/** Fields that are passed on as they came, whatever they hold: the bodies of plain services and published documents. */
const opaqueFields = new Set(['body', 'value']);

/** Returns the path of the first number that is not finite, or of a function; undefined if there is none. */
export function findOddValue(root: unknown): string | undefined {
	const open: Array<readonly [string, unknown]> = [['', root]];
	for (let item = open.pop(); item; item = open.pop()) {
		const [path, value] = item;
		if ((typeof value === 'number' && !Number.isFinite(value)) || typeof value === 'function') {
			return path;
		}

		if (typeof value === 'object' && value !== null) {
			open.push(...Object.entries(value).filter(([key]) => !opaqueFields.has(key)).map(([key, part]): [string, unknown] => [`${path.slice(0, 100)}.${key}`, part]));
		}
	}

	return undefined;
}
