/** What an agent needs of the engine on its VM and of the origin of weights; the adapter implements it. */
import type {Manifest} from '../rollout/manifest.ts';
import type {EngineReport} from './next-staging-step.ts';

/** How an engine answered an order. */
export type OrderResult = 'begun' | 'in-effect' | 'refused';

/** The engine beside the agent. Every method rejects when there is no usable answer and repeats nothing. */
export type LocalEngine = {
	/** Asks the engine for its state; `layers` is the number that makes a model whole. */
	readonly fetchReport: (model: string, layers: number) => Promise<EngineReport>;
	/** Writes a chunk beside the engine. */
	readonly putChunk: (model: string, number: number, bytes: Uint8Array) => Promise<void>;
	/** Lists the positions of staged chunks; undefined when the engine does not tell them. */
	readonly listChunks: (model: string) => Promise<readonly number[] | undefined>;
	/** Reads a chunk back; undefined when there is none. */
	readonly getChunk: (model: string, number: number) => Promise<Uint8Array | undefined>;
	/** Orders the engine to load what is staged, if it has accepted as many orders as expected. */
	readonly loadStaged: (model: string, version: number, expectedOrderCount: number) => Promise<OrderResult>;
};

/** The origin of weights. */
export type WeightOrigin = {
	/** Reads the digests of a version. */
	readonly fetchManifest: (address: string, model: string, version: number) => Promise<Manifest>;
	/** Returns where a chunk of a version is read. */
	readonly chunkUrl: (address: string, model: string, version: number, number: number) => string;
};
