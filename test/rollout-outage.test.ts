/** Rollouts through an outage of the origin, the loss of a zone, a newer version and a power failure, on a simulated network with faked time. */
import {expect} from 'chai';
import {ChunkBitmap} from '../src/rollout/chunk-bitmap.ts';
import {
	originSource, type PlanInput, type PlanPeer, planTransfers,
} from '../src/rollout/plan-transfers.ts';
import {simulatedWeights} from './support/simulated-vm.ts';
import {type StagerFleet, withStagerFleet} from './support/stager-fleet.ts';

const returnedAtMs = 26_500;

const outageFleet = {perZone: 6, seed: 2};

function holderOf(chunk: number, changed: Partial<PlanPeer>): PlanPeer {
	const holds = new ChunkBitmap(2);
	holds.add(chunk);
	return {
		vm: 'holder', local: false, holds, reading: new ChunkBitmap(2), progressAtMs: 0, contactAtMs: 0, notBeforeMs: 0, banned: false, overBudget: false, uploaded: 0, failing: false, silent: false, ...changed,
	};
}

function planWith(changed: Partial<PlanInput>) {
	return planTransfers({
		nowMs: 1000, held: new ChunkBitmap(2), open: [], peers: [], unavailableSinceMs: () => 1000, higherRankedInRegion: () => [], higherRankedGlobally: () => [],
		objective: 'origin-bytes', isImporter: true, startedAtMs: 0, progressAtMs: 0, originNotBeforeMs: 0, surveyed: true, stepInMs: 900, maxOpen: 6, maxOriginReads: 1, randomRank: chunk => chunk, ...changed,
	});
}

it('guards against chunks that only a zone which was cut off holds: an importer reads them from the origin as soon as the holders are silent', () => {
	const ranked = {higherRankedGlobally: () => ['holder']};
	expect(planWith({peers: [holderOf(0, {})], ...ranked}).filter(({source}) => source === originSource)).to.deep.equal([]);
	expect(planWith({peers: [holderOf(0, {silent: true})], ...ranked})[0]).to.deep.equal({chunk: 0, source: originSource, lastResort: false});
});

it('guards against downloads that all wait for peers which were cut off: at most one asks a silent peer', () => {
	const peers = [0, 1].map(chunk => holderOf(chunk, {vm: `holder-${chunk}`, local: true, silent: true}));
	const held = {isImporter: false, progressAtMs: 1000};
	expect(planWith({peers, ...held}).length).to.equal(1);
	expect(planWith({peers: peers.map(peer => ({...peer, silent: false})), ...held}).length).to.equal(2);
});

it('guards against engines that wait until a cut of another zone ends: the zones that reach the origin get the rest of the chunks meanwhile', async () => {
	for (const regions of [['a', 'b', 'c'], ['a', 'b', 'b']]) {
		await withStagerFleet({...outageFleet, regions}, async (fleet, until) => {
			await until(18_000);
			fleet.start(1);
			fleet.name(2);
			fleet.network.isOriginDown = true;
			await until(returnedAtMs);
			fleet.network.isOriginDown = false;
			await until(returnedAtMs + 4000);
			fleet.network.cutZones.add('c');
			await until(returnedAtMs + 10_000);
			const served = fleet.vms.filter(({self, engine}) => !self.vm.startsWith('c') && engine.servedVersion === 2);
			expect(served.length, regions.join(' ')).to.equal(12);
		});
	}
});

it('guards against chunks of other regions that wait for a read of the origin: an importer imports them while it reads', () => {
	const open = [{
		chunk: 0, source: originSource, startedAtMs: 0, receivedBytes: 0,
	}];
	expect(planWith({open, peers: [holderOf(1, {})]})).to.deep.equal([{chunk: 1, source: 'holder', lastResort: false}]);
	expect(planWith({open}), 'one read of the origin at a time').to.deep.equal([]);
});

/** The times of the first and the last engine that serves a version, in milliseconds after a given time. */
function servedAfter(fleet: StagerFleet, version: number, sinceMs: number): {readonly first: number; readonly last: number} {
	const times = fleet.servedAtMs(version);
	return {first: times[0]! - sinceMs, last: times.at(-1)! - sinceMs};
}

it('guards against importers that all wait for reads which were lost in an outage: one of them reads the origin within 0.6 s of its return, and then all do', async () => {
	for (const laterMs of [0, 600, 1200]) {
		await withStagerFleet({perZone: 12, seed: 1}, async (fleet, until) => {
			fleet.network.isOriginSilent = true;
			await until(18_000);
			fleet.start(1);
			fleet.name(2);
			await until(19_000);
			fleet.network.isOriginDown = true;
			await until(returnedAtMs + laterMs);
			const before = fleet.originCopies(2);
			fleet.network.isOriginDown = false;
			await until(returnedAtMs + laterMs + 600);
			expect((fleet.originCopies(2) - before) * simulatedWeights.chunkCount, `${laterMs}`).to.be.at.least(12);
		});
	}
});

it('guards against a manifest that comes late after an outage and against reads for a superseded version: one copy is read, the engines follow within 6 and 8 s', async () => {
	await withStagerFleet({perZone: 12, seed: 1}, async (fleet, until) => {
		fleet.network.isOriginSilent = true;
		await until(18_000);
		fleet.start(1);
		fleet.name(2);
		await until(20_500);
		fleet.network.isOriginDown = true;
		await until(21_000);
		fleet.name(3);
		await until(returnedAtMs);
		const superseded = fleet.originCopies(2);
		fleet.network.isOriginDown = false;
		await until(returnedAtMs + 8000);
		const {first, last} = servedAfter(fleet, 3, returnedAtMs);
		expect(first).to.be.below(6000);
		expect(last).to.be.below(8000);
		expect(fleet.originCopies(3)).to.be.at.most(1.05);
		expect(fleet.originCopies(2)).to.equal(superseded);
	});
});

it('guards against chunks that are read again for a newer version although both share them: only those that are missing are read', async () => {
	await withStagerFleet({...outageFleet, seed: 3}, async (fleet, until) => {
		await until(18_000);
		fleet.start(1);
		fleet.name(2);
		await until(30_000);
		fleet.name(3, 72);
		await until(36_000);
		// A quarter of the chunks differs.
		expect(fleet.originCopies(3)).to.be.within(0.25, 0.26);
		expect(fleet.vms.every(vm => vm.heldAtMs.has('3'))).to.equal(true);
	});
});

it('guards against VMs that stay without weights after all of them lost power: the origin sends one copy and all engines serve again', async () => {
	await withStagerFleet({...outageFleet, seed: 4}, async (fleet, until) => {
		await until(18_000);
		fleet.start(1);
		fleet.name(2);
		await until(20_000);
		fleet.stop();
		const before = fleet.originCopies(2);
		await until(21_000);
		fleet.start(undefined);
		await until(29_000);
		expect(servedAfter(fleet, 2, 21_000).last).to.be.below(8000);
		expect(fleet.originCopies(2) - before).to.be.at.most(1.05);
	});
});
