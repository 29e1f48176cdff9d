/**
 * Collects the garbage of large buffers before it takes much memory.
 *
 * The heap of a process grows little when it receives large bodies, since their bytes are kept outside it. V8 starts to collect them at a
 * fixed size of 64 MB, which is a large part of the memory of a small process.
 */
import v8 from 'node:v8';
import vm from 'node:vm';

/** After how many allocated bytes the memory outside the heap is looked at, and by how much it must have grown. */
const checkedBytes = 8_388_608;
const minGrowthBytes = 8_388_608;

/** Watches the buffers that are allocated for bodies. */
export class BufferGarbage {
	/** How often garbage was collected early. */
	collections = 0;
	private allocatedBytes = 0;
	private bytesAfterLast = 0;
	private collect: (() => void) | undefined;

	/** Starts to collect garbage early; until then, nothing is done. */
	enable(): void {
		v8.setFlagsFromString('--expose-gc');
		this.collect = vm.runInNewContext('gc') as () => void;
		v8.setFlagsFromString('--no-expose-gc');
		this.bytesAfterLast = v8.getHeapStatistics().external_memory;
	}

	/** Records that buffers were allocated. */
	recordAllocation(bytes: number): void {
		this.allocatedBytes += bytes;
		if (this.collect === undefined || this.allocatedBytes < checkedBytes) {
			return;
		}

		this.allocatedBytes = 0;
		const {external_memory: externalBytes} = v8.getHeapStatistics();
		if (externalBytes - this.bytesAfterLast >= minGrowthBytes) {
			this.collect();
			this.collections++;
			this.bytesAfterLast = v8.getHeapStatistics().external_memory;
		} else {
			this.bytesAfterLast = Math.min(this.bytesAfterLast, externalBytes);
		}
	}
}

/** Watches the buffers of this process. */
export const bufferGarbage = new BufferGarbage();
