/** Exchanges notices with neighbours, within a budget of control bytes. */

/** Bytes of one exchange on the wire, both ways, headers included; measured with 64 chunks in bench/rollout.ts. */
export const exchangeBytes = 900;

/** Control bytes that may be saved up for a burst. */
const burstBytes = 96 * 1024;

/** What the sender works with. */
export type NoticeSenderOptions = {
	/** Control bytes per second, both ways. */
	readonly bytesPerSecond: number;
	/** Exchanges notices with one peer; never rejects. */
	readonly exchange: (vm: string) => Promise<void>;
};

type NeighbourState = {inFlight: boolean; dueAtMs: number; lastContactAtMs: number};

/** No news for a neighbour. */
const never = Number.POSITIVE_INFINITY;

/** Tells neighbours about news; several pieces of news to one neighbour become one notice. */
export class NoticeSender {
	private readonly states = new Map<string, NeighbourState>();
	private tokens = burstBytes;
	private refilledAtMs = performance.now();
	private timer: NodeJS.Timeout | undefined;
	private stopped = false;

	/** @param options - what the sender works with */
	constructor(private readonly options: NoticeSenderOptions) {}

	/**
	 * Tells peers that there is news.
	 *
	 * @param vms - the peers
	 * @param intervalMs - least time since the last contact with the peer; news that come meanwhile go together
	 */
	notify(vms: Iterable<string>, intervalMs = 0): void {
		for (const vm of vms) {
			const state = this.stateOf(vm);
			state.dueAtMs = Math.min(state.dueAtMs, state.lastContactAtMs + intervalMs);
		}

		this.flush();
	}

	/**
	 * Notes that notices were exchanged with a peer in another way.
	 *
	 * @param vm - the peer
	 */
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
		// The neighbour that has waited longest goes first when the budget is short.
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
