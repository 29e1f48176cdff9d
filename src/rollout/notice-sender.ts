/** Schedules the exchange of notices with neighbours, within a bandwidth budget for control traffic. */

/** The size of one exchange on the wire in bytes, both directions and headers included; measured with 64 chunks in bench/rollout.ts. */
export const exchangeBytes = 900;

/** The capacity of the token bucket, in bytes. */
const burstBytes = 96 * 1024;

/** Dependencies and limits of a notice sender. */
export type NoticeSenderOptions = {
	/** The budget for notices in bytes per second, both directions together. */
	readonly bytesPerSecond: number;
	/** Exchanges notices with one peer. Must not reject. */
	readonly exchange: (vm: string) => Promise<void>;
};

type NeighbourState = {inFlight: boolean; dueAtMs: number; lastContactAtMs: number};

/** The due time of a neighbour that no notice is pending for. */
const never = Number.POSITIVE_INFINITY;

/** Sends notices to neighbours. Pending changes for the same neighbour are coalesced into one notice. */
export class NoticeSender {
	private readonly states = new Map<string, NeighbourState>();
	private tokens = burstBytes;
	private refilledAtMs = performance.now();
	private timer: NodeJS.Timeout | undefined;
	private stopped = false;

	constructor(private readonly options: NoticeSenderOptions) {}

	/**
	 * Schedules a notice to each of the peers.
	 *
	 * @param vms - the peers
	 * @param intervalMs - the minimum time since the last contact with a peer, in milliseconds; changes within it are coalesced
	 */
	notify(vms: Iterable<string>, intervalMs = 0): void {
		for (const vm of vms) {
			const state = this.stateOf(vm);
			state.dueAtMs = Math.min(state.dueAtMs, state.lastContactAtMs + intervalMs);
		}

		this.flush();
	}

	/** Records that notices were exchanged with a peer in another way, such as with a chunk request. Cancels the pending notice to it. */
	recordContact(vm: string): void {
		const state = this.states.get(vm);
		if (state && !state.inFlight) {
			state.dueAtMs = never;
			state.lastContactAtMs = performance.now();
		}
	}

	/** Stops sending. */
	stop(): void {
		this.stopped = true;
		clearTimeout(this.timer);
	}

	private stateOf(vm: string): NeighbourState {
		const state = this.states.get(vm) ?? {inFlight: false, dueAtMs: never, lastContactAtMs: 0};
		this.states.set(vm, state);
		return state;
	}

	private flush(): void {
		if (this.stopped) {
			return;
		}

		this.refill();
		const nowMs = performance.now();
		// Longest-waiting neighbour first, in case the budget does not suffice for all.
		const waiting = [...this.states].filter(([, state]) => state.dueAtMs < never && !state.inFlight).toSorted(([, a], [, b]) => a.dueAtMs - b.dueAtMs);
		for (const [vm, state] of waiting) {
			if (state.dueAtMs > nowMs) {
				this.scheduleFlush(state.dueAtMs - nowMs);
				return;
			}

			if (this.tokens < exchangeBytes) {
				this.scheduleFlush(exchangeBytes / this.options.bytesPerSecond * 1000);
				return;
			}

			this.tokens -= exchangeBytes;
			void this.exchange(vm, state);
		}
	}

	private async exchange(vm: string, state: NeighbourState): Promise<void> {
		state.inFlight = true;
		state.dueAtMs = never;
		state.lastContactAtMs = performance.now();
		try {
			await this.options.exchange(vm);
		} finally {
			state.inFlight = false;
			if (state.dueAtMs < never) {
				this.flush();
			}
		}
	}

	private refill(): void {
		const nowMs = performance.now();
		this.tokens = Math.min(burstBytes, this.tokens + ((nowMs - this.refilledAtMs) / 1000 * this.options.bytesPerSecond));
		this.refilledAtMs = nowMs;
	}

	private scheduleFlush(waitMs: number): void {
		clearTimeout(this.timer);
		this.timer = setTimeout(() => {
			this.flush();
		}, Math.ceil(waitMs));
		this.timer.unref();
	}
}
