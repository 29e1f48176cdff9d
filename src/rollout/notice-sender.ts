/** Exchanges notices with neighbours, within a budget of control bytes. */
import {performance} from 'node:perf_hooks';

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

type NeighbourState = {inFlight: boolean; dirty: boolean; lastAtMs: number};

/** Tells neighbours about news; several pieces of news to one neighbour become one notice. */
export class NoticeSender {
	private readonly states = new Map<string, NeighbourState>();
	private tokens = burstBytes;
	private filledAtMs = performance.now();
	private timer: NodeJS.Timeout | undefined;
	private stopped = false;

	/** @param options - what the sender works with */
	constructor(private readonly options: NoticeSenderOptions) {}

	/**
	 * Tells peers that there is news.
	 *
	 * @param vms - the peers
	 */
	notify(vms: Iterable<string>): void {
		for (const vm of vms) {
			this.stateOf(vm).dirty = true;
		}

		this.flush();
	}

	/**
	 * Returns when a peer last took part in an exchange, in milliseconds.
	 *
	 * @param vm - the peer
	 */
	lastAtMs(vm: string): number {
		return this.states.get(vm)?.lastAtMs ?? Number.NEGATIVE_INFINITY;
	}

	/** Stops sending. */
	stop(): void {
		this.stopped = true;
		clearTimeout(this.timer);
	}

	private stateOf(vm: string): NeighbourState {
		const state = this.states.get(vm) ?? {inFlight: false, dirty: false, lastAtMs: Number.NEGATIVE_INFINITY};
		this.states.set(vm, state);
		return state;
	}

	private flush(): void {
		if (this.stopped) {
			return;
		}

		this.refill();
		// The neighbour that has waited longest goes first when the budget is short.
		const due = [...this.states].filter(([, state]) => state.dirty && !state.inFlight).toSorted(([, a], [, b]) => a.lastAtMs - b.lastAtMs);
		for (const [vm, state] of due) {
			if (this.tokens < exchangeBytes) {
				this.flushLater();
				return;
			}

			this.tokens -= exchangeBytes;
			void this.exchange(vm, state);
		}
	}

	private async exchange(vm: string, state: NeighbourState): Promise<void> {
		state.inFlight = true;
		state.dirty = false;
		state.lastAtMs = performance.now();
		try {
			await this.options.exchange(vm);
		} finally {
			state.inFlight = false;
			if (state.dirty) {
				this.flush();
			}
		}
	}

	private refill(): void {
		const nowMs = performance.now();
		this.tokens = Math.min(burstBytes, this.tokens + ((nowMs - this.filledAtMs) / 1000 * this.options.bytesPerSecond));
		this.filledAtMs = nowMs;
	}

	private flushLater(): void {
		clearTimeout(this.timer);
		this.timer = setTimeout(() => {
			this.flush();
		}, Math.ceil(exchangeBytes / this.options.bytesPerSecond * 1000));
		this.timer.unref();
	}
}
