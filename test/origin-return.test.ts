/** An origin that was unreachable and has recovered: the backoff, and what is asked before it is read again. */
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {digestOf} from '../src/ids/digest.ts';
import {PeerClient} from '../src/links/peer-client.ts';
import {ChunkFetcher} from '../src/rollout/chunk-fetcher.ts';
import {ChunkStore} from '../src/rollout/chunk-store.ts';
import {Neighbourhood} from '../src/rollout/neighbourhood.ts';
import {originSource} from '../src/rollout/plan-transfers.ts';
import type {TransferOptions} from '../src/rollout/transfer-options.ts';
import {TransferPacer} from '../src/rollout/transfer-pacer.ts';
import {createSilentLogger} from '../src/runtime/logger.ts';
import {RandomSource} from '../src/runtime/random-source.ts';

const outageMs = 6000;

type OriginOutage = {
	/** The times of the requests since the start, in milliseconds. */
	readonly requests: number[];
	readonly fetcher: ChunkFetcher;
	/** Reads the chunk from the origin whenever that may be asked; returns after how many milliseconds it is held. */
	readonly readUntil: (endMs: number) => Promise<number>;
	readonly stop: () => Promise<void>;
};

/** Starts an origin that breaks off all requests for a time, and a fetcher that reads it. */
async function startOutage(forMs: number, limits: Partial<TransferOptions>): Promise<OriginOutage> {
	const bytes = new TextEncoder().encode('chunk');
	const digest = digestOf(bytes);
	const startedMs = performance.now();
	const requests: number[] = [];
	const server = http.createServer((req, res) => {
		requests.push(performance.now() - startedMs);
		if (performance.now() - startedMs < forMs) {
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
		self: {vm: 'a', region: 'r'}, links, chunks, downPacer: new TransferPacer(() => 1_000_000), originUrl: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, random: new RandomSource(2), log: createSilentLogger(), limits: () => ({chunk_timeout_ms: 1500, step_in_ms: 900, upload_copies: 4}), ...limits,
	} as unknown as TransferOptions;
	const noop = () => undefined;
	const neighbourhood = {
		lastContactFailed: () => true,
		announceImport: noop,
		recordAsked: noop,
		isSilent: () => false,
		isDoubtful: () => false,
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
	return {
		requests,
		fetcher,
		async readUntil(endMs) {
			while (!chunks.has(digest) && performance.now() - startedMs < endMs) {
				if (fetcher.open.length === 0 && performance.now() >= fetcher.originNotBeforeMs) {
					fetcher.fetch({chunk: 0, source: originSource, lastResort: false});
				}

				await sleep(10);
			}

			return chunks.has(digest) ? performance.now() - startedMs : Number.POSITIVE_INFINITY;
		},
		async stop() {
			fetcher.stop();
			await links.close();
			server.close();
			server.closeAllConnections();
		},
	};
}

it('the backoff from an origin that is down is bounded by the options, so that a short rollout does not wait much longer than the outage', async () => {
	const outage = await startOutage(outageMs, {maxBackoffMs: 500});
	try {
		expect(await outage.readUntil(outageMs * 2)).to.be.lessThan(outageMs + 1500);
	} finally {
		await outage.stop();
	}
});

it('guards against an origin that all importers ask several times a second while it is down: they ask it seldom, and at once when another one has read from it', async () => {
	const outage = await startOutage(3000, {maxBackoffMs: 200, maxOriginBackoffMs: 2000});
	try {
		await outage.readUntil(3000);
		expect(outage.requests.length).to.be.lessThan(6);
		await outage.readUntil(3100);
		outage.fetcher.resumeOrigin();
		expect(await outage.readUntil(9000)).to.be.lessThan(3600);
	} finally {
		await outage.stop();
	}
});

it('guards against an import by another importer that is missed because the own read has just failed: the pause ends after its shortest time', async () => {
	const limits = () => ({chunk_timeout_ms: 30_000, step_in_ms: 900, upload_copies: 4});
	const outage = await startOutage(100, {maxOriginBackoffMs: 10_000, limits});
	try {
		await outage.readUntil(100);
		outage.fetcher.resumeOrigin();
		expect(await outage.readUntil(3000)).to.be.below(1000);
	} finally {
		await outage.stop();
	}
});

it('guards against an origin that is down and asked at each import of another region: a failure is followed by a pause', async () => {
	const outage = await startOutage(10_000, {maxBackoffMs: 200, maxOriginBackoffMs: 2000});
	try {
		for (let atMs = 0; atMs < 1000; atMs += 10) {
			await outage.readUntil(atMs);
			outage.fetcher.resumeOrigin();
		}

		expect(outage.requests.length).to.be.within(3, 11);
	} finally {
		await outage.stop();
	}
});

/** Surveys neighbours of which those in the other region respond as `respond` says, and returns who has responded by its end. */
async function surveyWith(respond: () => Promise<void>): Promise<string[]> {
	const regionOf = (vm: string) => (vm.startsWith('near') ? 'near' : 'far');
	const vms = ['near-0', 'near-1', 'far-0', 'far-1'];
	const links = {
		async rpc(address: string) {
			if (regionOf(address) === 'far') {
				await respond();
			}

			return {
				vm: address, bitmap: '', reading: '', imported: 0, uploaded: 0,
			};
		},
	};
	const neighbourhood = new Neighbourhood({
		agentOptions: {
			self: {vm: 'near-0', region: 'near'}, peers: () => vms.map(vm => ({vm, region: regionOf(vm), address: vm})), links, random: new RandomSource(1), noticeBytesPerSecond: 1000,
		} as unknown as TransferOptions,
		manifest: digestOf(new Uint8Array()),
		watchesAllRegions: true,
		notice: () => ({
			vm: 'near-0', bitmap: '', reading: '', imported: 0, uploaded: 0,
		}),
		onNewChunks: () => undefined,
		onImport: () => undefined,
	});
	await neighbourhood.survey(true);
	neighbourhood.stop();
	return neighbourhood.peers.vms.toSorted();
}

it('guards against chunks read from the origin although another region holds them: the survey after an origin failure waits for its slow response', async () => {
	let responses = 0;
	const responded = await surveyWith(async () => sleep(400 + (400 * responses++)));
	expect(responded.map(vm => vm.split('-')[0])).to.deep.equal(['far', 'near']);
});

it('guards against an origin that is never read again: the survey ends when no other region responds', async () => {
	const responded = await surveyWith(async () => {
		await sleep(400);
		throw new Error('no response');
	});
	expect(responded).to.deep.equal(['near-1']);
});

it('guards against pauses of the origin that end again and again because of a peer that has left the group', () => {
	let imports = 0;
	let group = ['a', 'b', 'c'].map(vm => ({vm, region: 'r', address: vm}));
	const noticeOf = (vm: string, imported: number) => ({
		vm, bitmap: '', reading: '', imported, uploaded: 0,
	});
	const neighbourhood = new Neighbourhood({
		agentOptions: {
			self: {vm: 'a', region: 'r'}, peers: () => group, random: new RandomSource(1), noticeBytesPerSecond: 1000,
		} as unknown as TransferOptions,
		manifest: digestOf(new Uint8Array()),
		watchesAllRegions: true,
		notice: () => noticeOf('a', 0),
		onNewChunks: () => undefined,
		onImport() {
			imports++;
		},
	});
	neighbourhood.recordNotice(noticeOf('b', 0));
	neighbourhood.recordNotice(noticeOf('b', 1));
	group = group.filter(({vm}) => vm !== 'b');
	neighbourhood.refreshGroup();
	neighbourhood.recordNotice(noticeOf('b', 2));
	neighbourhood.recordNotice(noticeOf('b', 2));
	neighbourhood.stop();
	expect(imports).to.equal(1);
});
