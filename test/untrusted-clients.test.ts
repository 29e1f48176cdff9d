/** Clients that want to end a gateway: each test has one gateway with low limits, one crowd in a process of its own, and one ordinary call afterwards. */
import http from 'node:http';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {startBodyService} from './support/body-service.ts';
import {waitFor} from './support/fleet.ts';
import {Processes} from './support/processes.ts';
import {openDescriptors, peakMemoryMb} from './support/process-usage.ts';

const crowd = path.join(import.meta.dirname, 'support/crowd.ts');

/** Limits of the gateway: its heap and its memory in megabytes, and its descriptors, of which some are reserved for files. */
const heapMb = 40;
const memoryMb = 200;
const maxDescriptors = 700;
const reservedDescriptors = 200;

const sampleIntervalMs = 20;

/** How long the crowd stays after it has sent everything, in milliseconds. */
const settleMs = 1500;

const processes = new Processes();

after(() => {
	processes.stop();
});

/** Sends an ordinary call; returns whether it was served. */
async function isServed(url: string): Promise<boolean> {
	return new Promise(resolve => {
		const req = http.request(`${url}/p/x`, {
			method: 'POST', agent: false, timeout: 5000, headers: {
				host: 'a.example', 'attempt-id': 'ordinary', 'api-key': 'k1', 'deadline-ms': 3000, 'content-length': 5,
			},
		}, res => {
			res.resume();
			resolve(res.statusCode === 200);
		});
		req.on('timeout', () => {
			req.destroy();
		});
		req.on('error', () => {
			resolve(false);
		});
		req.end('small');
	});
}

const cases: ReadonlyArray<readonly [string, string, number, ('url' | 'controlUrl')?]> = [
	['bodies in chunks of one byte that do not end', 'tiny', 40],
	['bodies in chunks of 700 bytes that do not end', 'small', 60],
	['bodies in chunks of 256 kB that do not end', 'large', 60],
	['connections of which half leave early', 'leaving', 1500],
	['heads, bodies and reads that trickle', 'trickling', 300],
	['requests on connections that do not read', 'pipelining', 20],
	['heads of small fields that do not end', 'heads', 400],
	['responses in chunks of one byte that do not end', 'asking', 40],
	['bodies for its peers in chunks of one byte that do not end', 'tinyToPeers', 40, 'controlUrl'],
	['connections to its control listener of which half leave early', 'leaving', 1500, 'controlUrl'],
	['all of them at once', 'tiny,small,large,leaving,trickling,pipelining,heads', 40],
];

for (const [what, kinds, count, target = 'url'] of cases) {
	it(`guards against ${what}: the gateway lives within its memory and descriptors, and serves an ordinary call afterwards`, async () => {
		const store = await startBodyService(processes);
		const gateway = await processes.startGateway(store, `memory_mb = ${memoryMb}\nmax_descriptors = ${maxDescriptors}\n`, {
			nodeOptions: [`--max-old-space-size=${heapMb}`, '--max-semi-space-size=1', '--optimize-for-size'],
		});
		const {child, url} = gateway;
		const clients = processes.start(['--import', 'tsx', crowd, gateway[target], kinds, String(count)]);
		const hasEnded = () => child.exitCode !== null || child.signalCode !== null;
		let descriptors = 0;
		let untilMs = Number.POSITIVE_INFINITY;
		while (!hasEnded() && performance.now() < untilMs) {
			if (untilMs === Number.POSITIVE_INFINITY && clients.out().includes('done')) {
				untilMs = performance.now() + settleMs;
			}

			descriptors = Math.max(descriptors, openDescriptors(child));
			await sleep(sampleIntervalMs);
		}

		const peakMb = hasEnded() ? Number.NaN : peakMemoryMb(child);
		clients.child.kill('SIGKILL');
		const text = JSON.stringify({
			exitCode: child.exitCode, signal: child.signalCode, peakMb, descriptors,
		});
		expect(hasEnded(), text).to.equal(false);
		expect(peakMb, text).to.be.below(memoryMb);
		expect(descriptors, text).to.be.at.most(maxDescriptors - reservedDescriptors);
		await waitFor('an ordinary call is served', async () => hasEnded() || isServed(url));
		expect(hasEnded(), text).to.equal(false);
		child.kill('SIGKILL');
		store.close();
	});
}
