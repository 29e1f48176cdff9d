/**
 * Measures the processor time that log lines cost a gateway per call, at one gateway's share of 43,000 requests a second over 930 nodes.
 *
 * Run with `node build/bundle.mjs && npx tsx bench/log-cost.ts [SECONDS]`. One gateway process for each log level runs at the same time, so that
 * what else the machine does slows all of them. Callers, store and upstream run in this process.
 */
import os from 'node:os';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {headerNames, storeKeys} from '../platform/wire-names.ts';
import {callGateway, startUpstream} from '../test/support/direct-fixtures.ts';
import {DirectoryStore} from '../test/support/directory-store.ts';
import {observedConfiguration, observedPlain} from '../test/support/observed-gateway.ts';
import {type GatewayProcess, Processes} from '../test/support/processes.ts';

/** One gateway's share of 43,000 requests a second over 930 nodes. */
const callsPerSecond = 46;

const defaultSeconds = 60;
const warmUpSeconds = 5;
const msPerSecond = 1000;
const microsPerSecond = 1_000_000;

/** A level above all lines but those of a process that fails writes none of the calls. */
const levels = ['fatal', 'info', 'debug'] as const;

type Sample = {readonly processorS: number; readonly lines: number; readonly bytes: number; readonly dropped: number};

async function readSample(gateway: GatewayProcess): Promise<Sample> {
	const res = await fetch(`${gateway.controlUrl}/metrics`);
	const text = await res.text();
	const read = (name: string) => Number(new RegExp(`^${name} (.*)$`, 'm').exec(text)?.[1]);
	const out = gateway.out();
	return {
		processorS: read('cactusreach_processor_seconds_total'), lines: out.split('\n').length - 1, bytes: out.length, dropped: read('cactusreach_log_lines_dropped_total'),
	};
}

/** Sends calls to a gateway at the fixed rate, and returns how many were served. */
async function sendCalls({url}: GatewayProcess, seconds: number): Promise<number> {
	const pending: Array<Promise<boolean>> = [];
	const startedAtMs = performance.now();
	const count = callsPerSecond * seconds;
	for (let at = 0; at < count; at++) {
		await sleep(Math.max(0, startedAtMs + (at * msPerSecond / callsPerSecond) - performance.now()));
		pending.push(sendCall(url, `call-${at}`));
	}

	const served = await Promise.all(pending);
	return served.filter(Boolean).length;
}

async function sendCall(url: string, id: string): Promise<boolean> {
	const {status, complete} = await callGateway(url, {headers: {[headerNames.attemptId]: id, 'deadline-ms': '6000'}});
	return status === 200 && complete;
}

const seconds = Number(process.argv[2] ?? defaultSeconds);
const processes = new Processes();
const store = new DirectoryStore();
await store.start();
const upstream = await startUpstream((req, res) => {
	res.writeHead(200, {[headerNames.attemptId]: req.headers[headerNames.attemptId] as string, [headerNames.seal]: 's.1', 'content-length': 800});
	res.end('x'.repeat(800));
});
store.put(storeKeys.configuration, observedConfiguration);
store.put(`${storeKeys.instances}i-desk`, observedPlain('desk', upstream.address));
const gateways: GatewayProcess[] = [];
for (const level of levels) {
	gateways.push(await processes.startGateway(store, '', {processSettings: `log_level = ${level}`}));
}

await Promise.all(gateways.map(async gateway => sendCalls(gateway, warmUpSeconds)));
const before = await Promise.all(gateways.map(async gateway => readSample(gateway)));
const loadBefore = os.loadavg()[0]!;
const served = await Promise.all(gateways.map(async gateway => sendCalls(gateway, seconds)));
// The last lines are written after the last answers.
await sleep(msPerSecond);
const after = await Promise.all(gateways.map(async gateway => readSample(gateway)));
const loads = [loadBefore, os.loadavg()[0]!].map(load => load.toFixed(1)).join(' before, ');
console.log(`${callsPerSecond} calls/s to each of ${levels.length} gateways for ${seconds} s, ${os.cpus().length} cores, load ${loads} after`);
console.log('| log level | calls served | lines per call | bytes per call | lines dropped | processor time, µs/call | more than without lines, µs/call |');
console.log('| --- | --- | --- | --- | --- | --- | --- |');
const microsPerCall = levels.map((_, at) => (after[at]!.processorS - before[at]!.processorS) * microsPerSecond / served[at]!);
for (const [at, level] of levels.entries()) {
	const perCall = (key: 'lines' | 'bytes') => (after[at]![key] - before[at]![key]) / served[at]!;
	const cells = [
		level, served[at], perCall('lines').toFixed(2), perCall('bytes').toFixed(0), after[at]!.dropped, microsPerCall[at]!.toFixed(0), (microsPerCall[at]! - microsPerCall[0]!).toFixed(0),
	];
	console.log(`| ${cells.join(' | ')} |`);
}

processes.stop();
upstream.close();
store.close();
