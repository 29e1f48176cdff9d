/** Bounds the bytes of bodies that this gateway has in flight to one instance, which holds them in memory together with those of others. */

const bytesPerMegabyte = 1_000_000;

/** Bytes of bodies in flight to one instance, unless the settings say otherwise, in megabytes: four of the largest usual bodies. */
export const defaultInstanceBodyMb = 17;

/** Counts the bytes of bodies by instance. */
export class BodiesInFlight {
	/** How often an instance was passed over because it had too many. */
	passedOverCount = 0;
	private readonly bytesByInstance = new Map<string, number>();
	private readonly maxBytes: number;

	/** @param maxMb - bound for each instance, in megabytes */
	constructor(maxMb = defaultInstanceBodyMb) {
		this.maxBytes = maxMb * bytesPerMegabyte;
	}

	/** Bytes in flight to the instance that has the most. */
	get largestBytes(): number {
		return Math.max(0, ...this.bytesByInstance.values());
	}

	/** Returns the instances that cannot take a body now. One without any other body takes a body of any size. */
	findFull(bytes: number): string[] {
		if (bytes === 0) {
			return [];
		}

		const full = [...this.bytesByInstance].filter(([, used]) => used + bytes > this.maxBytes).map(([instance]) => instance);
		this.passedOverCount += full.length;
		return full;
	}

	/**
	 * Adds a body that is about to be sent.
	 *
	 * @returns a function that removes it; it does nothing when it is called again
	 */
	add(instance: string, bytes: number): () => void {
		this.change(instance, bytes);
		let isRemoved = false;
		return () => {
			if (!isRemoved) {
				isRemoved = true;
				this.change(instance, -bytes);
			}
		};
	}

	private change(instance: string, bytes: number): void {
		const used = (this.bytesByInstance.get(instance) ?? 0) + bytes;
		if (used > 0) {
			this.bytesByInstance.set(instance, used);
		} else {
			this.bytesByInstance.delete(instance);
		}
	}
}
