/** The memory and time that one line of an answer may cost. */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {Readable} from 'node:stream';
import {expect} from 'chai';
import {BrokenAnswerError} from '../src/calls/frame-checker.ts';
import {readLineBatches} from '../src/calls/frame-reader.ts';

const pieceBytes = 65_536;

/** Returns a body of equal pieces, and the number of pieces that were read from it. */
function createBody(pieceCount: number, piece = Buffer.alloc(pieceBytes, 'x')): {body: Readable; read: () => number} {
	let count = 0;
	const body = new Readable({
		highWaterMark: 1,
		read() {
			this.push(count++ < pieceCount ? piece : null);
		},
	});
	return {body, read: () => count};
}

it('guards against a line without end that takes all memory: the answer is given up', async () => {
	const {body, read} = createBody(4096);
	let failure: unknown;
	try {
		for await (const lines of readLineBatches(body)) {
			expect(lines).to.have.length(0);
		}
	} catch (err) {
		failure = err;
	}

	expect(failure).to.be.instanceOf(BrokenAnswerError);
	expect(String(failure)).to.include('line');
	expect(read()).to.be.below(1000);
});

it('guards against a long line that blocks the process: it is looked through once, not again with each piece', async () => {
	const {body} = createBody(640);
	body.once('end', () => undefined);
	const startedAt = process.cpuUsage();
	let failure = '';
	try {
		for await (const lines of readLineBatches(body)) {
			expect(lines).to.have.length(0);
		}
	} catch (err) {
		failure = (err as Error).message;
	}

	const {user, system} = process.cpuUsage(startedAt);
	expect(failure).to.equal('answer ends within a line');
	expect((user + system) / 1000, 'processor time, ms').to.be.below(1500);
});

it('guards against lines that change where pieces meet: any pieces give the same lines', async () => {
	const bytes = Buffer.from('{"a":"ł"}\n\n{"b":2}\n');
	for (let size = 1; size < bytes.length; size++) {
		const parts = Array.from({length: Math.ceil(bytes.length / size)}, (_, at) => bytes.subarray(at * size, (at + 1) * size));
		const lines: string[] = [];
		for await (const batch of readLineBatches(Readable.from(parts))) {
			lines.push(...batch);
		}

		expect(lines, String(size)).to.deep.equal(['{"a":"ł"}', '', '{"b":2}']);
	}
});
