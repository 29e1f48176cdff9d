/** What the staging of one model needs. */
import type {Directory} from '../directory/directory.ts';
import type {EngineTiming, OriginInfo} from '../directory/directory-types.ts';
import type {ChunkStore} from '../rollout/chunk-store.ts';
import type {Manifest} from '../rollout/manifest.ts';
import type {TransferNode} from '../rollout/transfer-node.ts';
import type {ListeningClock} from '../runtime/pause-detector.ts';
import type {Logger} from '../runtime/logger.ts';
import type {LocalEngine} from './local-engine.ts';

/** Dependencies of a staging manager. */
export type StagingManagerOptions = {
	readonly vm: string;
	/** Returns the service's published engine and the origin of its weights, once known. */
	readonly publishedService: () => {readonly engine: EngineTiming; readonly origin: OriginInfo | undefined} | undefined;
	readonly directory: Directory;
	readonly engine: LocalEngine;
	readonly chunks: ChunkStore;
	readonly node: TransferNode;
	/** Fetches the manifest of a version from a peer or the origin; undefined when neither has it yet. */
	readonly fetchManifest: (model: string, version: number) => Promise<Manifest | undefined>;
	/** Returns the VMs of all engines of the same service, including this one; the same array until they change. */
	readonly groupVms: () => readonly string[];
	/** How long older versions may still start calls after a newer one is published, in milliseconds. */
	readonly versionBoundMs: number;
	/** Called when the engine starts to load; it accepts no calls until it serves the new version. */
	readonly onLoadStarted: (startedAtMs: number) => void;
	/** Called when the engine serves another version than at the last poll. */
	readonly onVersionServed: (served: {readonly model: string; readonly version: number; readonly layers: number; readonly startedAtMs: number}) => void;
	/** Tells for how long this VM has run; pauses count as such time without it. */
	readonly clock?: ListeningClock;
	readonly log: Logger;
};
