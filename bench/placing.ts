/** Compares policies that select an engine for a stream, and writes the table and the plots for docs/ROUTING.md: `node build/bench.mjs placing`. */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {meanSlotTimeMs} from '../src/placement/engine-forecast.ts';
import {PlacingModel} from './placing-model.ts';
import {
	asksCounters, createScenario, currentPolicy, defaultTiming, fewestCallsPolicy, largeFleet, randomPolicy,
} from './placing-scenarios.ts';
import type {CallResult, PlacementPolicy, PlacingScenario} from './placing-types.ts';
import {writeDocPart} from './support/doc-part.ts';
import {drawPlots} from './svg-plot.ts';

const seeds = [1, 2, 3];
const msPerSecond = 1000;

/** A policy and the scenario overrides that it is simulated with. */
type Variant = {readonly name: string; readonly color: string; readonly policy: PlacementPolicy; readonly scenario: Partial<PlacingScenario>};

const variants: readonly Variant[] = [
	{
		name: 'random', color: '#762a83', policy: randomPolicy, scenario: {},
	},
	{
		name: 'fewest calls', color: '#d95f02', policy: fewestCallsPolicy, scenario: {},
	},
	{
		name: 'counts late', color: '#2c7fb8', policy: currentPolicy, scenario: {broadcastsChanges: false, broadcastIntervalMs: 120},
	},
	{
		name: 'told at once', color: '#7b6b1e', policy: currentPolicy, scenario: {},
	},
	{
		name: 'present', color: '#1b7837', policy: currentPolicy, scenario: asksCounters,
	},
];

/** Simulates a scenario with all seeds and returns the results of all runs. */
function runModel(variant: Variant, overrides: Partial<PlacingScenario>): readonly CallResult[] {
	return seeds.flatMap(seed => [...new PlacingModel(createScenario({
		...overrides, ...variant.scenario, policy: variant.policy, seed,
	})).run()]);
}

function shareOf(results: readonly CallResult[], ...outcomes: Array<CallResult['outcome']>): number {
	return results.filter(({outcome}) => outcomes.includes(outcome)).length / Math.max(1, results.length);
}

/** Returns the earned value as a share of the value that on-time responses to all calls would have. */
function valueRatio(results: readonly CallResult[]): number {
	return results.reduce((sum, {value}) => sum + value, 0) / results.reduce((sum, {maxValue}) => sum + maxValue, 0);
}

/** Returns the share of the largest tenth of the calls that is served, on time or late. */
function largestServedShare(results: readonly CallResult[]): number {
	const sorted = results.toSorted((a, b) => b.maxValue - a.maxValue);
	return shareOf(sorted.slice(0, Math.ceil(sorted.length / 10)), 'on time', 'late');
}

function percent(share: number): string {
	return `${(share * 100).toFixed(1)} %`;
}

function formatRow(title: string, variant: Variant, overrides: Partial<PlacingScenario>): string {
	const results = runModel(variant, overrides);
	const cells = [
		title,
		variant.name,
		valueRatio(results).toFixed(3),
		...(['on time', 'late', 'refused again'] as const).map(outcome => percent(shareOf(results, outcome))),
		percent(largestServedShare(results)),
	];
	return `| ${cells.join(' | ')} |`;
}

/** Returns the offered load as a multiple of the capacity of the given number of engines. */
function offeredLoad(engines: number): number {
	const {callsPerSecond} = createScenario();
	return callsPerSecond / (engines * defaultTiming.slots * msPerSecond / meanSlotTimeMs(defaultTiming));
}

const scenarios: ReadonlyArray<readonly [string, Partial<PlacingScenario>]> = [
	...[18, 14, 11, 8].map(engines => [`${engines} engines, load ${offeredLoad(engines).toFixed(2)}`, {engines}] as const),
	['14 engines, 3 of them 2 × slower', {engines: 14, slowEngines: 3, slowness: 2}],
	['40 engines, 36 entries, load 0.85', {engines: 40, entries: 36, callsPerSecond: 312}],
	['109 smaller engines, 99 entries, 500 calls/s', {...largeFleet, callsPerSecond: 500}],
	['109 smaller engines, 99 entries, 780 calls/s', {...largeFleet, callsPerSecond: 780}],
];

const tableHeader = '| scenario | way | worth | on time | late | refused twice | largest tenth served |\n| --- | --- | ---: | ---: | ---: | ---: | ---: |';
writeDocPart('docs/ROUTING.md', 'placing', [tableHeader, ...scenarios.flatMap(([title, overrides]) => variants.map(variant => formatRow(title, variant, overrides)))].join('\n'));

const plottedEngineCounts = [36, 24, 18, 14, 11, 9, 8, 7];
writeFileSync(path.resolve('docs/placing.svg'), drawPlots([{
	title: 'Share of calls answered on time', xLabel: 'offered load / capacity', maxX: 2, maxY: 1, ticksY: [0, 0.25, 0.5, 0.75, 1],
	lines: variants.map(variant => ({
		name: variant.name, color: variant.color, points: plottedEngineCounts.map(engines => [offeredLoad(engines), shareOf(runModel(variant, {engines}), 'on time')] as const),
	})),
}, {
	title: 'Worth earned / worth asked', xLabel: 'offered load / capacity', maxX: 2, maxY: 1, ticksY: [0, 0.25, 0.5, 0.75, 1],
	lines: variants.map(variant => ({name: variant.name, color: variant.color, points: plottedEngineCounts.map(engines => [offeredLoad(engines), valueRatio(runModel(variant, {engines}))] as const)})),
}]));
