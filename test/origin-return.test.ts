/** Backoff from an origin that was unreachable and has recovered. */
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {digestOf} from '../src/ids/digest.ts';
import {PeerClient} from '../src/links/peer-client.ts';
import {ChunkFetcher} from '../src/rollout/chunk-fetcher.ts';
import {ChunkStore} from '../src/rollout/chunk-store.ts';
import type {Neighbourhood} from '../src/rollout/neighbourhood.ts';
import {originSource} from '../src/rollout/plan-transfers.ts';
import type {TransferOptions} from '../src/rollout/transfer-options.ts';
import {TransferPacer} from '../src/rollout/transfer-pacer.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {RandomSource} from '../src/runtime/random-source.ts';

const outageMs = 6000;

it('the backoff from an origin that is down is bounded by the options, so that a short rollout does not wait much longer than the outage', async () => {
	const bytes = new TextEncoder().encode('chunk');
	const digest = digestOf(bytes);
	const startedMs = performance.now();
	const server = http.createServer((req, res) => {
		if (performance.now() - startedMs < outageMs) {
			req.socket.destroy();
		} else {
			res.end(bytes);
		}
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const links = new PeerClient();
	const chunks = new ChunkStore();
	const agentOptions = {
		self: {vm: 'a', region: 'r'}, links, chunks, downPacer: new TransferPacer(() => 1_000_000), originUrl: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, random: new RandomSource(2), log: createSilentLogger(), limits: () => ({chunk_timeout_ms: 1500, step_in_ms: 900, upload_copies: 4}), maxBackoffMs: 500,
	} as unknown as TransferOptions;
	const noop = () => undefined;
	const neighbourhood = {
		lastContactFailed: () => true,
		announceImport: noop,
		recordNoticeHeader: noop,
		peer: noop,
		recordContact: noop,
		peers: {recordSuccess: noop, recordFailure: () => 0},
		survey: async () => undefined,
	} as unknown as Neighbourhood;
	const fetcher = new ChunkFetcher({
		agentOptions, manifest: digest, neighbourhood, chunkBytes: () => 1_000_000, digestAt: () => digest, notice: () => ({
			vm: 'a', bitmap: '', reading: '', imported: 0, uploaded: 0,
		}), onChunk: noop, onEnd: noop,
	});
	try {
		while (!chunks.has(digest) && performance.now() - startedMs < outageMs * 2) {
			if (fetcher.open.length === 0 && performance.now() >= fetcher.originNotBeforeMs) {
				fetcher.fetch({chunk: 0, source: originSource, lastResort: false});
			}

			await sleep(10);
		}

		expect(performance.now() - startedMs).to.be.lessThan(outageMs + 1500);
	} finally {
		fetcher.stop();
		await links.close();
		server.close();
		server.closeAllConnections();
	}
});
