/** Callers who compete for too little capacity: what each kind of call gets, simulated with the real code, and the decisions behind it. */
import {expect} from 'chai';
import {PlacingModel} from '../bench/placing-model.ts';
import {
	asksCounters, callsAtLoad, createScenario, flatFleet, steepFleet,
} from '../bench/placing-scenarios.ts';
import type {CallResult, PlacingScenario} from '../bench/placing-types.ts';
import {Directory} from '../src/directory/directory.ts';
import {createServiceId} from '../src/ids/service-id.ts';
import {HomeRegions} from '../src/placement/home-regions.ts';
import {InstanceSelector} from '../src/placement/instance-selector.ts';
import {InstanceSignals} from '../src/placement/instance-signals.ts';
import {InstanceTracker} from '../src/placement/instance-tracker.ts';
import {RegionMap} from '../src/placement/region-map.ts';
import {LoadShedding} from '../src/placement/load-shedding.ts';
import {RetrySchedule} from '../src/placement/retry-schedule.ts';
import {type Candidate, type Placement, selectPlainInstance} from '../src/placement/select-instance.ts';
import {maxYieldShare, UrgencyPressure} from '../src/placement/urgency-pressure.ts';
import {VersionExpiry} from '../src/placement/version-expiry.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {RandomSource} from '../src/runtime/random-source.ts';
import {
	testConfiguration, testEngineTiming, testInstance, testRoute,
} from './support/direct-fixtures.ts';

const seeds = [1, 2];
const service = createServiceId('models');

function runModel(load: number, overrides: Partial<PlacingScenario>): readonly CallResult[] {
	const callsPerSecond = callsAtLoad(load, createScenario(overrides));
	return seeds.flatMap(seed => [...new PlacingModel(createScenario({
		...asksCounters, seconds: 14, ...overrides, callsPerSecond, seed,
	})).run()]);
}

function servedShare(results: readonly CallResult[]): number {
	return results.filter(({outcome}) => outcome === 'on time' || outcome === 'late').length / results.length;
}

function valueShare(results: readonly CallResult[]): number {
	return results.reduce((sum, {value}) => sum + value, 0) / results.reduce((sum, {maxValue}) => sum + maxValue, 0);
}

/** Returns the results of each kind, the most urgent first. */
function byUrgency(results: readonly CallResult[]): ReadonlyArray<readonly CallResult[]> {
	return ['first', 'second', 'third'].map(kind => results.filter(result => result.kind === kind));
}

for (const [name, fleet] of Object.entries({steep: steepFleet, flat: flatFleet})) {
	it(`guards against urgent calls refused while less urgent ones are served: under overload, no kind is served less often than a less urgent one (${name})`, () => {
		for (const load of [1.2, 1.5, 2]) {
			const [first, second, third] = byUrgency(runModel(load, {...fleet, givesWay: true})).map(ofKind => servedShare(ofKind));
			expect(second!, `second kind at load ${load}`).to.be.at.most(first! + 0.05);
			expect(third!, `third kind at load ${load}`).to.be.at.most(second! + 0.05);
		}
	});

	it(`guards against kinds and sizes that starve while more urgent calls are refused: each is served (${name})`, () => {
		const results = runModel(2, {...fleet, givesWay: true});
		for (const ofKind of byUrgency(results)) {
			const largestFirst = ofKind.toSorted((a, b) => b.maxValue - a.maxValue);
			expect(servedShare(ofKind), ofKind[0]!.kind).to.be.at.least(0.4 * servedShare(results));
			expect(servedShare(largestFirst.slice(0, ofKind.length / 10)), `largest of ${ofKind[0]!.kind}`).to.be.at.least(0.5 * servedShare(ofKind));
		}
	});
}

it('guards against capacity spent on calls of little value: where urgent calls are worth more, giving way earns at least a tenth more under overload', () => {
	for (const entries of [6, 36]) {
		const [before, after] = [false, true].map(givesWay => valueShare(runModel(1.8, {...steepFleet, entries, givesWay})));
		expect(after!, `${entries} entries`).to.be.at.least(1.1 * before!);
	}
});

it('guards against shedding that depends on prompt news: with counts and refusals that arrive 40 ms late, urgent calls still gain', () => {
	const [before, after] = [false, true].map(givesWay => runModel(1.5, {...steepFleet, broadcastDelayMs: 40, givesWay}));
	expect(servedShare(byUrgency(after!)[0]!)).to.be.at.least(servedShare(byUrgency(before!)[0]!) + 0.05);
	expect(valueShare(after!)).to.be.at.least(valueShare(before!));
});

it('guards against a change where nothing is under pressure: below the capacity, and with calls of one urgency, every call ends as without shedding', () => {
	const equalKinds = steepFleet.kinds!.map(kind => ({...kind, priority: 3}));
	for (const [load, overrides] of [[0.8, steepFleet], [2, {...steepFleet, kinds: equalKinds}]] as const) {
		const [without, withShedding] = [false, true].map(givesWay => runModel(load, {...overrides, seconds: 6, givesWay}));
		expect(withShedding).to.deep.equal(without);
	}
});

/** Reports calls of two urgencies, of which a part of the more urgent ones is refused; returns the share of the others that gives way. */
function reportFor(pressure: UrgencyPressure, ms: {readonly from: number; readonly to: number}, refusedOf10: number): number {
	for (let nowMs = ms.from; nowMs < ms.to; nowMs += 25) {
		pressure.record({urgency: 5, isNewCall: true, refused: []}, nowMs);
		pressure.record({urgency: 1, isNewCall: true, refused: (nowMs / 25) % 10 < refusedOf10 ? [[1, 1]] : []}, nowMs);
	}

	return pressure.yields(ms.to).find(([urgency]) => urgency === 5)?.[1] ?? 0;
}

it('guards against oscillation: the share that gives way settles under steady refusals, keeps a floor, and falls gradually after them', () => {
	const pressure = new UrgencyPressure();
	const settled = [2000, 3000, 4000].map(ms => reportFor(pressure, {from: ms - 1000, to: ms}, 1));
	expect(Math.max(...settled) - Math.min(...settled)).to.be.at.most(0.1);
	expect(reportFor(pressure, {from: 4000, to: 8000}, 8)).to.be.within(0.9 * maxYieldShare, maxYieldShare);
	expect(reportFor(pressure, {from: 8000, to: 8250}, 0)).to.be.greaterThan(0.4 * maxYieldShare);
	expect(reportFor(pressure, {from: 8250, to: 12_000}, 0)).to.equal(0);
});

it('guards against calls that give way to equally or less urgent ones: refusals of the least urgent calls have no effect', () => {
	const pressure = new UrgencyPressure();
	for (let nowMs = 0; nowMs < 2000; nowMs += 25) {
		pressure.record({urgency: 1, isNewCall: true, refused: []}, nowMs);
		pressure.record({urgency: 5, isNewCall: true, refused: [[5, 1]]}, nowMs);
	}

	expect(pressure.yields(2000)).to.deep.equal([]);
});

it('guards against refused callers who return at once or in vain: more urgent ones return first, evenly spread, within a third of the time left', () => {
	const schedule = new RetrySchedule();
	const yielding = new Set([3, 5]);
	const returnsOf = (urgency: number) => Array.from({length: 50}, () => schedule.nextReturnMs(urgency, yielding, 6000)).toSorted((a, b) => a - b);
	const [first, second, third] = [0, 3, 5].map(urgency => returnsOf(urgency));
	expect(first!.at(-1)).to.be.lessThan(second![0]!);
	expect(second!.at(-1)).to.be.lessThan(third![0]!);
	expect(third!.at(-1)).to.be.lessThan(2000);
	const gaps = first!.slice(1).map((ms, index) => ms - first![index]!);
	expect(Math.max(...gaps)).to.be.lessThan(3 * (first!.at(-1)! - first![0]!) / gaps.length);
});

const full: Placement = {kind: 'refuse', reason: 'overloaded', retryAfterMs: 250};

it('guards against plain services that treat all calls alike: after refusals of urgent calls, less urgent ones wait for no slot, but returning ones may', () => {
	const shedding = new LoadShedding(new RandomSource(1));
	const busy: Candidate = {
		id: 'a', isLocal: true, slots: 6, isSuspect: false, startWindowMs: Number.POSITIVE_INFINITY, load: {calls: 9, unreadTokens: 0, slowness: 1},
	};
	const place = (priority: number, isReturning = false) => {
		const call = shedding.startCall(service, {priority, isReturning, isFirstAttempt: true});
		call.addOwnAnswer(1000);
		return selectPlainInstance([busy], () => 0, call.limit()).kind;
	};

	expect(place(5)).to.equal('place');
	for (let count = 0; count < 40; count++) {
		const urgent = shedding.startCall(service, {priority: 0, isReturning: false, isFirstAttempt: true});
		urgent.addOwnAnswer(1000);
		urgent.settle(full, 2000);
	}

	const kinds = Array.from({length: 200}, () => place(5));
	const placed = kinds.filter(kind => kind === 'place').length / kinds.length;
	expect(placed).to.be.within(0.2, 0.5);
	expect(place(0)).to.equal('place');
	expect(Array.from({length: 20}, () => place(5, true))).to.not.include('refuse');
});

/** A selector with two engines that each use all but two slots, and whose counters let calls of urgency 5 give way. */
function createBusySelector(): InstanceSelector {
	const log = createSilentLogger();
	const random = new RandomSource(3);
	const directory = new Directory(log);
	const held = [{
		model: 'm', version: 1, fromLayer: 0, toLayer: testEngineTiming.layers,
	}];
	const instances = ['i-1', 'i-2'].map(id => testInstance({
		id, service, address: `127.0.0.1:${id.slice(2)}`, held, slots: testEngineTiming.slots,
	}));
	directory.apply({revision: 1, changes: [{revision: 1, change: {kind: 'configuration', configuration: testConfiguration(1)}}, {revision: 1, change: {kind: 'version', model: 'm', version: 1}}]});
	directory.replaceInstances({revision: 2, changes: instances.map(instance => ({revision: 2, change: {kind: 'instance', instance}}))});
	return new InstanceSelector({
		directory, random, log, zone: 'z', homes: new HomeRegions(new RegionMap({})), versionExpiry: new VersionExpiry(directory, 8000, () => 0),
		tracker: new InstanceTracker(log, new InstanceSignals({log, random, gatewayCount: () => 1})),
		loads: {ask: async asked => new Map(asked.map(({id}) => [id, {calls: testEngineTiming.slots - 2, unreadTokens: 0, yields: [[5, 0.5]]}]))},
	});
}

it('guards against a priority that decides nothing at a gateway: when calls of its urgency give way, half of them are refused for that reason, others never', async () => {
	const selector = createBusySelector();
	const reasonsOf = async (priority: number, isReturning = false) => {
		const reasons: string[] = [];
		for (let count = 0; count < 100; count++) {
			const found = await selector.select({
				route: testRoute({}), service, priority, isReturning, aimLeftMs: 400, deadlineLeftMs: 6000, tried: new Set(), isResponseStarted: false, requiredVersion: undefined,
				headers: {
					attemptId: '1', host: 'h', key: undefined, deadlineMs: 6000, lastEventId: undefined, model: 'm', promptTokens: 100, promptParts: [],
				},
			});
			reasons.push('instance' in found ? 'placed' : found.reason);
		}

		return reasons;
	};

	expect(new Set(await reasonsOf(0))).to.deep.equal(new Set(['placed']));
	const reasons = await reasonsOf(5);
	expect(reasons.filter(reason => reason === 'gives_way').length).to.be.within(35, 65);
	expect(reasons.every(reason => reason === 'placed' || reason === 'gives_way')).to.equal(true);
	expect(new Set(await reasonsOf(5, true))).to.deep.equal(new Set(['placed']));
});
