/** Chunk uploads: disconnecting receivers and the size of the written pieces. */
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {digestOf} from '../src/ids/digest.ts';
import {ChunkServer} from '../src/rollout/chunk-server.ts';
import {ChunkStore} from '../src/rollout/chunk-store.ts';
import {TransferPacer} from '../src/rollout/transfer-pacer.ts';

it('a receiver that disconnects while its upload waits for the rate limit releases its upload slot', async () => {
	const bytes = new Uint8Array(200_000);
	const digest = digestOf(bytes);
	const chunks = new ChunkStore();
	chunks.put(digest, bytes);
	const chunkServer = new ChunkServer({
		chunks, pacer: new TransferPacer(() => 400_000), budgetBytes: () => Number.POSITIVE_INFINITY, exchangeNotice: () => undefined, stallMs: () => 200,
	});
	const server = http.createServer((req, res) => {
		void chunkServer.handle(req, res, [digest]);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	try {
		for (let at = 0; at < 6; at++) {
			const req = http.get({
				host: '127.0.0.1', port, path: `/chunks/${digest}?manifest=m`, agent: false,
			});
			req.on('error', () => undefined);
			await sleep(60);
			req.destroy();
		}

		await sleep(1200);
		expect(chunkServer.slots.load).to.equal(0);
	} finally {
		server.close();
		server.closeAllConnections();
	}
});

it('no piece of a chunk takes longer than 10 ms on a slow link, so that responses to live calls do not queue behind weights', async () => {
	const bytesPerSecond = 600_000;
	const maxPieceMs = 10;
	const bytes = new Uint8Array(24_576);
	const digest = digestOf(bytes);
	const chunks = new ChunkStore();
	chunks.put(digest, bytes);
	const chunkServer = new ChunkServer({
		chunks, pacer: new TransferPacer(() => bytesPerSecond, 0), budgetBytes: () => Number.POSITIVE_INFINITY, exchangeNotice: () => undefined, stallMs: () => 200,
	});
	const written: number[] = [];
	const res = {
		destroyed: false, setHeader: () => undefined, writeHead: () => undefined, end: () => undefined, write(piece: Uint8Array) {
			written.push(piece.length);
			return true;
		},
	} as unknown as http.ServerResponse;
	await chunkServer.handle({url: `/chunks/${digest}?manifest=m`, socket: {}} as unknown as http.IncomingMessage, res, [digest]);
	expect(written.reduce((sum, size) => sum + size, 0)).to.equal(bytes.length);
	expect(Math.max(...written) / bytesPerSecond * 1000).to.be.at.most(maxPieceMs);
});
