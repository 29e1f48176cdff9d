/** Lets calls wait for a short time after this process stood still, until another process or the source has confirmed what it knows. */

/** How long a call waits at most, in milliseconds; a process that is cut off serves on with what it knows. */
const maxWaitMs = 300;

/** Whether what is known has to be confirmed before it is used. */
export class Confirmation {
	private pending: {readonly promise: Promise<void>; readonly finish: () => void} | undefined;

	/** Whether calls have to wait. */
	get isPending(): boolean {
		return this.pending !== undefined;
	}

	/** Makes calls wait until {@link confirm}, but not for long. */
	require(): void {
		this.confirm();
		let finish = () => undefined as void;
		const promise = new Promise<void>(resolve => {
			finish = resolve;
		});
		const pending = {promise, finish};
		this.pending = pending;
		setTimeout(() => {
			if (this.pending === pending) {
				this.confirm();
			}
		}, maxWaitMs).unref();
	}

	/** Lets calls go on. */
	confirm(): void {
		this.pending?.finish();
		this.pending = undefined;
	}

	/** Resolves when calls may go on. */
	async wait(): Promise<void> {
		await this.pending?.promise;
	}
}
