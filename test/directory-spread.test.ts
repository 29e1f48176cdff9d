/** How the directory reaches every process: few read the source, the others are told by them. */
import process from 'node:process';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';
import {applyDelta, createDelta} from '../src/directory/configuration-delta.ts';
import {Directory} from '../src/directory/directory.ts';
import type {PublishedConfiguration} from '../src/directory/directory-types.ts';
import {DirectoryWatcher} from '../src/directory/directory-watcher.ts';
import {confirmationTimeoutMs} from '../src/directory/known-instance.ts';
import {rankForWatch, shouldWatch, watchersPerZone as watchersPerZoneOf} from '../src/peers/watch-duty.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {RandomSource} from '../src/runtime/random-source.ts';
import {testConfiguration, testInstance, testRoute} from './support/direct-fixtures.ts';
import {type DirectoryGateway, FakeSource, startDirectoryGateway} from './support/directory-fleet.ts';

const zones = ['z-a', 'z-b', 'z-c'];
const watchersPerZone = watchersPerZoneOf(zones.length);

async function sleep(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

async function waitUntil(what: string, limitMs: number, condition: () => boolean): Promise<void> {
	const untilMs = performance.now() + limitMs;
	while (!condition() && performance.now() < untilMs) {
		await sleep(10);
	}

	expect(condition(), what).to.equal(true);
}

/** Runs an action with a fleet of gateways in three zones. */
async function withFleet(size: number, action: (source: FakeSource, gateways: readonly DirectoryGateway[]) => Promise<void>): Promise<void> {
	process.setMaxListeners(size + 20);
	const source = new FakeSource();
	source.publish('published', 'op/config', {kind: 'configuration', configuration: testConfiguration(1)});
	source.publish('instances', 'i-1', {kind: 'instance', instance: testInstance({id: 'i-1'})});
	const gateways: DirectoryGateway[] = [];
	try {
		for (let index = 1; index <= size; index++) {
			gateways.push(await startDirectoryGateway(source, index, zones[index % zones.length]!));
		}

		await waitUntil('all gateways have the directory', 8000, () => gateways.every(({base: {directory}}) => directory.configurationVersion === 1 && directory.instance('i-1') !== undefined));
		await action(source, gateways);
	} finally {
		await Promise.all(gateways.map(async ({stop}) => stop()));
	}
}

async function countCalls(source: FakeSource, forMs: number): Promise<{total: number; processes: number}> {
	const before = new Map(source.calls);
	await sleep(forMs);
	const increases = [...source.calls].map(([vm, count]) => count - (before.get(vm) ?? 0)).filter(count => count > 0);
	return {total: increases.reduce((sum, count) => sum + count, 0), processes: increases.length};
}

it('guards against calls to the source that grow with the fleet: with 36 gateways in 3 zones, two of each zone watch, and changes still reach all within a second', async () => {
	await withFleet(36, async (source, gateways) => {
		await waitUntil('few watch', 15_000, () => gateways.filter(({base}) => base.isWatching).length <= zones.length * watchersPerZone);
		for (let version = 2; version <= 6; version++) {
			source.publish('published', 'op/config', {kind: 'configuration', configuration: testConfiguration(version)});
			source.publish('instances', `i-${version}`, {kind: 'instance', instance: testInstance({id: `i-${version}`, address: `127.0.0.1:${version}`})});
			await waitUntil(`version ${version} everywhere`, 1000, () => gateways.every(({base: {directory}}) => directory.configurationVersion === version && directory.instance(`i-${version}`) !== undefined));
		}

		const {total, processes} = await countCalls(source, 5000);
		expect(processes).to.be.at.most(zones.length * watchersPerZone);
		// Two parts, each with a call in 5 s.
		expect(total).to.be.at.most(zones.length * watchersPerZone * 2 * 2);
	});
}).timeout(60_000);

it('guards against calls to the source for instances that others have told of: a watch starts from the last of them', async () => {
	const [directory, peer] = [new Directory(createSilentLogger()), new Directory(createSilentLogger())];
	const watchedFrom: number[] = [];
	const watcher = new DirectoryWatcher({
		part: 'instances',
		source: {
			read: async () => ({revision: 1, changes: []}),
			async watch(part, after) {
				watchedFrom.push(after);
				await sleep(20);
				return {revision: after, changes: []};
			},
		},
		directory,
		watchWaitMs: () => 20,
		random: new RandomSource(1),
		log: createSilentLogger(),
	});
	peer.replaceInstances({revision: 7, changes: [{revision: 7, change: {kind: 'instance', instance: testInstance({id: 'i-1'})}}]});
	watcher.start();
	await waitUntil('a first watch', 3000, () => watchedFrom.length === 1);
	directory.mergeFromPeer(peer.snapshot(0, directory.instancesRevision), performance.now());
	await waitUntil('a second watch', 3000, () => watchedFrom.length === 2);
	watcher.stop();
	expect(watchedFrom).to.deep.equal([1, 7]);
});

it('guards against a zone that stays behind when its watchers are turned away: others take over, and removals reach all in the meantime', async () => {
	await withFleet(24, async (source, gateways) => {
		await waitUntil('few watch', 15_000, () => gateways.filter(({base}) => base.isWatching).length <= zones.length * watchersPerZone);
		const inZone = gateways.filter(({zone}) => zone === 'z-a');
		const watching = inZone.filter(({base}) => base.isWatching);
		for (const {vm} of watching) {
			source.refused.add(vm);
		}

		source.publish('instances', 'i-1', {kind: 'instance-gone', id: 'i-1'});
		source.publish('published', 'op/config', {kind: 'configuration', configuration: testConfiguration(2)});
		await waitUntil('changes reach all', 2000, () => gateways.every(({base: {directory}}) => directory.configurationVersion === 2 && directory.instance('i-1') === undefined));
		await waitUntil('others take over', 15_000, () => inZone.filter(({base, vm}) => base.isWatching && !source.refused.has(vm)).length >= watchersPerZone);
	});
}).timeout(60_000);

it('guards against a fleet with one watcher, whatever its zones: at least four watch in all, and one in each zone', () => {
	for (const zoneCount of [1, 2, 3, 4, 5, 7]) {
		expect(watchersPerZoneOf(zoneCount)).to.be.at.least(1);
		expect(zoneCount * watchersPerZoneOf(zoneCount)).to.be.at.least(4);
	}
});

it('guards against a zone without a watcher, and against all processes of a zone watching: the duty by rank', () => {
	const processes = Array.from({length: 20}, (item, index) => ({
		vm: `vm-${index}`, startedAtMs: 1, role: index < 8 ? 'gateway' as const : 'stager' as const, zone: index % 2 === 0 ? 'z-a' : 'z-b', region: 'r', address: '127.0.0.1:1',
	}));
	const ranking = rankForWatch('z-a', processes);
	expect(ranking.slice(0, 4).toSorted()).to.deep.equal(['vm-0', 'vm-2', 'vm-4', 'vm-6']);
	expect(ranking).to.have.length(10);
	fc.assert(fc.property(fc.subarray(ranking), fc.nat({max: 20_000}), (working, shortForMs) => {
		const duties = ranking.map((vm, position) => shouldWatch({
			wanted: watchersPerZone, position, workingAbove: ranking.slice(0, position).filter(other => working.includes(other)).length, isWatching: working.includes(vm), shortForMs, isCutOff: false,
		}));
		const watching = duties.filter(Boolean).length;
		expect(watching).to.be.at.least(watchersPerZone);
		const enoughAt = ranking.findIndex((vm, position) => ranking.slice(0, position).filter(other => working.includes(other)).length >= watchersPerZone);
		expect(duties.slice(enoughAt === -1 ? ranking.length : enoughAt).some(Boolean)).to.equal(false);
	}), {seed: 51, numRuns: 300});
});

it('guards against routes that a difference loses or keeps: applying it gives the newer configuration, and unchanged routes stay the same objects', () => {
	const pool = Array.from({length: 12}, (item, index) => [1, 2].map(timeoutMs => testRoute({name: `r-${index}`, timeoutMs})));
	const configuration = (version: number, choices: readonly number[]): PublishedConfiguration => ({
		...testConfiguration(version), routes: pool.flatMap((variants, index) => (choices[index] === 0 ? [] : [variants[choices[index]! - 1]!])),
	});
	const choices = fc.array(fc.nat({max: 2}), {minLength: pool.length, maxLength: pool.length});
	const byName = ({routes}: PublishedConfiguration) => routes.toSorted((a, b) => (a.name < b.name ? -1 : 1));
	fc.assert(fc.property(choices, choices, (before, after) => {
		const from = configuration(1, before);
		const to = configuration(2, after);
		const result = applyDelta(from, createDelta(from, to)!);
		expect(result.version).to.equal(2);
		expect(result.keys).to.deep.equal(to.keys);
		const routes = byName(result);
		expect(routes).to.have.length(to.routes.length);
		for (const [index, route] of byName(to).entries()) {
			expect(routes[index]).to.equal(route);
		}
	}), {seed: 52, numRuns: 300});
	expect(createDelta({...testConfiguration(1), routes: [testRoute(), testRoute()]}, testConfiguration(2))).to.equal(undefined);
});

it('guards against a directory that differs from the source after any mix of full lists and differences between peers', () => {
	const ids = ['a', 'b', 'c', 'd'];
	const step = fc.record({id: fc.constantFrom(...ids), kind: fc.constantFrom('put', 'drain', 'gone'), pulls: fc.boolean()});
	fc.assert(fc.property(fc.array(step, {maxLength: 40}), steps => {
		const log = createSilentLogger();
		const [source, peer, third] = [new Directory(log), new Directory(log), new Directory(log)];
		const sync = (from: Directory, to: Directory) => {
			to.mergeFromPeer(structuredClone(from.snapshot(to.configurationVersion, to.instancesRevision)), performance.now());
		};

		let revision = 1;
		source.replaceInstances({revision, changes: []});
		for (const {id, kind, pulls} of steps) {
			revision++;
			const change = kind === 'gone' ? {kind: 'instance-gone' as const, id} : {kind: 'instance' as const, instance: testInstance({id, address: `127.0.0.1:${ids.indexOf(id) + 1}`, isDraining: kind === 'drain'})};
			source.apply({revision, changes: [{revision, change}]});
			source.advanceInstancesRevision(revision);
			if (pulls) {
				sync(source, peer);
				sync(peer, third);
			}
		}

		sync(source, peer);
		sync(peer, third);
		const listOf = (directory: Directory) => directory.instances.map(({id, isDraining}) => `${id} ${isDraining}`).toSorted();
		expect(listOf(peer)).to.deep.equal(listOf(source));
		expect(listOf(third)).to.deep.equal(listOf(source));
	}), {seed: 53, numRuns: 500});
});

it('guards against differences that are fetched for nothing: an entry written anew with the same instance is no change, and one that was unconfirmed is', () => {
	const directory = new Directory(createSilentLogger());
	const put = (revision: number) => {
		directory.apply({revision, changes: [{revision, change: {kind: 'instance', instance: testInstance({id: 'i-1'})}}]});
		directory.advanceInstancesRevision(revision);
	};

	directory.replaceInstances({revision: 1, changes: []});
	put(2);
	let calls = 0;
	directory.onChange(() => {
		calls++;
	});
	const {instances} = directory;
	put(3);
	expect([directory.lastInstanceChange, directory.instancesRevision, calls]).to.deep.equal([2, 3, 0]);
	expect(directory.instances).to.equal(instances);

	directory.replaceInstances({revision: 4, changes: []}, {namedAfterMs: Number.NEGATIVE_INFINITY, isAfterOutage: true});
	put(5);
	expect(directory.lastInstanceChange).to.equal(5);

	const peer = new Directory(createSilentLogger());
	peer.mergeFromPeer(structuredClone(directory.snapshot(0, 0)), performance.now());
	directory.apply({revision: 6, changes: [{revision: 6, change: {kind: 'instance-gone', id: 'i-1'}}]});
	directory.advanceInstancesRevision(6);
	peer.mergeFromPeer(structuredClone(directory.snapshot(0, peer.instancesRevision)), performance.now());
	expect(peer.instances).to.have.length(0);
});

it('guards against calls to an instance that left during an outage: however late its entry is passed on, it is listed no longer than where it was missed', () => {
	const clock = install();
	try {
		const directories = [1, 2, 3].map(() => new Directory(createSilentLogger()));
		const instance = {revision: 3, change: {kind: 'instance' as const, instance: testInstance({id: 'i-1'})}};
		for (const directory of directories) {
			directory.replaceInstances({revision: 3, changes: [instance]});
		}

		const [first, second, third] = directories as [Directory, Directory, Directory];
		first.replaceInstances({revision: 9, changes: []}, {namedAfterMs: Number.NEGATIVE_INFINITY, isAfterOutage: true});
		for (const [from, to] of [[first, second], [second, third]] as const) {
			const requestedAtMs = to.clock.nowMs;
			const answer = from.snapshot(0, 3);
			clock.tick(700);
			to.mergeFromPeer(answer, requestedAtMs);
			expect(to.instances).to.have.lengthOf(1);
		}

		clock.tick(confirmationTimeoutMs - 1400);
		expect(directories.map(({instances}) => instances.length)).to.deep.equal([0, 0, 0]);
	} finally {
		clock.uninstall();
	}
});

it('guards against calls to an instance that has left because its stager reports loaded weights: the report brings back no instance that is not confirmed', () => {
	const clock = install();
	try {
		const directory = new Directory(createSilentLogger());
		const instance = testInstance({id: 'i-1', address: '127.0.0.1:7', startedAtMs: 3});
		directory.replaceInstances({revision: 3, changes: [{revision: 3, change: {kind: 'instance', instance}}]});
		directory.apply({revision: 5, changes: [{revision: 5, change: {kind: 'instance-gone', id: 'i-1'}}]}, {namedAfterMs: Number.NEGATIVE_INFINITY, isAfterOutage: true});
		const held = {
			model: 'm', version: 2, fromLayer: 0, toLayer: 16,
		};
		directory.recordHeldModel('127.0.0.1:7', 3, held);
		expect(directory.instance('i-1')?.held).to.deep.equal([held]);
		clock.tick(confirmationTimeoutMs);
		expect(directory.instances).to.have.lengthOf(0);
		directory.recordHeldModel('127.0.0.1:7', 3, {...held, version: 3});
		expect(directory.instances).to.have.lengthOf(0);
	} finally {
		clock.uninstall();
	}
});
