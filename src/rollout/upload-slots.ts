/** How many uploads run at once, how many wait, and how much of each version has been sent on. */

/** Uploads that run at once. */
export const uploadSlots = 2;

/** Requests that wait for a slot; keeps the uplink busy between two uploads. */
export const waitingUploads = 2;

/** Why an upload is refused. */
export type UploadRefusal = 'busy' | 'over_budget';

/** Grants upload slots. */
export class UploadSlots {
	private running = 0;
	private readonly waiting: Array<() => void> = [];
	private readonly sentBytes = new Map<string, number>();

	/** Uploads that run or wait. */
	get load(): number {
		return this.running + this.waiting.length;
	}

	/**
	 * Decides whether an upload may run or wait.
	 *
	 * @param upload - what the budget is counted for and how much is asked for
	 * @param budgetBytes - how much may be sent for the manifest
	 * @param lastResort - whether no other holder is left, so that the budget does not apply
	 */
	refusal(upload: {manifest: string; bytes: number}, budgetBytes: number, lastResort: boolean): UploadRefusal | undefined {
		if (!lastResort && this.sent(upload.manifest) + upload.bytes > budgetBytes) {
			return 'over_budget';
		}

		return this.load >= uploadSlots + waitingUploads ? 'busy' : undefined;
	}

	/** Waits for a slot; the caller calls {@link release} afterwards. */
	async acquire(): Promise<void> {
		if (this.running < uploadSlots) {
			this.running++;
			return;
		}

		await new Promise<void>(resolve => {
			this.waiting.push(resolve);
		});
	}

	/** Gives a slot back or hands it to the request that waits longest. */
	release(): void {
		const next = this.waiting.shift();
		if (next) {
			next();
		} else {
			this.running--;
		}
	}

	/**
	 * Counts bytes that were sent or are about to be.
	 *
	 * @param manifest - what the budget is counted for
	 * @param bytes - how many; negative takes back what was not sent
	 */
	addSent(manifest: string, bytes: number): void {
		this.sentBytes.set(manifest, this.sent(manifest) + bytes);
	}

	/**
	 * Returns how many bytes were sent.
	 *
	 * @param manifest - what the budget is counted for
	 */
	sent(manifest: string): number {
		return this.sentBytes.get(manifest) ?? 0;
	}

	/**
	 * Forgets a version that is no longer held.
	 *
	 * @param manifest - what the budget was counted for
	 */
	forget(manifest: string): void {
		this.sentBytes.delete(manifest);
	}
}
