/** The log writer when its reader is slow, gone or flooded. */
import {spawn} from 'node:child_process';
import {
	closeSync, mkdtempSync, openSync, readFileSync, rmSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {LogSink} from '../src/runtime/log-sink.ts';

const lineBytes = 500;

it('guards against a log reader that stops reading: writing never blocks, memory stays bounded, and dropped lines are counted', async () => {
	// The child never reads its standard input, so that the pipe fills up.
	const child = spawn(process.execPath, ['-e', 'setTimeout(() => {}, 20_000)'], {stdio: ['pipe', 'ignore', 'ignore']});
	const {fd} = (child.stdin as unknown as {_handle: {fd: number}})._handle;
	const sink = new LogSink(fd);
	const beforeBytes = process.memoryUsage().rss;
	let longestMs = 0;
	for (let at = 0; at < 20_000; at++) {
		const startedMs = performance.now();
		sink.write({level: 50, text: 'x'.repeat(lineBytes)} as {level: number});
		longestMs = Math.max(longestMs, performance.now() - startedMs);
		if (at % 500 === 0) {
			await sleep(1);
		}
	}

	child.kill('SIGKILL');
	expect(sink.dropped).to.be.greaterThan(10_000);
	expect(longestMs).to.be.lessThan(500);
	expect(process.memoryUsage().rss - beforeBytes).to.be.lessThan(64 * 1024 * 1024);
});

it('guards against lost failures under a flood of routine lines: routine lines are dropped first, and a line tells how many', async () => {
	const folder = mkdtempSync(path.join(tmpdir(), 'log-sink-'));
	const file = path.join(folder, 'log');
	const fd = openSync(file, 'w');
	try {
		const sink = new LogSink(fd);
		for (let at = 0; at < 2000; at++) {
			sink.write({level: 30, event: 'routine'} as {level: number});
		}

		for (let at = 0; at < 100; at++) {
			sink.write({level: 40, event: 'failure'} as {level: number});
		}

		await sink.drain();
		const text = readFileSync(file, 'utf8');
		expect(text.split('"failure"').length - 1).to.equal(100);
		expect(text).to.include('"lines_dropped"');
		expect(sink.dropped).to.be.greaterThan(1000);
	} finally {
		closeSync(fd);
		rmSync(folder, {recursive: true});
	}
});
