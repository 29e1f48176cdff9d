/** Interfaces to the engine on the agent's VM and to the origin of weights; the platform's adapter implements them. */
import type {Manifest} from '../rollout/manifest.ts';
import type {EngineReport} from './next-staging-step.ts';

/** An engine's response to an order. */
export type OrderResult = 'begun' | 'in-effect' | 'refused';

/** The engine on the agent's VM. Every method rejects when there is no usable response, and none retries. */
export type LocalEngine = {
	/** Fetches the engine's state; `layers` is the number of layers of the complete model. */
	readonly fetchReport: (model: string, layers: number) => Promise<EngineReport>;
	/** Stages a chunk at the engine. */
	readonly putChunk: (model: string, position: number, bytes: Uint8Array) => Promise<void>;
	/** Lists the positions of staged chunks; undefined when the engine does not list them. */
	readonly listChunks: (model: string) => Promise<readonly number[] | undefined>;
	/** Reads a staged chunk back; undefined when there is none. */
	readonly getChunk: (model: string, position: number) => Promise<Uint8Array | undefined>;
	/**
	 * Orders the engine to load the staged chunks; the order is conditional on the number of orders accepted so far. `beforeSend` is called
	 * right before the order is written; if it throws, nothing is sent.
	 */
	readonly loadStaged: (model: string, version: number, expectedOrderCount: number, beforeSend: () => void) => Promise<OrderResult>;
};

/** The origin of weights. */
export type WeightOrigin = {
	/** Fetches the manifest of a version. */
	readonly fetchManifest: (address: string, model: string, version: number) => Promise<Manifest>;
	/** Returns the URL of a chunk. */
	readonly chunkUrl: (address: string, model: string, version: number, position: number) => string;
};
