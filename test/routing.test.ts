/** Property tests of routing: upstream selection, model versions, load estimates, ejection and slow start. */
import {expect} from 'chai';
import fc from 'fast-check';
import type {Model} from '../src/configuration/documents.ts';
import type {Member} from '../src/membership/member.ts';
import {EjectionTracker, type HealthOutcome, minCapacityFraction} from '../src/routing/ejection-tracker.ts';
import {LoadEstimator} from '../src/routing/load-estimator.ts';
import {
	affinityLoadFactor, type Candidate, filterByZone, meanProjectedLoad, projectedLoad, selectUpstream, spilloverThreshold,
} from '../src/routing/select-upstream.ts';
import {UpstreamRouter} from '../src/routing/upstream-router.ts';
import {RandomSource} from '../src/runtime/random-source.ts';

const manifestOf = (version: string): string => version.padEnd(64, '0');

type MemberSpec = {
	readonly zone: string; readonly usable: boolean; readonly load: number; readonly capacity: number;
	readonly versions: readonly string[]; readonly adapters: readonly string[]; readonly reported: boolean; readonly ageMs: number;
};

const memberSpec: fc.Arbitrary<MemberSpec> = fc.record({
	zone: fc.constantFrom('here', 'there'),
	usable: fc.boolean(),
	load: fc.integer({min: 0, max: 40}),
	capacity: fc.integer({min: 0, max: 20}),
	versions: fc.subarray(['v1', 'v2', 'v3', 'unpublished']),
	adapters: fc.subarray(['polish', 'rust']),
	reported: fc.boolean(),
	ageMs: fc.integer({min: 0, max: 20_000}),
});

function createMember(spec: MemberSpec, index: number): Member {
	const vm = `vm-${index}`;
	const report = {
		vm, incarnation: 'i', state: 'ready' as const, service: 'assistant', configRevision: 1, running: spec.load, queued: 0, capacity: spec.capacity, prefixes: [],
		served: spec.versions.map(version => ({
			model: 'assistant', version, manifest: manifestOf(version), adapters: [...spec.adapters],
		})),
	};
	const sight = spec.reported ? {report, reportAtMs: performance.now() - spec.ageMs, failedConnects: 0} : {failedConnects: 0};
	return {
		vm, role: 'upstream', state: 'live', zone: spec.zone, region: 'r', address: '127.0.0.1:1', services: ['assistant'], sight, usable: spec.usable, reason: '',
	};
}

function createRouter(members: readonly Member[], model: Model | undefined): UpstreamRouter {
	return new UpstreamRouter({
		membership: {members, upstreamsOf: service => members.filter(member => member.usable && member.services.includes(service))},
		store: {model: () => model, service: () => undefined},
		random: new RandomSource(7),
		zone: 'here',
	});
}

const model = fc.record({serve: fc.constantFrom('v1', 'v2', 'v3'), previous: fc.constantFrom('v1', 'v2', 'v3', undefined)})
	.map(({serve, previous}): Model => ({
		serve,
		...(previous ? {previous} : {}),
		versions: Object.fromEntries(['v1', 'v2', 'v3'].map(version => [version, {manifest: manifestOf(version), adapters: []}])),
		objective: 'time',
	}));

/** Returns whether a member's report says that it serves a version and adapter, without using the code under test. */
const reportsServing = (member: Member, version: string | null | undefined, adapter: string | undefined): boolean =>
	(member.sight.report?.served ?? []).some(item => item.version === version && (adapter === undefined || item.adapters.includes(adapter)));

it('a selected upstream is usable, not excluded, and serves the version and adapter; none is selected only when none exists', () => {
	const request = fc.record({
		version: fc.constantFrom('v1', 'v3', 'v9', 'unpublished', undefined), adapter: fc.constantFrom('polish', undefined), prompt: fc.constantFrom('the same long prompt', undefined),
	});
	fc.assert(fc.property(fc.array(memberSpec, {maxLength: 12}), model, request, fc.array(fc.nat(11), {maxLength: 4}), fc.array(fc.nat(11), {maxLength: 30}), (specs, doc, requested, excludedVms, failures) => {
		const members = specs.map((item, index) => createMember(item, index));
		const router = createRouter(members, doc);
		for (const index of failures) {
			router.beginAttempt(`vm-${index}`, 'assistant')('silent');
		}

		const excluded = new Set(excludedVms.map(index => `vm-${index}`));
		const route = {
			service: 'assistant', model: 'assistant', ...(requested.version ? {version: requested.version} : {}), ...(requested.adapter ? {adapter: requested.adapter} : {}),
		};
		const target = router.choose(route, excluded, undefined, requested.prompt);
		const eligible = members.filter(member => member.usable && !excluded.has(member.vm)
			&& ['v1', 'v2', 'v3'].some(version => reportsServing(member, version, requested.adapter)));
		expect(target !== undefined, 'an upstream is selected when a member can run the call').to.equal(eligible.length > 0);
		if (target) {
			expect(eligible).to.include(target.member);
			expect(reportsServing(target.member, target.version, requested.adapter)).to.equal(true);
			const isVersionServed = requested.version !== 'unpublished' && eligible.some(member => reportsServing(member, requested.version, requested.adapter));
			expect(isVersionServed && target.version !== requested.version, 'a requested version that is served is used').to.equal(false);
		}
	}), {seed: 1201, numRuns: 2000});
});

it('a route whose model has no document gets no upstream', () => {
	const members = [createMember({
		zone: 'here', usable: true, load: 0, capacity: 8, versions: ['v1'], adapters: [], reported: true, ageMs: 0,
	}, 0)];
	expect(createRouter(members, undefined).choose({service: 'assistant', model: 'assistant'}, new Set())).to.equal(undefined);
	expect(createRouter(members, undefined).choose({service: 'assistant'}, new Set())?.member.vm).to.equal('vm-0');
	expect(createRouter(members, undefined).choose({service: 'other'}, new Set())).to.equal(undefined);
});

const candidate = fc.record({
	zone: fc.constantFrom('here', 'there'), ownCalls: fc.integer({min: 0, max: 4}), load: fc.integer({min: 0, max: 60}), capacity: fc.double({min: 0.01, max: 32, noNaN: true}),
});

function createCandidates(specs: ReadonlyArray<{zone: string; ownCalls: number; load: number; capacity: number}>): Candidate[] {
	return specs.map(({zone, ownCalls, load, capacity}, index) => ({
		ownCalls, load, capacity, member: createMember({
			zone, load, capacity, usable: true, versions: [], adapters: [], reported: true, ageMs: 0,
		}, index),
	}));
}

it('the prefix owner is used up to its load bound, and another zone only over the spill threshold', () => {
	let affinitySelections = 0;
	fc.assert(fc.property(fc.array(candidate, {minLength: 1, maxLength: 10}), fc.string(), fc.integer(), (specs, prefix, seed) => {
		const input = {candidates: createCandidates(specs), zone: 'here', prefix};
		const selected = selectUpstream(input, new RandomSource(seed))!;
		const local = input.candidates.filter(({member}) => member.zone === 'here');
		const load = local.reduce((sum, item) => sum + item.load, 0);
		const capacity = local.reduce((sum, item) => sum + item.capacity, 0);
		if (selected.member.zone === 'there') {
			expect(local.length === 0 || load > spilloverThreshold * capacity).to.equal(true);
		}

		const pool = filterByZone(input);
		const ownLoad = (item: Candidate): number => (item.ownCalls + 1) / item.capacity;
		if (ownLoad(selected) > Math.min(...pool.map(item => ownLoad(item)))) {
			// Without affinity, a candidate with the fewest own calls per capacity is selected.
			affinitySelections++;
			expect(projectedLoad(selected)).to.be.at.most(affinityLoadFactor * meanProjectedLoad(pool) * (1 + 1e-9));
			expect(selectUpstream({...input, prefix: undefined}, new RandomSource(seed))).to.not.equal(selected);
		}
	}), {seed: 1202, numRuns: 2000});
	expect(affinitySelections, 'runs with a selection by affinity').to.be.above(100);
});

it('own calls count at once, and the reported calls of other entries are replaced by the mean as the report ages', () => {
	const estimator = new LoadEstimator();
	const memberAt = (index: number, reportAtMs: number, load: number): Member => {
		const member = createMember({
			zone: 'here', usable: true, load, capacity: 8, versions: [], adapters: [], reported: true, ageMs: 0,
		}, index);
		return {...member, sight: {...member.sight, reportAtMs}};
	};

	const roundedLoads = (members: Member[], nowMs: number): number[] => estimator.estimateLoads(members, nowMs).map(({totalCalls}) => Math.round(totalCalls * 100) / 100);
	estimator.adjustInFlight('vm-0', 1, 100);
	estimator.adjustInFlight('vm-0', 1, 100);
	expect(roundedLoads([memberAt(0, 100, 5), memberAt(1, 100, 3)], 100)).to.deep.equal([7, 3]);
	const reported = [memberAt(0, 300, 6), memberAt(1, 300, 0)];
	expect(roundedLoads(reported, 300), 'the new report contains both own calls').to.deep.equal([6, 0]);
	expect(roundedLoads(reported, 300 + 9000), 'the calls of others are replaced by their mean').to.deep.equal([4, 2]);
	estimator.adjustInFlight('vm-0', -1, 300);
	expect(roundedLoads([memberAt(0, 300, 6), memberAt(1, 10_301, 3)], 10_301), 'a report older than the maximum age is ignored').to.deep.equal([4, 3]);
	expect(roundedLoads([memberAt(0, 300, 6), memberAt(1, 300, 3)], 10_301), 'without recent reports only own calls count').to.deep.equal([1, 0]);
	estimator.adjustInFlight('vm-0', -1, 300);
	expect(estimator.inFlight).to.deep.equal({});
});

it('at most 30 % of a group is ejected, each only after failures, and returns with a growing share', () => {
	const outcome = fc.constantFrom<HealthOutcome>('good', 'failed', 'failed', 'silent');
	const event = fc.record({vm: fc.nat(19), outcome, waitMs: fc.integer({min: 0, max: 2000})});
	fc.assert(fc.property(fc.integer({min: 1, max: 20}), fc.array(event, {maxLength: 300}), (size, events) => {
		const group = Array.from({length: size}, (item, index) => `vm-${index}`);
		const tracker = new EjectionTracker();
		const consecutiveFailures = new Map<string, number>();
		const ejectedBefore = new Set<string>();
		let nowMs = 0;
		for (const {vm: index, outcome: kind, waitMs} of events) {
			const atMs = nowMs + waitMs;
			nowMs = atMs;
			const vm = `vm-${index % size}`;
			const wasEjected = tracker.isEjected(vm, nowMs);
			tracker.record(vm, kind, group, nowMs);
			consecutiveFailures.set(vm, kind === 'good' ? 0 : (consecutiveFailures.get(vm) ?? 0) + (kind === 'silent' ? 5 : 1));
			const ejected = group.filter(item => tracker.isEjected(item, atMs));
			expect(ejected.length).to.be.at.most(size * 0.3);
			if (!wasEjected && tracker.isEjected(vm, nowMs)) {
				expect(ejectedBefore.has(vm) || (consecutiveFailures.get(vm) ?? 0) >= 5, 'first ejected only after five consecutive failures').to.equal(true);
				ejectedBefore.add(vm);
			}

			expect(tracker.capacityFraction(vm, nowMs)).to.be.within(minCapacityFraction, 1);
		}
	}), {seed: 1203, numRuns: 500});
	const tracker = new EjectionTracker();
	const group = ['vm-0', 'vm-1', 'vm-2', 'vm-3'];
	tracker.record('vm-0', 'silent', group, 0);
	const states = [4999, 5000, 10_000, 15_000].map(nowMs => [tracker.isEjected('vm-0', nowMs), tracker.capacityFraction('vm-0', nowMs)]);
	expect(states).to.deep.equal([[true, 0.1], [false, 0.1], [false, 0.5], [false, 1]]);
});

it('the first upstreams of a new version get only the calls that they can carry, and all calls once they can', () => {
	const countCallsOnNewVersion = (upgraded: number, load: number): number => {
		const members = Array.from({length: 20}, (item, index) => createMember({
			zone: 'here', usable: true, load, capacity: 10, versions: index < upgraded ? ['v2'] : ['v1'], adapters: [], reported: true, ageMs: 0,
		}, index));
		const doc = {
			serve: 'v2', previous: 'v1', objective: 'time' as const, versions: {v1: {manifest: manifestOf('v1'), adapters: []}, v2: {manifest: manifestOf('v2'), adapters: []}},
		};
		const router = createRouter(members, doc);
		let callsOnNewVersion = 0;
		for (let call = 0; call < 100; call++) {
			const target = router.choose({service: 'assistant', model: 'assistant'}, new Set())!;
			router.beginAttempt(target.member.vm, 'assistant');
			callsOnNewVersion += target.version === 'v2' ? 1 : 0;
		}

		return callsOnNewVersion;
	};

	expect(countCallsOnNewVersion(0, 5)).to.equal(0);
	expect(countCallsOnNewVersion(1, 5), 'one upstream of twenty').to.be.at.most(10);
	expect(countCallsOnNewVersion(10, 5)).to.be.within(35, 65);
	expect(countCallsOnNewVersion(20, 5)).to.equal(100);
	expect(countCallsOnNewVersion(2, 0), 'an idle fleet switches at once').to.be.at.least(18);
});
