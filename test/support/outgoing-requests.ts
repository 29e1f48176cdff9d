/** The requests that a stager or a gateway sends to servers other than upstreams of calls: the engine, the store and the origin. */
import {EngineClient, PlatformWeightOrigin} from '../../platform/engine-client.ts';
import {StoreSource} from '../../platform/store-source.ts';
import type {PeerClient} from '../../src/links/peer-client.ts';
import {downloadChunk} from '../../src/rollout/chunk-download.ts';
import {TransferPacer} from '../../src/rollout/transfer-pacer.ts';
import {createSilentLogger} from '../../src/runtime/logger.ts';

/** Sends one request to an address; rejects if it fails. */
export type OutgoingRequest = (links: PeerClient, address: string) => Promise<unknown>;

/** The requests by name. */
export const outgoingRequests: Readonly<Record<string, OutgoingRequest>> = {
	'engine report': async (links, address) => new EngineClient(links, address).fetchReport('m', 16),
	'staged chunk': async (links, address) => new EngineClient(links, address).getChunk('m', 1),
	'staging a chunk': async (links, address) => new EngineClient(links, address).putChunk('m', 1, new Uint8Array(10)),
	order: async (links, address) => new EngineClient(links, address).loadStaged('m', 2, 0, () => undefined),
	manifest: async (links, address) => new PlatformWeightOrigin(links).fetchManifest(address, 'm', 2),
	'store read': async (links, address) => new StoreSource(links, () => address, createSilentLogger()).read('published', AbortSignal.timeout(1500)),
	'store watch': async (links, address) => new StoreSource(links, () => address, createSilentLogger()).watch('instances', 1, 500, AbortSignal.timeout(1500)),
	chunk: async (links, address) => downloadChunk({
		links, url: `http://${address}/c`, pacer: new TransferPacer(() => Number.POSITIVE_INFINITY), stallMs: 300, chunkBytes: 24_576, freshConnection: false,
		controller: new AbortController(), onBytes: () => undefined, onNotice: () => undefined,
	}),
};
