/** Property tests of the decisions in weight transfer, over seeded schedules. */
import {expect} from 'chai';
import fc from 'fast-check';
import {createDigest, digestOf, type Digest} from '../src/ids/digest.ts';
import {ChunkBitmap} from '../src/rollout/chunk-bitmap.ts';
import {planEviction} from '../src/rollout/evict-versions.ts';
import {originSource, type PlanInput, planTransfers} from '../src/rollout/plan-transfers.ts';
import {minShare, nextShare, slowdownRatio} from '../src/rollout/transfer-throttle.ts';
import {simulate} from './support/transfer-simulation.ts';

const importingRegions = {time: 3, 'origin-bytes': 1} as const;

const schedules = fc.record({
	seed: fc.integer({min: 0, max: 1_000_000}),
	perRegion: fc.integer({min: 5, max: 6}),
	chunkCount: fc.constant(64),
	objective: fc.constantFrom('time' as const, 'origin-bytes' as const),
	fault: fc.constantFrom('none' as const, 'kill' as const, 'freeze' as const, 'slow' as const),
	faultAtTick: fc.integer({min: 6, max: 120}),
});

it('origin reads stay within 1.05 copies per reading region while one owner fails', () => {
	fc.assert(fc.property(schedules, options => {
		const {originCopies, unfinished} = simulate(options);
		expect(unfinished).to.equal(0);
		expect(originCopies).to.be.at.most(1.05 * importingRegions[options.objective]);
		expect(originCopies).to.be.at.most(4);
	}), {seed: 20_261_204, numRuns: 10});
});

it('no VM reports a version with a wrong or missing byte as held when a peer sends corrupt chunks', () => {
	fc.assert(fc.property(schedules, options => {
		const {corrupted, unfinished} = simulate({...options, fault: 'corrupt'});
		expect([corrupted, unfinished]).to.deep.equal([0, 0]);
	}), {seed: 20_261_205, numRuns: 4});
});

it('an encoded bitmap decodes to the same positions, and arbitrary input to no position beyond the manifest', () => {
	fc.assert(fc.property(fc.uniqueArray(fc.nat(199)), fc.string(), (positions, noise) => {
		const bitmap = new ChunkBitmap(200);
		for (const at of positions) {
			bitmap.add(at);
		}

		const copy = ChunkBitmap.decode(bitmap.encode(), 200);
		expect(positions.every(at => copy.has(at)) && copy.count === positions.length).to.equal(true);
		expect(ChunkBitmap.decode(noise, 10).count).to.be.at.most(10);
	}), {seed: 3, numRuns: 100});
});

it('eviction never drops a needed version, and drops the oldest first and no more than needed', () => {
	const version = fc.record({chunks: fc.uniqueArray(fc.nat(30), {minLength: 1, maxLength: 12}), needed: fc.boolean(), lastNeededAtMs: fc.nat(1000)});
	fc.assert(fc.property(fc.array(version, {maxLength: 6}), fc.uniqueArray(fc.nat(30), {maxLength: 12}), fc.nat(40), (versions, incomingChunks, memoryBytes) => {
		const digests = (chunks: readonly number[]) => new Set<Digest>(chunks.map(chunk => createDigest(digestOf(String(chunk)))));
		const stored = versions.map((item, at) => ({
			manifest: digestOf(`manifest ${at}`), digests: digests(item.chunks), needed: item.needed, lastNeededAtMs: item.lastNeededAtMs,
		}));
		const incoming = digests(incomingChunks);
		const plan = planEviction(stored, incoming, () => 1, memoryBytes);
		const kept = stored.filter(({manifest}) => !plan.evict.includes(manifest));
		const size = (list: typeof stored) => new Set([...incoming, ...list.flatMap(item => [...item.digests])]).size;
		expect(stored.filter(({needed}) => needed).every(item => kept.includes(item))).to.equal(true);
		expect(plan.fits).to.equal(size(kept) <= memoryBytes);
		const evicted = plan.evict.map(digest => stored.find(({manifest}) => manifest === digest)!);
		expect(kept.every(item => item.needed || evicted.every(other => other.lastNeededAtMs <= item.lastNeededAtMs))).to.equal(true);
		const last = evicted.at(-1);
		expect(last === undefined || size([...kept, last]) > memoryBytes).to.equal(true);
	}), {seed: 4, numRuns: 300});
});

it('the share of transfers halves as soon as live calls slow down, and recovers gradually up to the full rate', () => {
	fc.assert(fc.property(fc.array(fc.tuple(fc.double({min: 1, max: 100, noNaN: true}), fc.double({min: 1, max: 100, noNaN: true})), {maxLength: 50}), steps => {
		let share = 1;
		for (const [currentMs, baselineMs] of steps) {
			const next = nextShare(share, currentMs, baselineMs);
			expect(next).to.be.within(minShare, 1);
			expect(next).to.equal(currentMs > baselineMs * slowdownRatio ? Math.max(minShare, share / 2) : next);
			expect(next - share).to.be.at.most(0.05 + 1e-9);
			expect(currentMs > baselineMs * slowdownRatio || next >= share).to.equal(true);
			share = next;
		}
	}), {seed: 6, numRuns: 100});
});

it('guards against a version that no VM gets whole because the only holder of a chunk left: an importer reads it from the origin once the holder fails', () => {
	const holds = new ChunkBitmap(1);
	holds.add(0);
	const holder = {
		vm: 'gone', local: false, holds, reading: new ChunkBitmap(1), progressAtMs: 0, contactAtMs: 0, notBeforeMs: 0, banned: false, overBudget: false, uploaded: 0, failing: false, silent: false,
	};
	const input: PlanInput = {
		nowMs: 10_000, held: new ChunkBitmap(1), open: [], peers: [holder], unavailableSinceMs: () => 0, higherRankedInRegion: () => [], higherRankedGlobally: () => ['gone'],
		objective: 'origin-bytes', isImporter: true, startedAtMs: 0, progressAtMs: 0, originNotBeforeMs: 0, surveyed: true, stepInMs: 900, maxOpen: 4, maxOriginReads: 4, randomRank: chunk => chunk,
	};
	const sourceOf = (changed: Partial<PlanInput>) => planTransfers({...input, ...changed})[0]?.source;
	expect(sourceOf({})).to.equal('gone');
	expect(sourceOf({peers: [{...holder, failing: true}]})).to.equal(originSource);
	expect(sourceOf({peers: [{...holder, failing: true}], originNotBeforeMs: 11_000}), 'while the origin is away, the holder is tried again').to.equal('gone');
});
