/** Options that all transfers of one agent share. */
import type {Digest} from '../ids/digest.ts';
import type {PeerClient} from '../links/peer-client.ts';
import type {TransferNotice} from '../messages/rollout-have.ts';
import type {Logger} from '../runtime/logger.ts';
import type {ListeningClock} from '../runtime/pause-detector.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import type {ChunkStore} from './chunk-store.ts';
import type {VmLocation} from './chunk-owners.ts';
import type {TransferPacer} from './transfer-pacer.ts';

/** A member of the group of agents that a version is rolled out to. */
export type TransferPeer = VmLocation & {
	/** The address of the agent's control listener, `host:port`. */
	readonly address: string;
};

/** Limits from the published configuration, under the names that they have there. */
export type TransferLimits = {
	/** The maximum time without progress of a download or upload. */
	readonly chunk_timeout_ms: number;
	/** How long a VM waits without progress of higher-ranked importers before it takes over. */
	readonly step_in_ms: number;
	/** How many copies of a version one agent may upload. */
	readonly upload_copies: number;
};

/** Identifies a chunk at the origin by its position in a manifest. */
export type OriginChunk = {readonly manifest: Digest; readonly position: number};

/** Dependencies and limits of all transfers of one agent. */
export type TransferOptions = {
	readonly self: VmLocation;
	/** Returns the current members of the group, with or without `self`. */
	readonly peers: () => readonly TransferPeer[];
	readonly links: PeerClient;
	readonly chunks: ChunkStore;
	readonly upPacer: TransferPacer;
	readonly downPacer: TransferPacer;
	/** The base URL of the origin. */
	readonly originUrl: string;
	/** Returns the URL of a chunk at the origin. Without this function, chunks are read by digest below {@link originUrl}. */
	readonly originChunkUrl?: (chunk: OriginChunk) => string | undefined;
	/**
	 * Sends a notice to a peer without a connection and returns whether it was sent; it may be lost. Without this function, and for what it
	 * does not send, notices are exchanged over connections.
	 */
	readonly sendNotice?: (peer: TransferPeer, manifest: Digest, notice: TransferNotice) => boolean;
	readonly random: RandomSource;
	/** Tells for how long this process could hear its peers; pauses count as such time without it. */
	readonly clock?: ListeningClock;
	readonly log: Logger;
	readonly limits: () => TransferLimits;
	/** Overrides the default number of concurrent downloads. With a lower number for other VMs than for importers, those VMs wait for the imported chunks. */
	readonly maxOpenDownloads?: (isImporter: boolean) => number;
	/** The maximum backoff after consecutive failures of one source, in milliseconds. */
	readonly maxBackoffMs?: number;
	/** The same for the origin, if it differs. It may be longer, since the importers tell each other when the origin responds again. */
	readonly maxOriginBackoffMs?: number;
	/** The memory limit for weights, in bytes. */
	readonly memoryBytes: number;
	/** The bandwidth budget for notices in bytes per second, both directions together. */
	readonly noticeBytesPerSecond: number;
	/** The minimum interval between two notices about common chunks to one neighbour, in milliseconds. */
	readonly noticeIntervalMs: number;
};

/** About the time of two chunks in a rollout of 64 chunks in 180 s. A longer interval means fewer notices; in return, neighbours learn of a chunk later, by one and a half chunk times on average. */
export const defaultNoticeIntervalMs = 5000;

/** Less than half of the 12 KB/s of all control traffic, because the neighbours send as many notices as this agent. */
export const defaultNoticeBytesPerSecond = 5000;
