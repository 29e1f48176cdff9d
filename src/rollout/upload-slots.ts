/** Limits concurrent and queued uploads, and counts the uploaded bytes of each version. */

/** The number of concurrent uploads. */
export const uploadSlots = 2;

/** The number of requests that may queue for a slot; keeps the uplink busy between two uploads. */
export const waitingUploads = 2;

/** The reason for a refused upload. */
export type UploadRefusal = 'busy' | 'over_budget';

/** Admission control for uploads: a bounded queue for upload slots, and an upload budget for each version. */
export class UploadSlots {
	private running = 0;
	private readonly waiting: Array<() => void> = [];
	private readonly sentBytes = new Map<string, number>();

	/** The number of running and queued uploads. */
	get load(): number {
		return this.running + this.waiting.length;
	}

	/**
	 * Returns why an upload is refused, or undefined when it may run or queue.
	 *
	 * @param upload - the version's manifest and the size of the upload
	 * @param budgetBytes - the upload budget of the version
	 * @param lastResort - whether the peer has no other source left, so that the budget does not apply
	 */
	refusal(upload: {manifest: string; bytes: number}, budgetBytes: number, lastResort: boolean): UploadRefusal | undefined {
		if (!lastResort && this.sent(upload.manifest) + upload.bytes > budgetBytes) {
			return 'over_budget';
		}

		return this.load >= uploadSlots + waitingUploads ? 'busy' : undefined;
	}

	/** Waits for a slot, which the caller must {@link release} after the upload. */
	async acquire(): Promise<void> {
		if (this.running < uploadSlots) {
			this.running++;
			return;
		}

		await new Promise<void>(resolve => {
			this.waiting.push(resolve);
		});
	}

	/** Releases a slot, or passes it on to the longest-waiting request. */
	release(): void {
		const next = this.waiting.shift();
		if (next) {
			next();
		} else {
			this.running--;
		}
	}

	/**
	 * Adds to a version's count of uploaded bytes. An upload is counted when it is accepted and corrected when it ends early.
	 *
	 * @param manifest - the version's manifest
	 * @param bytes - the number of bytes; negative for bytes that were counted but not sent
	 */
	addSent(manifest: string, bytes: number): void {
		this.sentBytes.set(manifest, this.sent(manifest) + bytes);
	}

	/** Returns how many bytes of a version were uploaded, accepted uploads included. */
	sent(manifest: string): number {
		return this.sentBytes.get(manifest) ?? 0;
	}

	/** Discards the count of a version that is no longer held. */
	forget(manifest: string): void {
		this.sentBytes.delete(manifest);
	}
}
