/** Sets of chunk positions, and their base64 encoding in notices. */
import {Buffer} from 'node:buffer';

const bitsPerByte = 8;

/** The value of each bit of a byte, least significant bit first. */
const bitValues = [1, 2, 4, 8, 16, 32, 64, 128];

/** A set of chunk positions of one manifest. */
export class ChunkBitmap {
	/**
	 * Decodes a bitmap from base64.
	 *
	 * @param text - base64; positions beyond its end count as absent
	 * @param size - the number of chunks in the manifest
	 */
	static decode(text: string, size: number): ChunkBitmap {
		const bitmap = new ChunkBitmap(size);
		const bytes = Buffer.from(text, 'base64');
		for (let position = 0; position < size; position++) {
			const byte = bytes[Math.floor(position / bitsPerByte)] ?? 0;
			if (Math.floor(byte / bitValues[position % bitsPerByte]!) % 2 === 1) {
				bitmap.add(position);
			}
		}

		return bitmap;
	}

	private readonly present: Uint8Array;
	private presentCount = 0;
	/** The encoded set, until it changes; each notice asks for it. */
	private encoded: string | undefined;

	/** @param size - the number of chunks in the manifest */
	constructor(readonly size: number) {
		this.present = new Uint8Array(size);
	}

	/** The number of positions in the set. */
	get count(): number {
		return this.presentCount;
	}

	/** Encodes the set as base64, one bit per position, least significant bit first. */
	encode(): string {
		if (this.encoded === undefined) {
			const bytes = new Uint8Array(Math.ceil(this.size / bitsPerByte));
			for (const [position, bit] of this.present.entries()) {
				bytes[Math.floor(position / bitsPerByte)]! += bit * bitValues[position % bitsPerByte]!;
			}

			this.encoded = Buffer.from(bytes).toString('base64');
		}

		return this.encoded;
	}

	/** Returns whether a position is in the set. */
	has(position: number): boolean {
		return this.present[position] === 1;
	}

	/**
	 * Adds a position.
	 *
	 * @param position - a position below `size`
	 */
	add(position: number): void {
		if (!this.has(position)) {
			this.present[position] = 1;
			this.presentCount++;
			this.encoded = undefined;
		}
	}
}
