/**
 * The memory of requests and their heads, which are kept until their responses are written.
 *
 * They are kept in the heap, whose limit is far below the memory limit of the process: a field of a few characters takes more than a
 * hundred bytes there, once in the list of fields and once in their index.
 */
import type http from 'node:http';
import v8 from 'node:v8';
import type {MemoryRoom} from './memory-budget.ts';

/** Memory of a request and its response without their fields, and of a field without its characters, in bytes. */
const requestBytes = 4096;
const fieldBytes = 128;

/** Room that a process has whatever its heap, in bytes: for two of the largest heads, and for some ordinary ones. */
const minRoom: MemoryRoom = {large: 1_048_576, small: 1_048_576};

/** Requests that may wait whatever the heap. */
const minWaitingRequests = 64;

/** Heap that a process takes without any request, in bytes. */
const programHeapBytes = 16_000_000;

const bytesPerMegabyte = 1_000_000;

/**
 * Returns how much of the heap requests may share, in bytes.
 *
 * @param memoryMb - memory limit of the process, in megabytes, if it is below that of the heap
 */
export function heapBytesFor(memoryMb: number): number {
	return Math.max(0, Math.min(memoryMb * bytesPerMegabyte, v8.getHeapStatistics().heap_size_limit) - programHeapBytes);
}

/**
 * Returns the room for the requests of one listener. Large heads have room of their own, so that they leave some for ordinary ones.
 *
 * @param share - share of the heap for large heads; the others have twice as much
 */
export function headRoomFor(memoryMb: number, share: number): MemoryRoom {
	const bytes = heapBytesFor(memoryMb) * share;
	return {large: Math.max(minRoom.large, bytes), small: Math.max(minRoom.small, 2 * bytes)};
}

/**
 * Returns how many requests may wait behind earlier ones on the connections of one listener. A refused request waits too, since responses
 * are sent in the order of their requests.
 *
 * @param share - share of the heap for them
 */
export function maxWaitingRequestsFor(memoryMb: number, share: number): number {
	return Math.max(minWaitingRequests, Math.floor(heapBytesFor(memoryMb) * share / requestBytes));
}

/** Returns the memory that a request takes beside its body, in bytes. */
export function estimateHeadBytes(rawHeaders: readonly string[]): number {
	const characters = rawHeaders.reduce((sum, item) => sum + item.length, 0);
	return requestBytes + (fieldBytes * rawHeaders.length / 2) + characters;
}

/** Drops the head of a request that is refused, of which the body may still be arriving. */
export function dropHead(req: http.IncomingMessage): void {
	req.rawHeaders = [];
	req.headers = {};
}
