/** What a deployment publishes: routes, services, keys, versions of weights and the upstream instances that serve. */
import type {ServiceId} from '../ids/service-id.ts';
import type {WorkspaceId} from '../ids/workspace-id.ts';

/** How a call may be repeated: any number of times, at most once, or as a stream of events. */
export type RouteKind = 'idempotent' | 'once' | 'stream';

/** A service that a route sends calls to, with its share. */
export type RouteTarget = {readonly service: ServiceId; readonly weight: number};

/** One published route. */
export type Route = {
	readonly name: string;
	/** The host in lower case, without a port. */
	readonly host: string;
	/** The path's beginning, with a slash at both ends. */
	readonly prefix: string;
	readonly kind: RouteKind;
	readonly timeoutMs: number;
	/** Time to the first byte of an answer within which it counts in full, in milliseconds. */
	readonly aimMs: number;
	/** Upstreams that one call may be sent to. */
	readonly attempts: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Whether calls need no key. */
	readonly isPublic: boolean;
	/** Whether a stream may go on at another upstream. */
	readonly isResumable: boolean;
	readonly targets: readonly RouteTarget[];
};

/** The published timing of a batching model engine. */
export type EngineTiming = {
	/** Calls that run at once. */
	readonly slots: number;
	/** Time of one token step, in milliseconds. */
	readonly stepMs: number;
	/** Added to a step by each running call, in milliseconds. */
	readonly perCallMs: number;
	/** Added to a step by each 1000 tokens of context, in milliseconds. */
	readonly contextMsPerKilotoken: number;
	/** Prompt tokens read in a millisecond. */
	readonly readTokensPerMs: number;
	/** Steps in a pass that writes. */
	readonly stepsPerPass: number;
	/** Mean prompt and answer, in tokens. */
	readonly usualPromptTokens: number;
	readonly usualAnswerTokens: number;
	/** Layers of the model. */
	readonly layers: number;
	/** The weights' chunks. */
	readonly chunkCount: number;
	readonly chunkBytes: number;
	/** The models that the engines of this service hold. */
	readonly models: readonly string[];
};

/** Where weights come from. */
export type OriginInfo = {readonly address: string; readonly linkBytesPerSecond: number; readonly maxConnections: number};

/** One published service. */
export type ServiceInfo = {
	readonly name: ServiceId;
	readonly maxConnections: number;
	readonly engine?: EngineTiming;
	readonly origin?: OriginInfo;
};

/** Who holds a key. */
export type KeyHolder = {readonly workspace: WorkspaceId; readonly priority?: number};

/** Limits on what a caller may send. */
export type CallerLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** A whole published configuration. */
export type PublishedConfiguration = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly ServiceInfo[];
	readonly limits: CallerLimits;
	/** Holders by key; undefined when calls need no key. */
	readonly keys?: Readonly<Record<string, KeyHolder>>;
};

/** Layers of a model that an instance holds, `to` exclusive. */
export type HeldModel = {readonly model: string; readonly version: number; readonly fromLayer: number; readonly toLayer: number};

/** One run of an upstream, as it registered itself. */
export type Instance = {
	readonly id: string;
	readonly service: ServiceId;
	/** `ip:port`. */
	readonly address: string;
	readonly zone: string;
	readonly isDraining: boolean;
	readonly slots: number;
	/** How much longer the instance is slow after its start, in milliseconds. */
	readonly coldLeftMs: number;
	/** Wall-clock start, in milliseconds since 1970; tells runs under the same id apart. */
	readonly startedAtMs: number;
	readonly held: readonly HeldModel[];
};

/** One change of the directory. */
export type DirectoryChange =
	| {readonly kind: 'configuration'; readonly configuration: PublishedConfiguration}
	| {readonly kind: 'version'; readonly model: string; readonly version: number}
	| {readonly kind: 'instance'; readonly instance: Instance}
	| {readonly kind: 'instance-gone'; readonly id: string}
	| {readonly kind: 'unreadable'; readonly key: string; readonly reason: string};

/** A change and the revision at which it was made. */
export type RevisedChange = {readonly revision: number; readonly change: DirectoryChange};

/** Changes up to a revision. */
export type DirectoryChanges = {readonly revision: number; readonly changes: readonly RevisedChange[]};

/** Reports that the source no longer has the history that was asked for. */
export class HistoryLostError extends Error {}

/** The parts of the directory, which are read and watched apart. */
export type DirectoryPart = 'published' | 'versions' | 'instances';

/** Reads and watches what is published. Every method rejects on failure and does not repeat. */
export type DirectorySource = {
	/** Reads a whole part. */
	readonly read: (part: DirectoryPart, signal: AbortSignal) => Promise<DirectoryChanges>;
	/** Waits for changes of a part after a revision; throws {@link HistoryLostError} when they are no longer known. */
	readonly watch: (part: DirectoryPart, after: number, waitMs: number, signal: AbortSignal) => Promise<DirectoryChanges>;
};
