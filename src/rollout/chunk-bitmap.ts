/** Sets of chunk positions and their base64 form in notices. */
import {Buffer} from 'node:buffer';

const bitsPerByte = 8;

/** A set of chunk positions of one manifest. */
export class ChunkBitmap {
	/**
	 * Reads the base64 form.
	 *
	 * @param text - base64; positions beyond its end count as absent
	 * @param size - how many chunks the manifest has
	 */
	static decode(text: string, size: number): ChunkBitmap {
		const bitmap = new ChunkBitmap(size);
		const bytes = Buffer.from(text, 'base64');
		for (let at = 0; at < size; at++) {
			const byte = bytes[Math.floor(at / bitsPerByte)] ?? 0;
			if (Math.floor(byte / (2 ** (at % bitsPerByte))) % 2 === 1) {
				bitmap.add(at);
			}
		}

		return bitmap;
	}

	private readonly members: Uint8Array;
	private memberCount = 0;

	/** @param size - how many chunks the manifest has */
	constructor(readonly size: number) {
		this.members = new Uint8Array(size);
	}

	/** How many positions are in the set. */
	get count(): number {
		return this.memberCount;
	}

	/** Returns the base64 form, one bit per position. */
	encode(): string {
		const bytes = new Uint8Array(Math.ceil(this.size / bitsPerByte));
		for (const [at, member] of this.members.entries()) {
			bytes[Math.floor(at / bitsPerByte)]! += member * (2 ** (at % bitsPerByte));
		}

		return Buffer.from(bytes).toString('base64');
	}

	/**
	 * Tells whether a position is in the set.
	 *
	 * @param at - the position
	 */
	has(at: number): boolean {
		return this.members[at] === 1;
	}

	/**
	 * Adds a position.
	 *
	 * @param at - the position, below the size
	 */
	add(at: number): void {
		if (!this.has(at)) {
			this.members[at] = 1;
			this.memberCount++;
		}
	}
}
