/** Compares placement without and with load shedding by urgency, and writes the table for docs/ROUTING.md: `node build/bench.mjs shedding`. */
import {PlacingModel} from './placing-model.ts';
import {
	asksCounters, callsAtLoad, createScenario, flatFleet, steepFleet,
} from './placing-scenarios.ts';
import type {CallResult, PlacingScenario} from './placing-types.ts';
import {writeDocPart} from './support/doc-part.ts';

const seeds = [1, 2, 3, 4, 5, 6];
const kinds = ['first', 'second', 'third'];

function runModel(load: number, overrides: Partial<PlacingScenario>): CallResult[] {
	const callsPerSecond = callsAtLoad(load, createScenario(overrides));
	return seeds.flatMap(seed => [...new PlacingModel(createScenario({
		...asksCounters, ...overrides, callsPerSecond, seed,
	})).run()]);
}

function valueRatio(results: readonly CallResult[]): number {
	return results.reduce((sum, {value}) => sum + value, 0) / results.reduce((sum, {maxValue}) => sum + maxValue, 0);
}

function shareOf(results: readonly CallResult[], ...outcomes: ReadonlyArray<CallResult['outcome']>): number {
	return results.filter(({outcome}) => outcomes.includes(outcome)).length / Math.max(1, results.length);
}

function servedShare(results: readonly CallResult[]): number {
	return shareOf(results, 'on time', 'late');
}

/** Returns how often the largest tenth of a kind is served, relative to the whole kind. */
function largestShare(ofKind: readonly CallResult[]): number {
	const largestFirst = ofKind.toSorted((a, b) => b.maxValue - a.maxValue);
	return servedShare(largestFirst.slice(0, Math.ceil(ofKind.length / 10))) / servedShare(ofKind);
}

function formatRow(title: string, load: number, overrides: Partial<PlacingScenario>): string {
	const results = runModel(load, overrides);
	const byKind = kinds.map(kind => results.filter(result => result.kind === kind));
	const cells = [
		title,
		overrides.givesWay ? 'by urgency' : 'without',
		valueRatio(results).toFixed(3),
		byKind.map(ofKind => valueRatio(ofKind).toFixed(2)).join(', '),
		byKind.map(ofKind => servedShare(ofKind).toFixed(2)).join(', '),
		Math.min(...byKind.map(ofKind => largestShare(ofKind))).toFixed(2),
		`${(100 * shareOf(results, 'refused again')).toFixed(1)} %`,
	];
	return `| ${cells.join(' | ')} |`;
}

type Scenario = readonly [title: string, load: number, overrides: Partial<PlacingScenario>];

function scenariosOf(name: string, fleet: Partial<PlacingScenario>): readonly Scenario[] {
	return [
		...[0.8, 1, 1.15, 1.4, 2].map(load => [`${name}, load ${load}`, load, fleet] as const),
		...[6, 14, 36].filter(entries => entries !== fleet.entries).map(entries => [`${name}, load 1.4, ${entries} entries`, 1.4, {...fleet, entries}] as const),
		[`${name}, load 1.4, counts 40 ms late`, 1.4, {...fleet, broadcastDelayMs: 40}],
		[`${name}, load 0.8, 2 s of 1.6`, 0.8, {...fleet, demandAt: ms => (ms >= 6000 && ms < 8000 ? 2 : 1)}],
		[`${name}, load 0.8, half of the engines away for 3 s`, 0.8, {...fleet, outage: {engines: 18, fromMs: 6000, toMs: 9000}}],
	];
}

const header = '| scenario | shedding | value | value by kind | served by kind | largest tenth of a kind | refused twice |\n| --- | --- | ---: | ---: | ---: | ---: | ---: |';
const rows = [...scenariosOf('steep', steepFleet), ...scenariosOf('flat', flatFleet)].flatMap(([title, load, overrides]) =>
	[false, true].map(givesWay => formatRow(title, load, {...overrides, givesWay})));
writeDocPart('docs/ROUTING.md', 'shedding', [header, ...rows].join('\n'));
