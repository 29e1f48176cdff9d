/** Remembers since when no reachable peer of the region has a chunk. */

/** Keeps one time per unseen chunk. */
export class UnavailabilityTracker {
	private readonly sinceMs = new Map<number, number>();

	/**
	 * Looks at all chunks again.
	 *
	 * @param chunkCount - how many chunks there are
	 * @param isSeen - whether a reachable peer of the region holds or reads a chunk
	 * @param nowMs - now, in milliseconds
	 */
	update(chunkCount: number, isSeen: (chunk: number) => boolean, nowMs: number): void {
		for (let chunk = 0; chunk < chunkCount; chunk++) {
			if (isSeen(chunk)) {
				this.sinceMs.delete(chunk);
			} else if (!this.sinceMs.has(chunk)) {
				this.sinceMs.set(chunk, nowMs);
			}
		}
	}

	/**
	 * Returns since when a chunk is unseen, or 0 when it was not looked at yet.
	 *
	 * @param chunk - the chunk's position
	 */
	since(chunk: number): number {
		return this.sinceMs.get(chunk) ?? 0;
	}

	/** Forgets all times. */
	clear(): void {
		this.sinceMs.clear();
	}
}
