/** Tests of the log sink with a reader that stops reading, and with too many lines. */
import {spawn} from 'node:child_process';
import {
	closeSync, mkdtempSync, openSync, readFileSync, rmSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {parseLogLine} from '../src/reports/explain-request.ts';
import {LogSink} from '../src/runtime/log-sink.ts';

const lineBytes = 500;

it('guards against a log reader that stops reading: writes do not block, memory stays bounded, and dropped lines are counted', async () => {
	// The child process never reads its standard input, so the pipe fills up.
	const child = spawn(process.execPath, ['-e', 'setTimeout(() => {}, 20_000)'], {stdio: ['pipe', 'ignore', 'ignore']});
	const {fd} = (child.stdin as unknown as {_handle: {fd: number}})._handle;
	const sink = new LogSink(fd);
	const initialRssBytes = process.memoryUsage().rss;
	let maxWriteMs = 0;
	for (let at = 0; at < 20_000; at++) {
		const startedAtMs = performance.now();
		sink.write({level: 50, text: 'x'.repeat(lineBytes)} as {level: number});
		maxWriteMs = Math.max(maxWriteMs, performance.now() - startedAtMs);
		if (at % 500 === 0) {
			await sleep(1);
		}
	}

	child.kill('SIGKILL');
	expect(sink.dropped).to.be.greaterThan(10_000);
	expect(maxWriteMs).to.be.lessThan(500);
	expect(process.memoryUsage().rss - initialRssBytes).to.be.lessThan(64 * 1024 * 1024);
});

/** Returns what a sink has written after an action, and how many lines it dropped. */
async function writtenBy(action: (sink: LogSink) => void): Promise<{readonly text: string; readonly dropped: number}> {
	const folder = mkdtempSync(path.join(tmpdir(), 'log-sink-'));
	const file = path.join(folder, 'log');
	const fd = openSync(file, 'w');
	try {
		const sink = new LogSink(fd);
		action(sink);
		await sink.drain();
		return {text: readFileSync(file, 'utf8'), dropped: sink.dropped};
	} finally {
		closeSync(fd);
		rmSync(folder, {recursive: true});
	}
}

function writeMany(sink: LogSink, count: number, record: {readonly level: number; readonly event: string; readonly vm?: string}): void {
	for (let at = 0; at < count; at++) {
		sink.write(record);
	}
}

it('guards against losing lines about failures among too many routine lines: routine lines are dropped first, and a line reports the number of dropped lines', async () => {
	const {text, dropped} = await writtenBy(sink => {
		writeMany(sink, 2000, {level: 30, event: 'routine'});
		writeMany(sink, 100, {level: 40, event: 'failure'});
	});
	expect(text.split('"failure"').length - 1).to.equal(100);
	expect(text).to.include('"lines_dropped"');
	expect(dropped).to.be.greaterThan(1000);
});

it('guards against losing lines about failures behind a slow reader: routine lines leave half of the queue to them', async () => {
	const {text} = await writtenBy(sink => {
		writeMany(sink, 400, {level: 30, event: 'routine', vm: 'x'.repeat(600)});
		writeMany(sink, 100, {level: 40, event: 'failure', vm: 'x'.repeat(600)});
	});
	expect(text.split('"failure"').length - 1).to.equal(100);
});

it('guards against a number of dropped lines that does not tell whose they are: the line names the process, and the lines since the last one', async () => {
	const {text, dropped} = await writtenBy(sink => {
		writeMany(sink, 500, {level: 30, event: 'routine', vm: 'g1'});
	});
	const line = text.split('\n').map(item => parseLogLine(item)).find(item => item?.event === 'lines_dropped');
	expect(line).to.include({vm: 'g1', dropped, added: dropped});
});

it('guards against lost lines that are counted as one: all lines of a write that failed are counted', async () => {
	// Each write to this device fails, as on a full disk.
	const fd = openSync('/dev/full', 'w');
	try {
		const sink = new LogSink(fd);
		writeMany(sink, 100, {level: 40, event: 'failure'});
		await sink.drain();
		expect(sink.dropped).to.equal(100);
	} finally {
		closeSync(fd);
	}
});

it('guards against losing the line that tells which configuration is in force among too many lines of calls', async () => {
	const {text, dropped} = await writtenBy(sink => {
		writeMany(sink, 2000, {level: 30, event: 'call_ended'});
		writeMany(sink, 20, {level: 30, event: 'configuration_taken'});
	});
	expect(text.split('"configuration_taken"').length - 1).to.equal(20);
	expect(dropped).to.be.greaterThan(1000);
});
