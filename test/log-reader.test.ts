/** A gateway process whose log is a pipe that nobody reads. */
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {callGateway, startUpstream, type TestUpstream} from './support/direct-fixtures.ts';
import {DirectoryStore} from './support/directory-store.ts';
import {observedConfiguration, observedPlain} from './support/observed-gateway.ts';
import {type GatewayProcess, Processes} from './support/processes.ts';

/** Enough calls to fill the pipe and the queue of the log, both of which hold less than 1 MB. */
const callCount = 2000;

/** How many calls are sent at once. */
const parallelCalls = 20;

const bytesPerKilobyte = 1024;

let processes = new Processes();
let store = new DirectoryStore();
let upstream: TestUpstream;

beforeEach(async () => {
	processes = new Processes();
	store = new DirectoryStore();
	await store.start();
	upstream = await startUpstream((req, res) => {
		res.writeHead(200, {'attempt-id': req.headers['attempt-id'] as string, 'response-seal': 's.1', 'content-length': 2});
		res.end('ok');
	});
	store.put('op/config', observedConfiguration);
	store.put('servers/i-desk', observedPlain('desk', upstream.address));
});

afterEach(() => {
	processes.stop();
	upstream.close();
	store.close();
});

/** Sends calls, and returns how many were answered, and the longest time until an answer, in milliseconds. */
async function callMany(url: string, count: number): Promise<{readonly served: number; readonly maxMs: number}> {
	let sent = 0;
	let served = 0;
	let maxMs = 0;
	await Promise.all(Array.from({length: parallelCalls}, async () => {
		while (sent < count) {
			const id = `call-${sent++}`;
			const startedAtMs = performance.now();
			const {status, complete} = await callGateway(url, {headers: {'attempt-id': id, 'deadline-ms': '6000'}});
			maxMs = Math.max(maxMs, performance.now() - startedAtMs);
			served += status === 200 && complete ? 1 : 0;
		}
	}));
	return {served, maxMs};
}

function residentBytes({child}: GatewayProcess): number {
	return Number(/^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${child.pid}/status`, 'utf8'))![1]) * bytesPerKilobyte;
}

async function readDropped({controlUrl}: GatewayProcess): Promise<number> {
	const res = await fetch(`${controlUrl}/metrics`);
	const text = await res.text();
	return Number(/^cactusreach_log_lines_dropped_total (\d+)$/m.exec(text)?.[1]);
}

it('guards against a log reader that stops reading: callers are served as before, memory stays bounded, each lost line is counted, and the process stops in time', async () => {
	const gateway = await processes.startGateway(store, 'drain_notice_ms = 100\n', {isOutputRead: false});
	await callMany(gateway.url, callCount);
	const initialBytes = residentBytes(gateway);
	const {served, maxMs} = await callMany(gateway.url, callCount);
	const growthBytes = residentBytes(gateway) - initialBytes;
	const dropped = await readDropped(gateway);
	expect(served).to.equal(callCount);
	expect(maxMs).to.be.lessThan(3000);
	expect(growthBytes).to.be.lessThan(64 * bytesPerKilobyte * bytesPerKilobyte);
	expect(dropped).to.be.greaterThan(callCount / 2);
	const ended = once(gateway.child, 'exit');
	gateway.child.kill('SIGTERM');
	expect(await Promise.race([ended, sleep(8000)])).to.deep.equal([0, null]);
});
