/** The types of the directory: the published configuration (routes, services, keys), the versions of weights and the upstream instances. */
import type {RegionId} from '../ids/region-id.ts';
import type {ServiceId} from '../ids/service-id.ts';
import type {StoreEra} from '../ids/store-era.ts';
import type {WorkspaceId} from '../ids/workspace-id.ts';
import type {EraRecord} from './era-history.ts';
import type {StoreRevision} from './store-revision.ts';

/** The kind of call: safe to repeat, executed at most once, or answered with a stream of events. */
export type RouteKind = 'idempotent' | 'once' | 'stream';

/** A service that a route sends calls to, and its weight relative to the route's other targets. */
export type RouteTarget = {readonly service: ServiceId; readonly weight: number};

/** One published route. */
export type Route = {
	readonly name: string;
	/** The host in lower case, without a port. */
	readonly host: string;
	/** The path prefix, with a slash at both ends. */
	readonly prefix: string;
	readonly kind: RouteKind;
	readonly timeoutMs: number;
	/** Target time to the first byte of a response, in milliseconds; a slower response does not count in full. */
	readonly aimMs: number;
	/** Maximum number of upstreams that one call is sent to. */
	readonly attempts: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Whether calls need no key. */
	readonly isPublic: boolean;
	/** Whether an interrupted stream may be resumed at another upstream. */
	readonly isResumable: boolean;
	/** The regions in which calls may run; undefined if in any. */
	readonly homeRegions?: readonly RegionId[];
	/** Empty if the published route cannot be decoded: its calls are refused. An empty host or prefix of such a route could not be read. */
	readonly targets: readonly RouteTarget[];
};

/** The published timing model of a batching model engine, and the sizes of its model. */
export type EngineTiming = {
	/** Calls that the engine can run concurrently. */
	readonly slots: number;
	/** Base duration of one decoding step, in milliseconds. */
	readonly stepMs: number;
	/** Added to a step by each running call, in milliseconds. */
	readonly perCallMs: number;
	/** Added to a step by each 1000 tokens of context, in milliseconds. */
	readonly contextMsPerKilotoken: number;
	/** Prompt tokens processed per millisecond. */
	readonly readTokensPerMs: number;
	/** Decoding steps in a pass that generates tokens. */
	readonly stepsPerPass: number;
	/** Mean length of a prompt and of a response, in tokens. */
	readonly usualPromptTokens: number;
	readonly usualAnswerTokens: number;
	/** Layers of the model. */
	readonly layers: number;
	/** Number and size of the chunks that the weights are split into. */
	readonly chunkCount: number;
	readonly chunkBytes: number;
	/** The models that the engines of this service load. */
	readonly models: readonly string[];
};

/** The origin server that weights are downloaded from. */
export type OriginInfo = {readonly address: string; readonly linkBytesPerSecond: number; readonly maxConnections: number};

/** What instances of a service can take while they are cold. */
export type ColdInfo = {
	/** How long an instance is cold after its start, in milliseconds. */
	readonly startMs: number;
	/** Calls per second that a cold instance can take from all gateways together. */
	readonly callsPerSecond: number;
};

/** One published service. */
export type ServiceInfo = {
	readonly name: ServiceId;
	readonly maxConnections: number;
	/** Undefined if cold instances take as many calls as others. */
	readonly cold?: ColdInfo;
	readonly engine?: EngineTiming;
	readonly origin?: OriginInfo;
};

/** The workspace that an API key belongs to, and the priority of its calls. */
export type KeyHolder = {
	readonly workspace: WorkspaceId;
	readonly priority?: number;
	/** The regions in which its calls may run; undefined if in any. Empty if the published list cannot be read: its calls are refused. */
	readonly homeRegions?: readonly RegionId[];
};

/** Limits on what a caller may send. */
export type CallerLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** A published configuration. */
export type PublishedConfiguration = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly ServiceInfo[];
	readonly limits: CallerLimits;
	/** Key holders by API key; undefined when calls need no key. */
	readonly keys?: Readonly<Record<string, KeyHolder>>;
};

/** The layers of a model that an instance has loaded; `toLayer` is exclusive. */
export type HeldModel = {readonly model: string; readonly version: number; readonly fromLayer: number; readonly toLayer: number};

/** One run of an upstream, as registered in the directory. */
export type Instance = {
	readonly id: string;
	readonly service: ServiceId;
	/** `ip:port`. */
	readonly address: string;
	readonly zone: string;
	readonly isDraining: boolean;
	readonly slots: number;
	/** Wall-clock start, in milliseconds since 1970; distinguishes runs under the same id. */
	readonly startedAtMs: number;
	readonly held: readonly HeldModel[];
	/** How much longer the instance is cold, at the time of its entry, in milliseconds. The table of instances replaces it by `coldUntilMs`. */
	readonly coldLeftMs?: number;
	/** Until when the instance is cold according to its entry, in milliseconds of the monotonic clock of this process. */
	readonly coldUntilMs?: number;
};

/** An instance, and the revision of the source at which its entry was written. */
export type RevisedInstance = Instance & StoreRevision;

/** What changed in the list of instances, and the revision up to which the changes are complete. */
export type InstanceChanges = StoreRevision & {
	/** The revision after which the changes were made, in the era of the message; undefined if `instances` is the whole list. */
	readonly since: number | undefined;
	readonly instances: readonly RevisedInstance[];
	readonly gone: ReadonlyArray<{readonly id: string} & StoreRevision>;
	/** Instances that a read after an outage lacked, its revision and how long ago it was, in milliseconds; they are kept for a short time only. */
	readonly unconfirmed: ReadonlyArray<{readonly id: string; readonly ageMs: number} & StoreRevision>;
	/** The revision up to which entries of the era may have come with the copy that it began with; 0 if absent. */
	readonly copyRevision?: number | undefined;
	/** What the sender knows of earlier eras; nothing if absent. */
	readonly earlier?: readonly EraRecord[] | undefined;
};

/** One change of the directory. */
export type DirectoryChange =
	/** `leftOut` says which parts of the configuration cannot be used, and why. */
	| {readonly kind: 'configuration'; readonly configuration: PublishedConfiguration; readonly leftOut?: readonly string[]}
	| {readonly kind: 'version'; readonly model: string; readonly version: number}
	| {readonly kind: 'instance'; readonly instance: Instance}
	| {readonly kind: 'instance-gone'; readonly id: string}
	| {readonly kind: 'evacuation'; readonly zone: string}
	| {readonly kind: 'evacuation-ended'; readonly zone: string}
	| {readonly kind: 'unreadable'; readonly key: string; readonly reason: string};

/** A change and the revision of the source at which it was made, in the era of the response. */
export type RevisedChange = {readonly revision: number; readonly change: DirectoryChange};

/** Changes, and the revision up to which they are complete. */
export type DirectoryChanges = {
	readonly revision: number;
	/** The era of the source; undefined if its response does not tell. */
	readonly era?: StoreEra | undefined;
	readonly changes: readonly RevisedChange[];
};

/** Thrown when the source responds with an error; the response tells its era. */
export class SourceError extends Error {
	/** @param era - the era of the source; undefined if its response does not tell */
	constructor(message: string, readonly era?: StoreEra) {
		super(message);
	}
}

/** Thrown when the source no longer has the changes since the requested revision. */
export class HistoryLostError extends SourceError {}

/** The parts of the directory, each of which is read and watched separately. */
export type DirectoryPart = 'published' | 'versions' | 'instances';

/** Reads and watches the published data. Methods reject on failure and do not retry. */
export type DirectorySource = {
	/** Reads all entries of a part. */
	readonly read: (part: DirectoryPart, signal: AbortSignal) => Promise<DirectoryChanges>;
	/** Waits up to `waitMs` for changes of a part after a revision; rejects with {@link HistoryLostError} when the source no longer has them. */
	readonly watch: (part: DirectoryPart, after: number, waitMs: number, signal: AbortSignal) => Promise<DirectoryChanges>;
};
