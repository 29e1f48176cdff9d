/** Tracks since when each chunk is unavailable in the region. */

/** Stores for each unavailable chunk when it became so. A chunk is available while a reachable peer of the region holds or imports it. */
export class UnavailabilityTracker {
	private readonly sinceMs = new Map<number, number>();

	/**
	 * Updates the times of all chunks.
	 *
	 * @param chunkCount - the number of chunks
	 * @param isAvailable - returns whether a chunk is available in the region
	 * @param nowMs - the current time, in milliseconds
	 */
	update(chunkCount: number, isAvailable: (chunk: number) => boolean, nowMs: number): void {
		for (let chunk = 0; chunk < chunkCount; chunk++) {
			if (isAvailable(chunk)) {
				this.sinceMs.delete(chunk);
			} else if (!this.sinceMs.has(chunk)) {
				this.sinceMs.set(chunk, nowMs);
			}
		}
	}

	/**
	 * Returns since when a chunk is unavailable, in milliseconds, or 0 when it is available or not tracked yet.
	 *
	 * @param chunk - the chunk's position
	 */
	since(chunk: number): number {
		return this.sinceMs.get(chunk) ?? 0;
	}

	/** Removes all times. */
	clear(): void {
		this.sinceMs.clear();
	}
}
