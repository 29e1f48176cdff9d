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
		for (let position = 0; position < size; position++) {
			const byte = bytes[Math.floor(position / bitsPerByte)] ?? 0;
			if (Math.floor(byte / (2 ** (position % bitsPerByte))) % 2 === 1) {
				bitmap.add(position);
			}
		}

		return bitmap;
	}

	private readonly present: Uint8Array;
	private presentCount = 0;

	/** @param size - how many chunks the manifest has */
	constructor(readonly size: number) {
		this.present = new Uint8Array(size);
	}

	/** How many positions are in the set. */
	get count(): number {
		return this.presentCount;
	}

	/** Returns the base64 form, one bit per position. */
	encode(): string {
		const bytes = new Uint8Array(Math.ceil(this.size / bitsPerByte));
		for (const [position, bit] of this.present.entries()) {
			bytes[Math.floor(position / bitsPerByte)]! += bit * (2 ** (position % bitsPerByte));
		}

		return Buffer.from(bytes).toString('base64');
	}

	/**
	 * Tells whether a position is in the set.
	 *
	 * @param position - the position
	 */
	has(position: number): boolean {
		return this.present[position] === 1;
	}

	/**
	 * Adds a position.
	 *
	 * @param position - the position, below the size
	 */
	add(position: number): void {
		if (!this.has(position)) {
			this.present[position] = 1;
			this.presentCount++;
		}
	}
}
