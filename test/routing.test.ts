/** Properties of routing: selection, versions, ejection and slow start. */
import {expect} from 'chai';
import fc from 'fast-check';
import type {Model} from '../src/configuration/documents.ts';
import type {Member} from '../src/membership/member.ts';
import {EjectionTracker, lowestShare, type HealthSign} from '../src/routing/ejection-tracker.ts';
import {LoadView} from '../src/routing/load-estimator.ts';
import {
	affinityBound, type Candidate, loadWithCall, meanLoad, poolOf, selectUpstream, spillThreshold,
} from '../src/routing/select-upstream.ts';
import {UpstreamRouter} from '../src/routing/upstream-router.ts';
import {RandomSource} from '../src/runtime/random-source.ts';

const manifestOf = (version: string): string => version.padEnd(64, '0');

type Spec = {
	readonly zone: string; readonly usable: boolean; readonly load: number; readonly capacity: number;
	readonly versions: readonly string[]; readonly adapters: readonly string[]; readonly reported: boolean; readonly ageMs: number;
};

const spec: fc.Arbitrary<Spec> = fc.record({
	zone: fc.constantFrom('here', 'there'),
	usable: fc.boolean(),
	load: fc.integer({min: 0, max: 40}),
	capacity: fc.integer({min: 0, max: 20}),
	versions: fc.subarray(['v1', 'v2', 'v3', 'unpublished']),
	adapters: fc.subarray(['polish', 'rust']),
	reported: fc.boolean(),
	ageMs: fc.integer({min: 0, max: 20_000}),
});

function createMember(item: Spec, index: number): Member {
	const vm = `vm-${index}`;
	const report = {
		vm, incarnation: 'i', state: 'ready' as const, service: 'assistant', configRevision: 1, running: item.load, queued: 0, capacity: item.capacity, prefixes: [],
		served: item.versions.map(version => ({
			model: 'assistant', version, manifest: manifestOf(version), adapters: [...item.adapters],
		})),
	};
	const sight = item.reported ? {report, reportAtMs: performance.now() - item.ageMs, failedConnects: 0} : {failedConnects: 0};
	return {
		vm, role: 'upstream', state: 'live', zone: item.zone, region: 'r', address: '127.0.0.1:1', services: ['assistant'], sight, usable: item.usable, reason: '',
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

/** Tells from the report alone whether a member can answer, independent of the code under test. */
const offers = (member: Member, version: string | null | undefined, adapter: string | undefined): boolean =>
	(member.sight.report?.served ?? []).some(item => item.version === version && (adapter === undefined || item.adapters.includes(adapter)));

it('a choice is usable, not tried before, and serves the version and adapter; none is made only when none exists', () => {
	const wanted = fc.record({
		version: fc.constantFrom('v1', 'v3', 'v9', 'unpublished', undefined), adapter: fc.constantFrom('polish', undefined), prompt: fc.constantFrom('the same long prompt', undefined),
	});
	fc.assert(fc.property(fc.array(spec, {maxLength: 12}), model, wanted, fc.array(fc.nat(11), {maxLength: 4}), fc.array(fc.nat(11), {maxLength: 30}), (specs, doc, want, tried, failures) => {
		const members = specs.map((item, index) => createMember(item, index));
		const router = createRouter(members, doc);
		for (const index of failures) {
			router.begin(`vm-${index}`, 'assistant')('silent');
		}

		const excluded = new Set(tried.map(index => `vm-${index}`));
		const route = {
			service: 'assistant', model: 'assistant', ...(want.version ? {version: want.version} : {}), ...(want.adapter ? {adapter: want.adapter} : {}),
		};
		const target = router.choose(route, excluded, undefined, want.prompt);
		const able = members.filter(member => member.usable && !excluded.has(member.vm)
			&& ['v1', 'v2', 'v3'].some(version => offers(member, version, want.adapter)));
		expect(target !== undefined, 'a choice is made when a member can run the call').to.equal(able.length > 0);
		if (target) {
			expect(able).to.include(target.member);
			expect(offers(target.member, target.version, want.adapter)).to.equal(true);
			const pinned = want.version !== 'unpublished' && able.some(member => offers(member, want.version, want.adapter));
			expect(pinned && target.version !== want.version, 'a named version that is served is used').to.equal(false);
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
	zone: fc.constantFrom('here', 'there'), own: fc.integer({min: 0, max: 4}), load: fc.integer({min: 0, max: 60}), capacity: fc.double({min: 0.01, max: 32, noNaN: true}),
});

function createCandidates(specs: ReadonlyArray<{zone: string; own: number; load: number; capacity: number}>): Candidate[] {
	return specs.map(({zone, own, load, capacity}, index) => ({
		own, load, capacity, member: createMember({
			zone, load, capacity, usable: true, versions: [], adapters: [], reported: true, ageMs: 0,
		}, index),
	}));
}

it('the prefix owner is used up to its load bound, and another zone only over the spill threshold', () => {
	let owned = 0;
	fc.assert(fc.property(fc.array(candidate, {minLength: 1, maxLength: 10}), fc.string(), fc.integer(), (specs, prefix, seed) => {
		const selection = {candidates: createCandidates(specs), zone: 'here', prefix};
		const chosen = selectUpstream(selection, new RandomSource(seed))!;
		const local = selection.candidates.filter(({member}) => member.zone === 'here');
		const load = local.reduce((sum, item) => sum + item.load, 0);
		const capacity = local.reduce((sum, item) => sum + item.capacity, 0);
		if (chosen.member.zone === 'there') {
			expect(local.length === 0 || load > spillThreshold * capacity).to.equal(true);
		}

		const pool = poolOf(selection);
		const ownShare = (item: Candidate): number => (item.own + 1) / item.capacity;
		if (ownShare(chosen) > Math.min(...pool.map(item => ownShare(item)))) {
			// Without affinity a candidate with the fewest own calls is chosen.
			owned++;
			expect(loadWithCall(chosen)).to.be.at.most(affinityBound * meanLoad(pool) * (1 + 1e-9));
			expect(selectUpstream({...selection, prefix: undefined}, new RandomSource(seed))).to.not.equal(chosen);
		}
	}), {seed: 1202, numRuns: 2000});
	expect(owned, 'runs with a choice by affinity').to.be.above(100);
});

it('own calls count at once, and the calls of others give way to the mean as their report ages', () => {
	const view = new LoadView();
	const at = (index: number, reportAtMs: number, load: number): Member => {
		const member = createMember({
			zone: 'here', usable: true, load, capacity: 8, versions: [], adapters: [], reported: true, ageMs: 0,
		}, index);
		return {...member, sight: {...member.sight, reportAtMs}};
	};

	const rounded = (members: Member[], nowMs: number): number[] => view.loadsOf(members, nowMs).map(({total}) => Math.round(total * 100) / 100);
	view.change('vm-0', 1, 100);
	view.change('vm-0', 1, 100);
	expect(rounded([at(0, 100, 5), at(1, 100, 3)], 100)).to.deep.equal([7, 3]);
	const reported = [at(0, 300, 6), at(1, 300, 0)];
	expect(rounded(reported, 300), 'the new report contains both own calls').to.deep.equal([6, 0]);
	expect(rounded(reported, 300 + 9000), 'the others by their mean').to.deep.equal([4, 2]);
	view.change('vm-0', -1, 300);
	expect(rounded([at(0, 300, 6), at(1, 10_301, 3)], 10_301), 'a report past its age counts as absent').to.deep.equal([4, 3]);
	expect(rounded([at(0, 300, 6), at(1, 300, 3)], 10_301), 'without recent reports own calls alone count').to.deep.equal([1, 0]);
	view.change('vm-0', -1, 300);
	expect(view.inFlight).to.deep.equal({});
});

it('at most 30 % of a group is ejected, each only after failures, and returns with a growing share', () => {
	const sign = fc.constantFrom<HealthSign>('good', 'failed', 'failed', 'silent');
	const event = fc.record({vm: fc.nat(19), sign, waitMs: fc.integer({min: 0, max: 2000})});
	fc.assert(fc.property(fc.integer({min: 1, max: 20}), fc.array(event, {maxLength: 300}), (size, events) => {
		const group = Array.from({length: size}, (item, index) => `vm-${index}`);
		const tracker = new EjectionTracker();
		const inRow = new Map<string, number>();
		const seen = new Set<string>();
		let nowMs = 0;
		for (const {vm: index, sign: kind, waitMs} of events) {
			const atMs = nowMs + waitMs;
			nowMs = atMs;
			const vm = `vm-${index % size}`;
			const before = tracker.isEjected(vm, nowMs);
			tracker.record(vm, kind, group, nowMs);
			inRow.set(vm, kind === 'good' ? 0 : (inRow.get(vm) ?? 0) + (kind === 'silent' ? 5 : 1));
			const ejected = group.filter(item => tracker.isEjected(item, atMs));
			expect(ejected.length).to.be.at.most(size * 0.3);
			if (!before && tracker.isEjected(vm, nowMs)) {
				expect(seen.has(vm) || (inRow.get(vm) ?? 0) >= 5, 'ejected only after five failures in a row').to.equal(true);
				seen.add(vm);
			}

			expect(tracker.shareOf(vm, nowMs)).to.be.within(lowestShare, 1);
		}
	}), {seed: 1203, numRuns: 500});
	const tracker = new EjectionTracker();
	const group = ['vm-0', 'vm-1', 'vm-2', 'vm-3'];
	tracker.record('vm-0', 'silent', group, 0);
	const states = [4999, 5000, 10_000, 15_000].map(nowMs => [tracker.isEjected('vm-0', nowMs), tracker.shareOf('vm-0', nowMs)]);
	expect(states).to.deep.equal([[true, 0.1], [false, 0.1], [false, 0.5], [false, 1]]);
});

it('the first replicas of a new version take only what they can carry, and all of it once they can', () => {
	const share = (fresh: number, load: number): number => {
		const members = Array.from({length: 20}, (item, index) => createMember({
			zone: 'here', usable: true, load, capacity: 10, versions: index < fresh ? ['v2'] : ['v1'], adapters: [], reported: true, ageMs: 0,
		}, index));
		const doc = {
			serve: 'v2', previous: 'v1', objective: 'time' as const, versions: {v1: {manifest: manifestOf('v1'), adapters: []}, v2: {manifest: manifestOf('v2'), adapters: []}},
		};
		const router = createRouter(members, doc);
		let onNew = 0;
		for (let call = 0; call < 100; call++) {
			const target = router.choose({service: 'assistant', model: 'assistant'}, new Set())!;
			router.begin(target.member.vm, 'assistant');
			onNew += target.version === 'v2' ? 1 : 0;
		}

		return onNew;
	};

	expect(share(0, 5)).to.equal(0);
	expect(share(1, 5), 'one replica of twenty').to.be.at.most(10);
	expect(share(10, 5)).to.be.within(35, 65);
	expect(share(20, 5)).to.equal(100);
	expect(share(2, 0), 'an idle fleet moves at once').to.be.at.least(18);
});
