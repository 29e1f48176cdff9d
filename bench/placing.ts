/** Compares ways to place streams at engines and writes the tables and the plot of docs/ROUTING.md: `node build/bench.mjs placing`. */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {meanSlotTimeMs} from '../src/forwarding/engine-forecast.ts';
import {
	fewestCallsPolicy, type PlacedEnd, PlacingModel, type PlacePolicy, type PlacingScenario, presentPolicy, randomPolicy, usualScenario, usualTiming,
} from './placing-model.ts';
import {writeDocPart} from './support/doc-part.ts';
import {drawPlots} from './svg-plot.ts';

const seeds = [1, 2, 3];
const msPerSecond = 1000;

type Way = {readonly name: string; readonly color: string; readonly policy: PlacePolicy; readonly scenario: Partial<PlacingScenario>};

const ways: readonly Way[] = [
	{
		name: 'random', color: '#762a83', policy: randomPolicy, scenario: {},
	},
	{
		name: 'fewest calls', color: '#d95f02', policy: fewestCallsPolicy, scenario: {},
	},
	{
		name: 'counts late', color: '#2c7fb8', policy: presentPolicy, scenario: {tellsChanges: false, tellEveryMs: 120},
	},
	{
		name: 'present', color: '#1b7837', policy: presentPolicy, scenario: {},
	},
];

function play(way: Way, change: Partial<PlacingScenario>): readonly PlacedEnd[] {
	return seeds.flatMap(seed => [...new PlacingModel(usualScenario({
		...change, ...way.scenario, policy: way.policy, seed,
	})).run()]);
}

function shareOf(ends: readonly PlacedEnd[], ...outcomes: Array<PlacedEnd['outcome']>): number {
	return ends.filter(({outcome}) => outcomes.includes(outcome)).length / Math.max(1, ends.length);
}

function worthOf(ends: readonly PlacedEnd[]): number {
	return ends.reduce((sum, {worth}) => sum + worth, 0) / ends.reduce((sum, {owed}) => sum + owed, 0);
}

/** The share of the largest tenth of all calls that is served at all. */
function largestServed(ends: readonly PlacedEnd[]): number {
	const sorted = ends.toSorted((a, b) => b.owed - a.owed);
	return shareOf(sorted.slice(0, Math.ceil(sorted.length / 10)), 'on time', 'late');
}

function percent(share: number): string {
	return `${(share * 100).toFixed(1)} %`;
}

function formatRow(title: string, way: Way, change: Partial<PlacingScenario>): string {
	const ends = play(way, change);
	const cells = [title, way.name, worthOf(ends).toFixed(3), ...(['on time', 'late', 'refused again'] as const).map(outcome => percent(shareOf(ends, outcome))), percent(largestServed(ends))];
	return `| ${cells.join(' | ')} |`;
}

function loadOf(engines: number): number {
	const {callsPerSecond} = usualScenario();
	return callsPerSecond / (engines * usualTiming.slots * msPerSecond / meanSlotTimeMs(usualTiming));
}

const scenarios: ReadonlyArray<readonly [string, Partial<PlacingScenario>]> = [
	...[18, 14, 11, 8].map(engines => [`${engines} engines, load ${loadOf(engines).toFixed(2)}`, {engines}] as const),
	['14 engines, 3 of them 2 × slower', {engines: 14, slowEngines: 3, slowness: 2}],
	['40 engines, 36 entries, load 0.85', {engines: 40, entries: 36, callsPerSecond: 312}],
];

const columns = '| scenario | way | worth | on time | late | refused twice | largest tenth served |\n| --- | --- | ---: | ---: | ---: | ---: | ---: |';
writeDocPart('docs/ROUTING.md', 'placing', [columns, ...scenarios.flatMap(([title, change]) => ways.map(way => formatRow(title, way, change)))].join('\n'));

const plotted = [36, 24, 18, 14, 11, 9, 8, 7];
writeFileSync(path.resolve('docs/placing.svg'), drawPlots([{
	title: 'Share of calls answered on time', xLabel: 'offered load / capacity', maxX: 2, maxY: 1, ticksY: [0, 0.25, 0.5, 0.75, 1],
	lines: ways.map(way => ({name: way.name, color: way.color, points: plotted.map(engines => [loadOf(engines), shareOf(play(way, {engines}), 'on time')] as const)})),
}, {
	title: 'Worth earned / worth asked', xLabel: 'offered load / capacity', maxX: 2, maxY: 1, ticksY: [0, 0.25, 0.5, 0.75, 1],
	lines: ways.map(way => ({name: way.name, color: way.color, points: plotted.map(engines => [loadOf(engines), worthOf(play(way, {engines}))] as const)})),
}]));
