/** What the transfers of one agent share. */
import type {Digest} from '../ids/digest.ts';
import type {PeerClient} from '../links/peer-client.ts';
import type {Logger} from '../runtime/logger.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import type {ChunkStore} from './chunk-store.ts';
import type {VmLocation} from './chunk-owners.ts';
import type {TransferPacer} from './transfer-pacer.ts';

/** An agent of the group that a version goes to. */
export type TransferPeer = VmLocation & {
	/** The control listener, `host:port`. */
	readonly address: string;
};

/** Limits that the configuration sets. */
export type TransferLimits = {
	readonly chunk_timeout_ms: number;
	readonly step_in_ms: number;
	readonly upload_copies: number;
};

/** A chunk to read from the origin. */
export type OriginChunk = {readonly manifest: Digest; readonly position: number};

/** What the transfers of one agent share. */
export type TransferOptions = {
	readonly self: VmLocation;
	/** All agents of the group now; `self` may be among them. */
	readonly peers: () => readonly TransferPeer[];
	readonly links: PeerClient;
	readonly chunks: ChunkStore;
	readonly upPacer: TransferPacer;
	readonly downPacer: TransferPacer;
	/** The origin's address. */
	readonly originUrl: string;
	/** Returns where the origin serves a chunk; by digest below {@link originUrl} when absent. */
	readonly originChunkUrl?: (chunk: OriginChunk) => string | undefined;
	readonly random: RandomSource;
	readonly log: Logger;
	readonly limits: () => TransferLimits;
	/** Downloads that may be open at once, where it differs from the usual number; others wait for what importers bring in. */
	readonly maxOpenDownloads?: (isImporter: boolean) => number;
	/** The longest pause after failures in a row of one source, in milliseconds. */
	readonly maxBackoffMs?: number;
	/** Memory for weights, in bytes. */
	readonly memoryBytes: number;
	/** Control bytes per second for notices, both ways. */
	readonly noticeBytesPerSecond: number;
	/** Least time between two notices about common chunks to one neighbour, in milliseconds. */
	readonly noticeIntervalMs: number;
};

/** About two chunk times of a rollout of 64 chunks in 180 s; fewer notices, for one and a half chunk times of later news on average. */
export const defaultNoticeIntervalMs = 5000;

/** Control bytes per second for notices: under half of the 12 KB/s of all control traffic, since neighbours send as many. */
export const defaultNoticeBytesPerSecond = 5000;
