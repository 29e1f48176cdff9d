/** Plays calls that crash engines with few and many gateways, with and without crashes of other causes: `node build/bench.mjs quarantine [SEEDS [GATEWAYS]]`. */
import process from 'node:process';
import {initRendezvousHash} from '../src/runtime/rendezvous.ts';
import {playQuarantine, type QuarantineResult, type QuarantineScenario} from './quarantine-model.ts';

const seeds = Number(process.argv[2] ?? 5);

/** Larger fleets are left out. */
const mostGateways = Number(process.argv[3] ?? Number.POSITIVE_INFINITY);

const sizes = [
	{gateways: 3, engines: 10, callsPerSecond: 60},
	{gateways: 7, engines: 10, callsPerSecond: 120},
	{gateways: 99, engines: 109, callsPerSecond: 780},
	{gateways: 300, engines: 330, callsPerSecond: 2300},
];

const none: QuarantineScenario['otherCrashes'] = [];
const many: QuarantineScenario['otherCrashes'] = [2000, 5000, 5400, 9000, 13_000, 13_200, 17_000, 20_000].map(atMs => ({atMs, share: 0.2}));

const variants = [
	{name: 'one part', crashing: [{fromMs: 4000, toMs: 26_000, share: 0.02}], otherCrashes: none},
	{name: 'one part, other crashes', crashing: [{fromMs: 4000, toMs: 26_000, share: 0.02}], otherCrashes: many},
	{name: 'from the start', crashing: [{fromMs: 0, toMs: 26_000, share: 0.05}], otherCrashes: none},
	{name: 'two parts, other crashes', crashing: [{fromMs: 3000, toMs: 26_000, share: 0.02}, {fromMs: 9000, toMs: 26_000, share: 0.02}], otherCrashes: many},
	{name: 'other crashes alone', crashing: [], otherCrashes: many},
];

await initRendezvousHash();
console.log('| gateways | load | crashes before the hold | crashes by calls | late calls | sound calls refused | of | datagrams a gateway |');
console.log('| --- | --- | --- | --- | --- | --- | --- | --- |');
for (const size of sizes.filter(({gateways}) => gateways <= mostGateways)) {
	for (const {name, ...variant} of variants) {
		const results: QuarantineResult[] = [];
		for (let seed = 1; seed <= seeds; seed++) {
			results.push(await playQuarantine({
				...size, ...variant, seed, lengthMs: 30_000, sharedParts: 180, restartsAtMs: [12_000, 18_000],
			}));
		}

		const range = (values: readonly number[]) => `${Math.min(...values)} to ${Math.max(...values)}`;
		const column = (key: keyof QuarantineResult) => range(results.map(result => result[key]));
		const sound = results.reduce((sum, {soundCalls}) => sum + soundCalls, 0);
		console.log(`| ${size.gateways} | ${name} | ${column('crashesBeforeHold')} | ${column('crashes')} | ${column('lateCrashingCalls')} | ${column('soundRefused')} | ${Math.round(sound / seeds)} | ${column('datagramsPerGateway')} |`);
	}
}
