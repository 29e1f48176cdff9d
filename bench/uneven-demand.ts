/** Compares placement under uneven demand without and with knowledge of regions and crowded zones, and writes the table for docs/ROUTING.md: `node build/bench.mjs uneven-demand`. */
import {PlacingModel} from './placing-model.ts';
import {
	asksCounters, callsAtLoad, createScenario, flatFleet, steepFleet, unevenDemands,
} from './placing-scenarios.ts';
import type {CallResult, PlacingScenario} from './placing-types.ts';
import {writeDocPart} from './support/doc-part.ts';

const seeds = Array.from({length: 30}, (item, index) => index + 1);

function percent(share: number): string {
	return `${(100 * share).toFixed(0)} %`;
}

function formatRow(title: string, load: number, overrides: Partial<PlacingScenario>): string {
	const results: CallResult[] = [];
	const placed = {zone: 0, region: 0, far: 0};
	let asked = 0;
	for (const seed of seeds) {
		const model = new PlacingModel(createScenario({
			...asksCounters, givesWay: true, seconds: 15, ...overrides, entries: 36, callsPerSecond: callsAtLoad(load, createScenario(overrides)), seed,
		}));
		results.push(...model.run());
		asked += model.askedCount;
		placed.zone += model.zones.placed.zone;
		placed.region += model.zones.placed.region;
		placed.far += model.zones.placed.far;
	}

	const total = placed.zone + placed.region + placed.far;
	const value = results.reduce((sum, result) => sum + result.value, 0) / results.reduce((sum, {maxValue}) => sum + maxValue, 0);
	const cells = [title, overrides.zones?.isUnaware ? 'without' : 'with', value.toFixed(3), percent(placed.region / total), percent(placed.far / total), (asked / results.length).toFixed(1)];
	return `| ${cells.join(' | ')} |`;
}

const header = '| scenario | knowledge | value | to another zone of the region | to another region | questions a call |\n| --- | --- | ---: | ---: | ---: | ---: |';
const rows = Object.entries({steep: steepFleet, flat: flatFleet}).flatMap(([name, fleet]) => [0.6, 0.9, 1.05].flatMap(load =>
	Object.entries(unevenDemands).flatMap(([demand, overrides]) => [true, false].map(isUnaware =>
		formatRow(`${name}, load ${load}, ${demand}`, load, {...fleet, ...overrides, zones: {count: 4, perRegion: 2, isUnaware}})))));
writeDocPart('docs/ROUTING.md', 'uneven-demand', [header, ...rows].join('\n'));
