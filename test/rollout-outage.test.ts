/** Rollouts through an outage of the origin, the loss of a zone, a newer version and a power failure, on a simulated network with faked time. */
import {expect} from 'chai';
import {ChunkBitmap} from '../src/rollout/chunk-bitmap.ts';
import {
	originSource, type PlanInput, type PlanPeer, planTransfers,
} from '../src/rollout/plan-transfers.ts';
import {withStagerFleet} from './support/stager-fleet.ts';

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
