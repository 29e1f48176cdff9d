/** Decisions of a weight transfer on a machine that is slow or pauses: what counts as silence. */
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {PeerClient} from '../src/links/peer-client.ts';
import {downloadChunk} from '../src/rollout/chunk-download.ts';
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
