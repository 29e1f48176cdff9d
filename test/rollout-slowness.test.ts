/** Decisions of a weight transfer on a machine that is slow or pauses: what counts as silence, and when an owner is replaced. */
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {PeerClient} from '../src/links/peer-client.ts';
import {ChunkBitmap} from '../src/rollout/chunk-bitmap.ts';
import {downloadChunk} from '../src/rollout/chunk-download.ts';
import {originSource, type PlanInput, planTransfers} from '../src/rollout/plan-transfers.ts';
import {TransferPacer} from '../src/rollout/transfer-pacer.ts';
import {WaitTimes} from '../src/rollout/wait-times.ts';
import {PauseDetector} from '../src/runtime/pause-detector.ts';

it('guards against a pause of this process that passes for a stalled source: a download whose bytes have arrived is not aborted', async () => {
	const server = http.createServer((_req, res) => {
		setTimeout(() => {
			res.end('chunk');
		}, 100);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const clock = new PauseDetector();
	const links = new PeerClient();
	try {
		setTimeout(() => {
			Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 900);
		}, 50);
		const bytes = await downloadChunk({
			links, url: `http://127.0.0.1:${(server.address() as AddressInfo).port}/`, pacer: new TransferPacer(() => 1_000_000), stallMs: 300, clock, chunkBytes: 10,
			freshConnection: false, controller: new AbortController(), onBytes: () => undefined, onNotice: () => undefined,
		});
		expect(bytes).to.have.lengthOf(5);
	} finally {
		clock.stop();
		await links.close();
		server.close();
		server.closeAllConnections();
	}
});

it('guards against downloads that are aborted and repeated because everything is slow: timeouts grow with the waits of all sources, not with those of one', () => {
	const waits = new WaitTimes(() => 600);
	const record = (...samples: number[]) => {
		for (const ms of samples) {
			waits.record(ms);
		}
	};

	expect(waits.slowness).to.equal(1);
	for (let round = 0; round < 20; round++) {
		record(20, 20, 20, 600);
		expect(waits.slowness, 'one of four sources stalls').to.be.lessThan(2);
	}

	record(600, 600, 600, 600, 600, 600);
	expect(waits.slowness, 'all stall').to.be.greaterThan(2.5);
	record(...Array.from({length: 20}, () => 60_000));
	expect(waits.slowness, 'bounded').to.equal(4);
	record(...Array.from({length: 40}, () => 20));
	expect(waits.slowness, 'quick again').to.equal(1);
});

const bitmap = (...chunks: number[]) => {
	const bits = new ChunkBitmap(1);
	for (const chunk of chunks) {
		bits.add(chunk);
	}

	return bits;
};

const owner = {
	vm: 'owner', local: true, holds: bitmap(), reading: bitmap(), progressAtMs: 8000, contactAtMs: 8000, notBeforeMs: 0, banned: false, overBudget: false, uploaded: 0, failing: false,
};

const stepInMs = 600;

/** Returns what a VM that ranks directly below the owner of the only chunk downloads. */
function planBelow(nowMs: number, peer: Partial<typeof owner>, changed: Partial<PlanInput> = {}) {
	return planTransfers({
		nowMs, held: bitmap(), open: [], peers: [{...owner, ...peer}], unavailableSinceMs: () => 0, higherRankedInRegion: () => ['owner'], higherRankedGlobally: () => ['owner'],
		objective: 'time', isImporter: true, startedAtMs: 0, progressAtMs: 0, originNotBeforeMs: 0, surveyed: true, unreachable: new Set(), stepInMs, maxOpen: 4, maxOriginReads: 1,
		randomRank: chunk => chunk, ...changed,
	})[0]?.source;
}

it('guards against an owner that is replaced although its news is only late: it is replaced when it reports no progress, is unreachable, or stays silent', () => {
	expect(planBelow(8700, {}), 'no news for a step-in time').to.equal(undefined);
	expect(planBelow(8700, {contactAtMs: 8650}), 'it reports that it made no progress').to.equal(originSource);
	expect(planBelow(8700, {}, {unreachable: new Set(['owner'])}), 'unreachable').to.equal(originSource);
	expect(planBelow(9700, {}), 'silent').to.equal(undefined);
	expect(planBelow(9800, {}), 'silent for longer').to.equal(originSource);
	expect(planBelow(8500, {contactAtMs: 8450}, {unreachable: new Set(['owner'])}), 'within the step-in time').to.equal(undefined);
});

it('guards against an owner that is replaced although it reports that it still reads the chunk', () => {
	expect(planBelow(8700, {contactAtMs: 8650, reading: bitmap(0)})).to.equal(undefined);
	expect(planBelow(9900, {contactAtMs: 9850, reading: bitmap(0)}), 'for a bounded time').to.equal(originSource);
	expect(planBelow(8700, {reading: bitmap(0)}, {unreachable: new Set(['owner'])}), 'it is gone').to.equal(originSource);
});
