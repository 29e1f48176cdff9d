/** Shares the descriptors and the memory of a process among its listeners and the calls that it forwards. */
import type {ConnectionLimits} from '../links/connection-limit.ts';
import {bodyRoomFor, messageBodyRoom} from './body-room.ts';
import type {MemoryRoom} from './memory-budget.ts';
import {headRoomFor, heapBytesFor, maxWaitingRequestsFor} from './head-memory.ts';
import {jsonRoomFor} from './json-memory.ts';
import {maxBufferedBytesFor} from './response-buffers.ts';

/** Descriptors that are kept for files. */
const fileDescriptors = 200;

/** What a listener may take. */
type ListenerShares = {
	/** Share of the other descriptors. */
	readonly descriptors: number;
	/** Share of the memory for incomplete heads. */
	readonly heads: number;
	/** Share of the heap for requests with large heads, for fields of incomplete heads, and for requests that wait behind others on their connections. */
	readonly requests: number;
	/** Share of the heap for bodies that are parsed. */
	readonly json: number;
	/** Share of the memory for responses that clients have not read. */
	readonly unread: number;
	/** Returns the room for bodies. */
	readonly bodies: (memoryMb: number) => MemoryRoom;
	/** Connections for each megabyte of memory. */
	readonly connectionsPerMegabyte: number;
};

/** Connections of callers, and forwarded calls, for each megabyte of memory. */
const callersPerMegabyte = 8;
const callsPerMegabyte = 4;

/** What a listener that takes calls may take. */
const callShares: ListenerShares = {
	descriptors: 0.5,
	heads: 0.04,
	requests: 0.1,
	json: 0.4,
	unread: 0.1,
	bodies: bodyRoomFor,
	connectionsPerMegabyte: callersPerMegabyte,
};

/** The kinds of listeners. What their descriptors leave is for connections to peers, to the store and to upstreams. */
const listenerShares = {
	callers: callShares,
	control: {
		descriptors: 0.1,
		heads: 0.01,
		requests: 0.02,
		json: 0.1,
		unread: 0.05,
		bodies: () => messageBodyRoom,
		connectionsPerMegabyte: Number.POSITIVE_INFINITY,
	},
	readiness: {
		descriptors: 0.02,
		heads: 0.01,
		requests: 0.01,
		json: 0.02,
		unread: 0.01,
		bodies: () => messageBodyRoom,
		connectionsPerMegabyte: Number.POSITIVE_INFINITY,
	},
	/** The only listener of an agent, which takes calls from entries. */
	agent: callShares,
	/** The only listener of a stager, which serves weights to other stagers. */
	stager: {
		descriptors: 0.5,
		heads: 0.04,
		requests: 0.1,
		json: 0.1,
		unread: 0.1,
		bodies: () => messageBodyRoom,
		connectionsPerMegabyte: callersPerMegabyte,
	},
} satisfies Readonly<Record<string, ListenerShares>>;

/** Share of the descriptors for calls that a gateway forwards. */
const callDescriptorShare = 0.25;

/** Share of the heap for the call records of an agent. */
const recordHeapShare = 0.25;

/** Memory for call records whatever the heap, in bytes. */
const minRecordBytes = 2_097_152;

const bytesPerMegabyte = 1_000_000;

/** The limits of one listener. */
export type ListenerLimits = ConnectionLimits & {
	/** The room for heads of requests without a response. */
	readonly heads: MemoryRoom;
	/** The room for bodies that are parsed. */
	readonly json: MemoryRoom;
	/** The room for bodies. */
	readonly bodies: MemoryRoom;
	/** Memory for responses that clients have not read, in bytes. */
	readonly unreadBytes: number;
};

/** What a process may have open. */
export type ProcessLimits = Readonly<Record<keyof typeof listenerShares, ListenerLimits>> & {
	/** Calls that are forwarded at a time; each has a connection to an instance. */
	readonly openCalls: number;
	/** Memory for the call records of an agent, in bytes. */
	readonly recordBytes: number;
};

/** Returns the limits for a memory limit in megabytes and a number of descriptors. */
export function processLimitsFor(memoryMb: number, maxDescriptors: number): ProcessLimits {
	const descriptors = Math.max(fileDescriptors, maxDescriptors - fileDescriptors);
	const limitsOf = (kind: keyof typeof listenerShares): ListenerLimits => {
		const shares: ListenerShares = listenerShares[kind];
		const requestRoom = headRoomFor(memoryMb, shares.requests);
		return {
			maxConnections: wholeShare(descriptors * shares.descriptors, memoryMb * shares.connectionsPerMegabyte),
			headBytes: memoryMb * bytesPerMegabyte * shares.heads,
			fieldBytes: requestRoom.large,
			maxWaitingRequests: maxWaitingRequestsFor(memoryMb, shares.requests),
			heads: requestRoom,
			json: jsonRoomFor(memoryMb, shares.json),
			bodies: shares.bodies(memoryMb),
			unreadBytes: maxBufferedBytesFor(memoryMb, shares.unread),
		};
	};

	return {
		callers: limitsOf('callers'),
		control: limitsOf('control'),
		readiness: limitsOf('readiness'),
		agent: limitsOf('agent'),
		stager: limitsOf('stager'),
		recordBytes: Math.max(minRecordBytes, heapBytesFor(memoryMb) * recordHeapShare),
		openCalls: wholeShare(descriptors * callDescriptorShare, memoryMb * callsPerMegabyte),
	};
}

/** Returns the smaller number, rounded down; at least 1. */
function wholeShare(share: number, most: number): number {
	return Math.max(1, Math.floor(Math.min(share, most)));
}
