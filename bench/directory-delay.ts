/**
 * Prints how long configurations take to reach all gateways, and what each change costs in messages, on a faked clock and network without
 * processor time.
 *
 * Usage: `npx tsx bench/directory-delay.ts [SEEDS] [GATEWAYS] [ZONES] [STAGERS]`
 */
import process from 'node:process';
import {initRendezvousHash} from '../src/runtime/rendezvous.ts';
import {type ReplicaFleet, storm, withReplicas} from '../test/support/replica-fleet.ts';

/** How long the last change may take, in milliseconds. */
const settleMs = 8000;

const [seeds = 10, gateways = 43, zoneCount = 3, stagers = gateways] = process.argv.slice(2).map(Number);

/** What happens to the network when a storm begins. */
const disturbances: Readonly<Record<string, (fleet: ReplicaFleet) => void>> = {
	nothing: () => undefined,
	'3 % of packets lost'(fleet) {
		fleet.lossBetween = () => 0.03;
	},
	'30 % of packets lost'(fleet) {
		fleet.lossBetween = () => 0.3;
	},
	'one in ten gateways cut off from the other gateways'(fleet) {
		fleet.cutOffFromGateways();
	},
	'open connections to the source go silent'(fleet) {
		fleet.source.loseOpenCalls();
	},
};

type Sums = {readonly delays: number[]; datagrams: number; bytes: number; requests: number; calls: number};

async function playStorm(fleet: ReplicaFleet, disturb: (fleet: ReplicaFleet) => void, sums: Sums): Promise<void> {
	const before = {...fleet.sent, calls: fleet.source.total};
	disturb(fleet);
	const changes = await fleet.publishStorm();

	sums.datagrams += fleet.sent.datagrams - before.datagrams;
	sums.bytes += fleet.sent.bytes - before.bytes;
	sums.requests += fleet.sent.requests - before.requests;
	sums.calls += fleet.source.total - before.calls;
	await fleet.pass(settleMs);
	sums.delays.push(...fleet.gateways.flatMap(({info: {vm}}) => changes.map(({version, atMs}) => fleet.delayOf(vm, version, atMs) ?? Number.POSITIVE_INFINITY)));
}

await initRendezvousHash();
console.log(`${gateways} gateways, ${stagers} stagers, ${zoneCount} zones, ${seeds} seeds, ${storm.count} changes each ${storm.intervalMs} ms`);
console.log('| disturbance | delay ms: median | p90 | p99 | longest | later than 3 s | a change: datagrams | KB | requests | calls of the source |');
console.log('| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |');
const zones = Array.from({length: zoneCount}, (_, index) => `z-${index}`);
for (const [name, disturb] of Object.entries(disturbances)) {
	const sums: Sums = {
		delays: [], datagrams: 0, bytes: 0, requests: 0, calls: 0,
	};
	for (let seed = 1; seed <= seeds; seed++) {
		await withReplicas(seed, {gateways, stagers, zones}, async fleet => playStorm(fleet, disturb, sums));
	}

	const delays = sums.delays.toSorted((a, b) => a - b);
	const at = (share: number) => Math.round(delays[Math.min(delays.length - 1, Math.floor(delays.length * share))]!);
	const perChange = (sum: number) => (sum / seeds / storm.count).toFixed(0);
	const late = delays.filter(delayMs => delayMs > 3000).length;
	console.log(`| ${[name, at(0.5), at(0.9), at(0.99), at(1), `${late} of ${delays.length}`, perChange(sums.datagrams), (sums.bytes / seeds / storm.count / 1000).toFixed(1), perChange(sums.requests), perChange(sums.calls)].join(' | ')} |`);
}
