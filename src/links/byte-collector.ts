/**
 * Collects a body that arrives in chunks of any size.
 *
 * Each chunk is copied: a chunk that is kept as it is may keep a whole read buffer in memory, and costs some hundred bytes of the heap
 * even if it holds a single byte.
 */
import {Buffer} from 'node:buffer';
import {bufferGarbage} from '../runtime/buffer-garbage.ts';

/** Sizes of the first block and of the largest one, in bytes. */
const minBlockBytes = 1024;
const maxBlockBytes = 65_536;

/** Copies chunks into a few large blocks. */
export class ByteCollector {
	private blocks: Buffer[] = [];
	private bytes = 0;
	/** Bytes that the last block has left. */
	private free = 0;

	/** @param expectedBytes - length of the body if it is known; it is then collected in one block, without a copy at the end */
	constructor(private readonly expectedBytes = 0) {}

	/** Number of bytes collected so far. */
	get length(): number {
		return this.bytes;
	}

	/** Adds the next bytes. */
	push(chunk: Uint8Array): void {
		const fitting = Math.min(this.free, chunk.length);
		this.append(chunk, 0, fitting);
		if (fitting < chunk.length) {
			const rest = chunk.length - fitting;
			const block = Buffer.allocUnsafeSlow(this.blocks.length === 0 ? Math.max(rest, this.expectedBytes, minBlockBytes) : Math.max(rest, Math.min(maxBlockBytes, this.bytes)));
			bufferGarbage.recordAllocation(block.length);
			this.blocks.push(block);
			this.free = block.length;
			this.append(chunk, fitting, chunk.length);
		}
	}

	/** Returns all bytes and forgets them. */
	take(): Buffer {
		const [first] = this.blocks;
		const whole = first && this.blocks.length === 1 ? first.subarray(0, this.bytes) : Buffer.concat(this.blocks, this.bytes);
		this.clear();
		return whole;
	}

	/** Forgets all bytes. */
	clear(): void {
		this.blocks = [];
		this.bytes = 0;
		this.free = 0;
	}

	private append(chunk: Uint8Array, start: number, end: number): void {
		const block = this.blocks.at(-1);
		if (block && end > start) {
			block.set(chunk.subarray(start, end), block.length - this.free);
			this.free -= end - start;
			this.bytes += end - start;
		}
	}
}
