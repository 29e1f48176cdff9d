/**
 * Prints what the rules of placement cost beside the decision itself, with 30, 100 and 300 instances of one service: the memory of a
 * gateway, and what they add to its datagrams. Run it with `node --expose-gc --import tsx bench/placement-state.ts`.
 */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {LatencyHistory} from '../src/forwarding/latency-history.ts';
import type {Instance} from '../src/directory/directory-types.ts';
import {createServiceId} from '../src/ids/service-id.ts';
import {asTrailing} from '../src/peers/engine-observation.ts';
import {encodeReport, encodeYields} from '../src/peers/urgency-wire.ts';
import {InstanceSignals} from '../src/placement/instance-signals.ts';
import {InstanceTracker} from '../src/placement/instance-tracker.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {RandomSource} from '../src/runtime/random-source.ts';

const sizes = [30, 100, 300];
const service = createServiceId('models');
const bytesPerKilobyte = 1000;

/** Kept, so that what is measured is not collected. */
const kept: unknown[] = [];

function heapAfterCollection(): number {
	globalThis.gc!();
	globalThis.gc!();
	return process.memoryUsage().heapUsed;
}

/** Fills what a gateway keeps of its instances: cold times, paces, and the times that calls took. */
function fillState(count: number): number {
	const before = heapAfterCollection();
	const tracker = new InstanceTracker(createSilentLogger(), new InstanceSignals({log: createSilentLogger(), random: new RandomSource(1), gatewayCount: () => count}));
	const latencies = new LatencyHistory();
	for (let at = 0; at < count; at++) {
		const instance: Instance = {
			id: `i-${at}`, service, address: `127.0.0.1:${at + 1}`, zone: 'z', isDraining: false, slots: 12, startedAtMs: 1, held: [],
		};
		tracker.coldStarts.recordCold(instance, 3000);
		tracker.paces.recordOwn(instance.id, 1.2, performance.now());
	}

	for (let at = 0; at < 20_000; at++) {
		latencies.record(`${service} r-${at % 40} ${at % 12}`, 50 + (at % 97), at);
	}

	kept.push(tracker, latencies);
	return heapAfterCollection() - before;
}

const bytesOf = (values: readonly unknown[]) => values.reduce<number>((sum, value) => sum + Buffer.byteLength(`,${JSON.stringify(value)}`), 0);

console.log('| instances | memory of a gateway, KB |');
console.log('| --- | --- |');
for (const size of sizes) {
	console.log(`| ${size} | ${Math.round(fillState(size) / bytesPerKilobyte)} |`);
}

const observation = {pace: [1.25, 35] as [number, number]};
console.log('| datagram | bytes added |');
console.log('| --- | --- |');
for (const [name, values] of Object.entries({
	'`ask`': [encodeReport({urgency: 1, isNewCall: true, refused: []})],
	'`ask` while calls are refused': [encodeReport({urgency: 1, isNewCall: true, refused: [[0, 3], [1, 2]]})],
	'`load`, `count`': asTrailing(observation),
	'`load` while calls give way': asTrailing({...observation, ...encodeYields([[1, 0.2], [2, 0.67]])}),
	'`load` of a cold engine': asTrailing({...observation, coldMs: 2800}),
})) {
	console.log(`| ${name} | ${bytesOf(values)} |`);
}
