/**
 * The memory that a JSON text takes once it is parsed.
 *
 * An empty list takes some fifty bytes of the heap and three of the text, so that a body within its limit may need more than the heap holds.
 */
import type {Buffer} from 'node:buffer';
import {heapBytesFor} from './head-memory.ts';
import type {MemoryRoom} from './memory-budget.ts';

/** Memory for a byte of the text, which is decoded and copied into the strings that it holds, in bytes. */
const bytesPerTextByte = 3;

/** Memory for a list or an object, and for a further item of one, in bytes. */
const collectionBytes = 56;
const itemBytes = 24;

/** Room that a process has whatever its heap, in bytes. */
const minRoom: MemoryRoom = {large: 2_097_152, small: 524_288};

/** What texts that need little memory have in addition, as a part of the share of the others. */
const smallPart = 0.25;

/** What each character outside of the strings' text costs, by its code. */
const bytesByCode = new Uint8Array(256);
for (const [text, bytes] of [['[{', collectionBytes], [',:', itemBytes]] as const) {
	for (const character of text) {
		bytesByCode[character.codePointAt(0)!] = bytes;
	}
}

/** Returns the memory that a text takes at most while it is parsed and used, in bytes; it may be less, since brackets in strings count too. */
export function estimateJsonBytes(text: Buffer): number {
	let bytes = text.length * bytesPerTextByte;
	for (const code of text) {
		bytes += bytesByCode[code]!;
	}

	return bytes;
}

/**
 * Returns the room for parsed texts of one listener.
 *
 * @param share - share of the heap for large texts; the others have a part of it in addition
 */
export function jsonRoomFor(memoryMb: number, share: number): MemoryRoom {
	const bytes = heapBytesFor(memoryMb) * share;
	return {large: Math.max(minRoom.large, bytes), small: Math.max(minRoom.small, bytes * smallPart)};
}
