/** Compares tail latency and extra work with and without second attempts of late calls: `node build/bench.mjs hedging`. */
import {HedgingModel, type HedgingResult, type HedgingScenario} from './hedging-model.ts';

const seeds = [1, 2, 3, 4];
const ratios = [0, 0.05, 0.1];

const base: HedgingScenario = {
	seed: 1, hedgeRatio: 0, gateways: 14, instances: 5, slots: 6, workMs: 61, callsPerSecond: 50, idempotentShare: 0.29, seconds: 1260, paceAt: () => 1,
};

/** The length of a slow time, in milliseconds. */
const slowTimeMs = 250;

/** Returns whether an instance has a slow time, as a VM that shares its processor has, in `perMille` of the time. */
function isSlowTime(instance: number, nowMs: number, perMille: number): boolean {
	const slot = Math.floor(nowMs / slowTimeMs);
	const hash = Math.imul((slot * 8) + instance + 1, 2_654_435_761) >>> 8; // eslint-disable-line no-bitwise -- hash
	return hash % 1000 < perMille;
}

const scenarios: ReadonlyArray<{readonly name: string; readonly overrides: Partial<HedgingScenario>}> = [
	{name: 'even', overrides: {}},
	{name: 'slow times (1 % of the time, work takes 8 times as long)', overrides: {paceAt: (instance, nowMs) => (isSlowTime(instance, nowMs, 10) ? 8 : 1)}},
	{name: 'slow times (2 % of the time)', overrides: {paceAt: (instance, nowMs) => (isSlowTime(instance, nowMs, 20) ? 8 : 1)}},
	{name: 'one of five instances 4 times as slow', overrides: {paceAt: instance => (instance === 0 ? 4 : 1)}},
	{
		name: 'one of 50 instances 4 times as slow', overrides: {
			instances: 50, callsPerSecond: 500, seconds: 360, paceAt: instance => (instance === 0 ? 4 : 1),
		},
	},
	{name: 'all 4 times as slow for 5 s of each 60', overrides: {paceAt: (_, nowMs) => (nowMs % 60_000 < 5000 ? 4 : 1)}},
	{name: 'overload (1.15 times the capacity)', overrides: {callsPerSecond: 565, seconds: 180}},
	{name: 'overload with slow times', overrides: {callsPerSecond: 565, seconds: 180, paceAt: (instance, nowMs) => (isSlowTime(instance, nowMs, 20) ? 8 : 1)}},
];

function runAll(overrides: Partial<HedgingScenario>): HedgingResult {
	const results = seeds.map(seed => new HedgingModel({...base, ...overrides, seed}).run());
	const sum = (read: (result: HedgingResult) => number) => results.reduce((total, result) => total + read(result), 0);
	return {
		times: results.flatMap(({times}) => times).toSorted((a, b) => a - b),
		refused: sum(({refused}) => refused),
		calls: sum(({calls}) => calls),
		sent: sum(({sent}) => sent),
		busyMs: sum(({busyMs}) => busyMs),
		cancelledMs: sum(({cancelledMs}) => cancelledMs),
	};
}

function quantile(sorted: readonly number[], share: number): string {
	return (sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0).toFixed(0);
}

function percent(share: number): string {
	return `${(share * 100).toFixed(2)} %`;
}

console.log('| load | hedge_ratio | p50 | p99 | p99.9 | second attempts per call | cancelled share of slot time | refused |\n| --- | --- | --- | --- | --- | --- | --- | --- |');
for (const {name, overrides} of scenarios) {
	for (const hedgeRatio of ratios) {
		const {times, refused, calls, sent, busyMs, cancelledMs} = runAll({...overrides, hedgeRatio});
		const cells = [
			name, hedgeRatio, quantile(times, 0.5), quantile(times, 0.99), quantile(times, 0.999), percent(sent / calls), percent(cancelledMs / busyMs), percent(refused / (times.length + refused)),
		];
		console.log(`| ${cells.join(' | ')} |`);
	}
}
