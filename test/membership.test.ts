/** Property tests of the member view, the subset selection and the VM list. */
import {expect} from 'chai';
import fc from 'fast-check';
import {chooseSubset, subsetSize} from '../src/membership/choose-subset.ts';
import {isNewerReport} from '../src/membership/is-newer-report.ts';
import type {Member, VmObservation} from '../src/membership/member.ts';
import {MemberView} from '../src/membership/member-view.ts';
import {failedConnectLimit, mergeMembers, observationTimeoutMs} from '../src/membership/merge-members.ts';
import {evaluateVmList} from '../src/membership/evaluate-vm-list.ts';
import {applyChanges, changesBetween, createVmList} from '../src/membership/vm-list.ts';
import type {AgentReport} from '../src/messages/agent-report.ts';
import type {ListedVm} from '../src/messages/member-sync.ts';

const report: AgentReport = {
	vm: 'vm-0', incarnation: '100-a', clockMs: 1, state: 'ready', service: 'desk', configRevision: 1, served: [], running: 0, queued: 0, capacity: 8, prefixes: [],
};

function listedVm(index: number, change: Partial<ListedVm> = {}): ListedVm {
	return {
		vm: `vm-${index}`, role: 'upstream', state: 'live', zone: `zone-${index % 2}`, region: 'r', address: `10.0.0.${index}:1`, services: ['desk'], ...change,
	};
}

const listArbitrary = fc.uniqueArray(fc.record({at: fc.nat(40), state: fc.constantFrom('live' as const, 'leaving' as const), port: fc.nat(2)}), {selector: ({at}) => at})
	.map(lines => createVmList(lines.map(({at, state, port}) => listedVm(at, {state, address: `10.0.0.${at}:${port}`}))));

it('a VM is unusable when it is leaving, draining or unreachable, and otherwise usable when it is listed or was observed recently', () => {
	fc.assert(fc.property(fc.record({
		isListed: fc.boolean(),
		state: fc.constantFrom('live' as const, 'leaving' as const),
		reported: fc.constantFrom('ready' as const, 'draining' as const, undefined),
		ageMs: fc.nat(60_000), failedConnects: fc.nat(4),
	}), ({isListed, state, reported, ageMs, failedConnects}) => {
		const vm = listedVm(0, {state});
		const nowMs = 100_000;
		const sight: VmObservation = {failedConnects, ...(reported && {report: {...report, state: reported}, reportAtMs: nowMs - ageMs})};
		const [member] = mergeMembers({
			listed: isListed ? [vm] : [], unlisted: isListed ? [] : [vm], observations: new Map([['vm-0', sight]]), nowMs,
		});
		const isExcluded = state === 'leaving' || reported === 'draining' || failedConnects >= failedConnectLimit;
		const isIncluded = isListed || (reported !== undefined && ageMs < observationTimeoutMs);
		expect(member?.usable).to.equal(isIncluded && !isExcluded);
	}), {seed: 51, numRuns: 1000});
});

it('of reports of one agent that arrive in any order, the newest one is kept', () => {
	const reports = fc.array(fc.record({incarnation: fc.constantFrom('100-a', '200-b', '300-c'), clockMs: fc.nat(20)}), {minLength: 1, maxLength: 20});
	fc.assert(fc.property(reports, changes => {
		let sight: VmObservation | undefined;
		for (const change of changes) {
			const next = {...report, ...change};
			sight = isNewerReport(sight, next) ? {failedConnects: 0, report: next} : sight;
		}

		const newest = changes.toSorted((a, b) => Number.parseInt(b.incarnation, 10) - Number.parseInt(a.incarnation, 10) || b.clockMs - a.clockMs)[0];
		expect([sight?.report?.incarnation, sight?.report?.clockMs]).to.deep.equal([newest?.incarnation, newest?.clockMs]);
	}), {seed: 52, numRuns: 500});
});

it('after a VM id moved to a new address, late reports of the old process are ignored', () => {
	const sight: VmObservation = {failedConnects: 0, retired: '300-old'};
	expect(isNewerReport(sight, {...report, incarnation: '300-old', clockMs: 99})).to.equal(false);
	expect(isNewerReport(sight, {...report, incarnation: '100-new'})).to.equal(true);
});

it('a subset has at most 24 agents of the own zone, and the loss of one agent does not replace the others', () => {
	fc.assert(fc.property(fc.integer({min: 0, max: 80}), fc.nat(79), (count, lost) => {
		const members = mergeMembers({
			listed: Array.from({length: count}, (_, at) => listedVm(at)), unlisted: [], observations: new Map(), nowMs: 0,
		});
		const owner = {vm: 'entry-1', zone: 'zone-0'};
		const before = chooseSubset(owner, 'desk', members);
		expect(before.filter(({zone}) => zone === 'zone-0').length).to.equal(Math.min(subsetSize, Math.ceil(count / 2)));
		const without = (items: readonly Member[]) => items.filter(({vm}) => vm !== `vm-${lost}`);
		const after = chooseSubset(owner, 'desk', without(members));
		expect(without(before).every(({vm}) => after.some(member => member.vm === vm))).to.equal(true);
	}), {seed: 53, numRuns: 200});
});

it('agents of other zones join the subset only when the own zone is loaded or empty', () => {
	const members = (load: number) => mergeMembers({
		listed: [0, 1, 2, 3].map(at => listedVm(at)), unlisted: [], nowMs: 0, observations: new Map([0, 2].map(at => [`vm-${at}`, {failedConnects: 0, report: {...report, running: load}}])),
	});
	const zonesAt = (load: number) => new Set(chooseSubset({vm: 'entry-1', zone: 'zone-0'}, 'desk', members(load)).map(({zone}) => zone));
	expect([zonesAt(5), zonesAt(6)]).to.deep.equal([new Set(['zone-0']), new Set(['zone-0', 'zone-1'])]);
	expect(chooseSubset({vm: 'entry-1', zone: 'zone-9'}, 'desk', members(0)).length).to.equal(4);
});

it('changes between two snapshots produce the newer one, and never a different list when applied to a third one', () => {
	fc.assert(fc.property(listArbitrary, listArbitrary, listArbitrary, (from, to, other) => {
		const result = {digest: to.digest, ageMs: 0, ...changesBetween(from, to)};
		expect(applyChanges(from, result)?.digest).to.equal(to.digest);
		expect(applyChanges(other, result)?.digest ?? to.digest).to.equal(to.digest);
		expect(applyChanges(other, {digest: to.digest, ageMs: 0, ...changesBetween(undefined, to)})?.digest).to.equal(to.digest);
	}), {seed: 54, numRuns: 300});
});

it('a list that shrinks to under half retains the missing VMs until it has half of the trusted size again', () => {
	const createListOf = (count: number) => createVmList(Array.from({length: count}, (_, at) => listedVm(at)));
	const first = evaluateVmList({list: createListOf(0), retained: new Map(), trustedCount: 0}, createListOf(10), 0);
	const shrunk = evaluateVmList(evaluateVmList(first, createListOf(4), 1), createListOf(2), 2);
	expect([shrunk.suspectSinceMs, [...shrunk.retained.keys()].length]).to.deep.equal([1, 8]);
	expect(evaluateVmList(shrunk, createListOf(5), 3)).to.deep.equal({list: createListOf(5), retained: new Map(), trustedCount: 5});
	expect(evaluateVmList(first, createListOf(5), 1).retained.size).to.equal(0);
});

// Guards against incremental updates after which the view differs from a full merge.
it('a view that is updated one VM at a time equals a full merge', () => {
	const vms = Array.from({length: 6}, (_, at) => listedVm(at));
	const change = fc.record({
		vm: fc.constantFrom(...vms.map(({vm}) => vm)), failedConnects: fc.nat({max: 4}), draining: fc.boolean(), reported: fc.boolean(),
	});
	fc.assert(fc.property(fc.array(change, {maxLength: 30}), fc.nat({max: 6}), (changes, listedCount) => {
		const observations = new Map<string, VmObservation>();
		const sources = {
			listed: vms.slice(0, listedCount), unlisted: vms.slice(listedCount), observations, nowMs: 50_000,
		};
		const view = new MemberView();
		// The manager passes map iterators, which can be consumed only once.
		view.rebuild({...sources, listed: sources.listed.values(), unlisted: sources.unlisted.values()});
		expect(view.members).to.deep.equal(mergeMembers(sources));
		for (const {vm, failedConnects, draining, reported} of changes) {
			const before = {version: view.version, usable: view.members.map(({usable}) => usable)};
			observations.set(vm, {failedConnects, reportAtMs: reported ? 49_000 : undefined, report: draining ? {...report, vm, state: 'draining'} : undefined});
			view.update(vm, sources);
			expect(view.members).to.deep.equal(mergeMembers(sources));
			const usableChanged = view.members.some(({usable}, place) => usable !== before.usable[place]);
			expect(view.version !== before.version).to.equal(usableChanged);
		}
	}), {seed: 1306, numRuns: 300});
});
