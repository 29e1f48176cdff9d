/** Demand that is uneven over zones: what callers get and how far their calls go, simulated with the real code, and the decision behind it. */
import {expect} from 'chai';
import {PlacingModel} from '../bench/placing-model.ts';
import {
	asksCounters, callsAtLoad, createScenario, flatFleet, steepFleet, unevenDemands,
} from '../bench/placing-scenarios.ts';
import type {PlacingScenario} from '../bench/placing-types.ts';
import {type Candidate, selectPlainInstance} from '../src/placement/select-instance.ts';
import {ZoneCrowding} from '../src/placement/zone-crowding.ts';

const seeds = [1, 2, 3, 4];

/** Returns the earned share of the value, the shares of the calls that leave their zone or region, and the questions per call. */
function runModel(load: number, overrides: Partial<PlacingScenario>, isUnaware = false) {
	const placed = {zone: 0, region: 0, far: 0};
	const sums = {
		value: 0, maxValue: 0, calls: 0, asked: 0,
	};
	for (const seed of seeds) {
		const model = new PlacingModel(createScenario({
			...asksCounters, givesWay: true, seconds: 12, ...overrides, entries: 36, zones: {count: 4, perRegion: 2, isUnaware},
			callsPerSecond: callsAtLoad(load, createScenario(overrides)), seed,
		}));
		for (const {value, maxValue} of model.run()) {
			sums.value += value;
			sums.maxValue += maxValue;
			sums.calls++;
		}

		sums.asked += model.askedCount;
		placed.zone += model.zones.placed.zone;
		placed.region += model.zones.placed.region;
		placed.far += model.zones.placed.far;
	}

	const total = placed.zone + placed.region + placed.far;
	return {
		value: sums.value / sums.maxValue, other: (placed.region + placed.far) / total, far: placed.far / total, asked: sums.asked / sums.calls,
	};
}

it('guards against excess demand that stays where it arises: swinging, moving or gathering at one gateway, it earns nearly what even demand does', () => {
	for (const fleet of [steepFleet, flatFleet]) {
		const even = runModel(0.9, fleet);
		for (const [name, demand] of Object.entries(unevenDemands)) {
			expect(runModel(0.9, {...fleet, ...demand}).value, name).to.be.at.least(even.value - 0.02);
		}
	}
});

it('guards against a search for free slots in a full zone: when demand gathers at one gateway, it asks fewer engines for a better result', () => {
	const gathering = {...flatFleet, ...unevenDemands['one gateway gets 3 of 5 calls']};
	const [without, withCrowding] = [true, false].map(isUnaware => runModel(0.9, gathering, isUnaware));
	expect(withCrowding!.value).to.be.at.least(without!.value);
	expect(withCrowding!.asked).to.be.lessThan(0.95 * without!.asked);
});

it('guards against traffic between regions that gains nothing: with slots free everywhere, fewer calls leave their region, and most stay in their zone', () => {
	const [without, withRegions] = [true, false].map(isUnaware => runModel(0.6, steepFleet, isUnaware));
	expect(withRegions!.far).to.be.lessThan(0.6 * without!.far);
	expect(withRegions!.other).to.be.lessThan(0.1);
	expect(withRegions!.value).to.be.at.least(without!.value - 0.002);
});

it('guards against sampling that swings with each answer: a zone counts as crowded after many answers, and not while all zones are full', () => {
	const crowding = new ZoneCrowding();
	const changes = (rounds: number, isLocalFull: boolean, isRemoteFull: boolean) => Array.from({length: rounds}, () =>
		[crowding.record(true, isLocalFull), crowding.record(false, isRemoteFull)]).flat().filter(Boolean).length;
	expect(changes(2, true, false)).to.equal(0);
	expect(changes(30, true, false)).to.equal(1);
	expect(crowding.adjust({local: 2, remote: 1})).to.deep.equal({local: 1, remote: 2});
	expect(changes(30, true, true)).to.equal(1);
	expect(crowding.adjust({local: 2, remote: 1})).to.deep.equal({local: 2, remote: 1});
	// Alternating answers move the difference by less than the distance of the two thresholds.
	expect(Array.from({length: 40}, (item, index) => crowding.record(true, index % 2 === 0)).filter(Boolean).length).to.be.at.most(1);
});

const candidate = (id: string, extra: Partial<Candidate>): Candidate => ({
	id, isLocal: false, slots: 6, isSuspect: false, startWindowMs: Number.POSITIVE_INFINITY, load: {calls: 0, unreadTokens: 0, slowness: 1}, ...extra,
});

it('guards against calls to another region while the own one has an instance as idle, and against a change where regions are not known', () => {
	const near = candidate('near', {isSameRegion: true});
	const far = candidate('far', {isSameRegion: false});
	const chosen = Array.from({length: 4}, (item, index) => selectPlainInstance([far, near], bound => index % bound));
	expect(chosen.every(placement => placement.kind === 'place' && placement.id === 'near')).to.equal(true);
	const unknown = Array.from({length: 4}, (item, index) => selectPlainInstance([candidate('a', {}), candidate('b', {})], bound => index % bound));
	expect(new Set(unknown.map(placement => placement.kind === 'place' && placement.id)).size).to.equal(2);
});
