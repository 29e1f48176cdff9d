/** Validation of settings and published documents: every problem is reported as a finding with its line, and the examples are valid. */
import {readFileSync} from 'node:fs';
import {expect} from 'chai';
import fc from 'fast-check';
import {checkDocuments, checkFile, checkSettings} from '../src/checks/check-file.ts';
import {parseJsonWithLines} from '../src/checks/parse-json-with-lines.ts';
import type {Finding} from '../src/runtime/finding.ts';

const examples = ['entry.ini', 'agent-engine.ini', 'agent-plain.ini', 'gateway.ini', 'stager.ini', 'configuration.json'];
const formatFindings = (findings: readonly Finding[]) => findings.map(({line, key, reason}) => `${line} ${key} ${reason}`);
const iniFragments = [
	'[process]\n',
	'[a.b]\n',
	'process = 1\n',
	'"null" = 1\n',
	'\'5\' = 1\n',
	'__proto__ = 1\n',
	'[__proto__]\n',
	'vm[] = a\n',
	'=',
	'\r',
	'"',
	';',
	'\u0000',
	'toString = 1\n',
	'[process.listen]\n',
	'\'null\' = 1\n',
];
const entryText = readFileSync('examples/entry.ini', 'utf8');

/** Guards against examples that users copy and that the program then rejects. */
it('the examples pass check', () => {
	expect(examples.flatMap(name => checkFile(`examples/${name}`))).to.deep.equal([]);
});

/** Guards against exceptions, and findings without a line number, on malformed settings. */
it('any mutation of a valid settings file is accepted or gives findings with a line', () => {
	const mutation = fc.record({
		name: fc.constantFrom('entry.ini', 'agent-engine.ini', 'agent-plain.ini'),
		at: fc.nat(),
		removed: fc.nat({max: 40}),
		inserted: fc.oneof(fc.string({maxLength: 12}), fc.constantFrom(...iniFragments)),
	});
	fc.assert(fc.property(fc.array(mutation, {minLength: 1, maxLength: 4}), mutations => {
		const file = `examples/${mutations[0]?.name}`;
		const valid = readFileSync(file, 'utf8');
		let text = valid;
		for (const {at, removed, inserted} of mutations) {
			const start = at % (text.length + 1);
			text = text.slice(0, start) + inserted + text.slice(start + removed);
		}

		const lineCount = text.split(/\r\n|\r|\n/).length;
		for (const {line, key, reason} of checkSettings(text, file)) {
			expect(line, `${key} ${reason}`).to.be.within(1, lineCount);
		}
	}), {seed: 41, numRuns: 4000});
});

/** Guards against exceptions, and findings without a line number, on malformed documents, and against a parser that differs from `JSON.parse`. */
it('any mutation of valid documents parses as with JSON.parse or gives findings with a line', () => {
	const valid = readFileSync('examples/configuration.json', 'utf8');
	const inserted = fc.oneof(fc.string({maxLength: 8}), fc.constantFrom('{', '}', '[', ']', ',', ':', '"', '\\', 'null', '1e5', '\n', '"__proto__": 1,', '\u0001'));
	const mutation = fc.tuple(fc.nat({max: valid.length}), fc.nat({max: 30}), inserted);
	fc.assert(fc.property(fc.array(mutation, {minLength: 1, maxLength: 3}), mutations => {
		let text = valid;
		for (const [at, removed, inserted] of mutations) {
			text = text.slice(0, at) + inserted + text.slice(at + removed);
		}

		const parsed = parseJsonWithLines(text);
		let expected: {value: unknown} | undefined;
		try {
			expected = {value: JSON.parse(text) as unknown};
		} catch {}

		expect(parsed.ok ? {value: parsed.value} : undefined).to.deep.equal(expected);
		for (const {line} of checkDocuments(text, 'c.json')) {
			expect(line).to.be.within(1, text.split('\n').length);
		}
	}), {seed: 42, numRuns: 4000});
});

it('unknown, duplicate, missing and invalid settings are reported together', () => {
	const text = entryText.replace('zone = randstad-a', 'zoone = a').replace('[limits]', '[limits]\nqueue_wait_ms = soon').replace('127.0.0.1:8081', '127.0.0.300:8081');
	expect(formatFindings(checkSettings(text, 'e.ini'))).to.deep.equal([
		'22 limits.queue_wait_ms is given more than once',
		'3 process.zone is missing',
		'5 process.zoone is not a known key',
		'13 listen.control must be an IPv4 address and a port, such as 127.0.0.1:8080',
	]);
});

/** The `ini` package throws a TypeError on the key `'null'`, which it unquotes and parses as null. */
it('a line on which the ini package throws is reported as a finding', () => {
	expect(formatFindings(checkSettings(`${entryText}'null' = 1\n`, 'e.ini'))).to.deep.equal(['27 (line) cannot be read as INI']);
});

it('a JSON syntax error is reported with its line', () => {
	const reasons = ['{\n"a": 1,\n}', '{\n"a" 1}', '{"a": 1}\n]', '{\n"a": \'x\'}', '', '{"a":\n\n01}'].map(text => formatFindings(checkDocuments(text, 'c.json'))[0]);
	expect(reasons).to.deep.equal([
		'3 (syntax) expected a key in quotes, found }',
		'2 (syntax) expected :, found 1',
		'2 (syntax) unexpected ] after the end of the document',
		'2 (syntax) unexpected character "\'"',
		'1 (syntax) expected a value, found the end of the file',
		'3 (syntax) expected , or }, found 1',
	]);
});

it('invalid references between documents are reported as findings', () => {
	const documents = {
		'/services/assistant': {kind: 'engine', operations: {ask: {repeatable: true}}},
		'/models/m': {serve: 'v1', previous: 'v0', versions: {v1: {manifest: '0'.repeat(64), adapters: ['a']}}},
		'/teams/t/routes/r1': {service: 'lost'},
		'/teams/t/routes/r2': {service: 'assistant', model: 'lost'},
		'/teams/t/routes/r3': {service: 'assistant', model: 'm', version: 'v9'},
		'/teams/t/routes/r4': {service: 'assistant', model: 'm', adapter: 'b'},
		'/teams/t/routes/r5': {service: 'assistant'},
		'/teams/t/limits': {weigth: 1},
		'/teams/t/rout/r': {},
		'/teams/gone/limits': null,
	};
	expect(formatFindings(checkDocuments(JSON.stringify(documents, null, 1), 'c.json')).map(text => text.replace(/^\d+ /, ''))).to.deep.equal([
		'/teams/t/limits weigth is not a known key',
		'/teams/t/rout/r is not a known path',
		'/services/assistant operations must be empty for a service of kind engine',
		'/models/m previous names version v0 that is not in versions',
		'/teams/t/routes/r1 service names service lost that is not among the documents',
		'/teams/t/routes/r2 model names model lost that is not among the documents',
		'/teams/t/routes/r3 version names version v9 that model m does not have',
		'/teams/t/routes/r4 adapter names adapter b that version v1 of model m does not have',
		'/teams/t/routes/r5 model is missing; service assistant is of kind engine',
	]);
});
