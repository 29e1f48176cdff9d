/**
 * Compares the latency of live calls with and without a rollout in progress. Entry and three agents run as processes.
 *
 * `node build/bench.mjs live-rollout [--seconds 10]`
 */
import {randomBytes} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import {build as buildHistogram} from 'hdr-histogram-js';
import {
	Fleet, type FleetProcess, getJson, waitFor,
} from '../test/support/fleet.ts';

const {values} = parseArgs({options: {seconds: {type: 'string'}}});

const phaseSeconds = Number(values.seconds ?? 10);

/** Interval between two calls, in milliseconds. */
const callIntervalMs = 10;

const linkBytesPerSecond = 2_000_000;

/** Size of the new version. At 80 % of the link bandwidth, which transfers may use, it takes 70 % of a phase. */
const copyBytes = Math.round(linkBytesPerSecond * 0.8 * phaseSeconds * 0.7);

const chunkBytes = 256 * 1024;

const agentCount = 3;

type Phase = {readonly name: string; readonly calls: number; readonly failed: number; readonly p50: number; readonly p99: number};

async function sendCall(entry: FleetProcess): Promise<boolean> {
	const res = await fetch(`http://${entry.callers}/v1/generate/ask`, {
		method: 'POST', headers: {'x-workspace': 'desk'}, body: JSON.stringify({prompt: 'wheel is loose', max_tokens: 5}),
	});
	const text = await res.text();
	return res.status === 200 && text.includes('"done":true');
}

async function measure(name: string, entry: FleetProcess, isOver: () => Promise<boolean>): Promise<Phase> {
	const histogram = buildHistogram({lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3});
	const pending: Array<Promise<void>> = [];
	let failed = 0;
	const measureCall = async () => {
		const startedAtMs = performance.now();
		try {
			failed += await sendCall(entry) ? 0 : 1;
		} catch {
			failed++;
		}

		histogram.recordValue(Math.max(1, Math.round((performance.now() - startedAtMs) * 1000)));
	};

	const endMs = performance.now() + (phaseSeconds * 1000);
	while (performance.now() < endMs && !await isOver()) {
		for (let index = 0; index < 20; index++) {
			pending.push(measureCall());
			await sleep(callIntervalMs);
		}
	}

	await Promise.all(pending);
	return {
		name, calls: histogram.totalCount, failed, p50: histogram.getValueAtPercentile(50) / 1000, p99: histogram.getValueAtPercentile(99) / 1000,
	};
}

async function allServeVersion(agents: readonly FleetProcess[], version: string): Promise<boolean> {
	const dumps = await Promise.all(agents.map(async ({control}) => getJson(control, '/dump')));
	return dumps.every(dump => (dump?.report as {served: Array<{version: string}>} | undefined)?.served.some(item => item.version === version) ?? false);
}

const fleet = new Fleet({bytesPerSecond: 2 * linkBytesPerSecond, maxConcurrentReads: 64});
await fleet.start();
try {
	const firstManifest = fleet.platform.addWeights('assistant', 'v1', randomBytes(300_000), chunkBytes);
	const secondManifest = fleet.platform.addWeights('assistant', 'v2', randomBytes(copyBytes), chunkBytes);
	const versions = {v1: {manifest: firstManifest}, v2: {manifest: secondManifest}};
	fleet.platform.publish({
		'/models/assistant': {serve: 'v1', versions}, '/services/assistant': {kind: 'engine'}, '/teams/desk/routes/ask': {service: 'assistant', model: 'assistant'},
	});
	const agents: FleetProcess[] = [];
	for (let index = 0; index < agentCount; index++) {
		agents.push(await fleet.engineAgent(`vm-${index}`, 'assistant', {}, {transfer: {link_bytes_per_second: linkBytesPerSecond}}));
	}

	const entry = await fleet.entry('vm-entry');
	await waitFor('v1 is served', async () => allServeVersion(agents, 'v1'));
	await sleep(2000);
	await measure('warm-up', entry, async () => false);
	const idle = await measure('no rollout', entry, async () => false);
	fleet.platform.publish({'/models/assistant': {serve: 'v2', previous: 'v1', versions}});
	const busy = await measure('rollout', entry, async () => allServeVersion(agents, 'v2'));
	console.log('| phase | calls | failed | p50, ms | p99, ms |\n| --- | --- | --- | --- | --- |');
	for (const {name, calls, failed, p50, p99} of [idle, busy]) {
		console.log(`| ${name} | ${calls} | ${failed} | ${p50.toFixed(1)} | ${p99.toFixed(1)} |`);
	}

	console.log(`p99 ratio ${(busy.p99 / idle.p99).toFixed(2)}; all agents serve the new version at the end: ${await allServeVersion(agents, 'v2')}`);
} finally {
	await fleet.stop();
}
