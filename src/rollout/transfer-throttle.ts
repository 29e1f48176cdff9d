/** Throttles weight transfers when they slow down live calls on the same link. */
import type http from 'node:http';
import type {TransferPacer} from './transfer-pacer.ts';

/** The ratio of loaded latency (during transfers) to idle latency (without transfers) above which transfers are slowed down. */
export const slowdownRatio = 1.25;

/** The minimum share of the rate for transfers, so that a rollout completes even on a busy VM. */
export const minShare = 1 / 16;

/** The increase of the share per interval while calls are not slowed down; from one half to the full rate takes ten intervals. */
const shareIncrement = 0.05;

/** The interval between adjustments, in milliseconds. */
const adjustIntervalMs = 500;

/** The weight of a new sample in the exponentially weighted moving averages. */
const smoothingFactor = 0.2;

/** The age from which the last latency sample is ignored, in milliseconds. */
const maxLatencyAgeMs = 3000;

/**
 * Returns the next share of the rate for transfers: additive increase, multiplicative decrease.
 *
 * @param share - the current share
 * @param currentMs - the latency of live calls during transfers, or undefined without recent calls
 * @param baselineMs - their latency without transfers, or undefined when it was never measured
 */
export function nextShare(share: number, currentMs: number | undefined, baselineMs: number | undefined): number {
	const slowedDown = currentMs !== undefined && baselineMs !== undefined && currentMs > baselineMs * slowdownRatio;
	return slowedDown ? Math.max(minShare, share / 2) : Math.min(1, share + shareIncrement);
}

/** Dependencies of a transfer throttle. */
export type TransferThrottleOptions = {
	readonly pacers: readonly TransferPacer[];
	/** Returns whether chunks are being sent or received. */
	readonly isTransferring: () => boolean;
};

/** Measures the latency of live calls and adjusts the rate share of the transfer pacers. */
export class TransferThrottle {
	private idleLatencyMs: number | undefined;
	private smoothedLoadedMs: number | undefined;
	private lastCallAtMs = Number.NEGATIVE_INFINITY;
	private timer: NodeJS.Timeout | undefined;

	constructor(private readonly options: TransferThrottleOptions) {}

	/** The average latency of live calls during transfers, in milliseconds, or undefined without recent calls. */
	get loadedLatencyMs(): number | undefined {
		return performance.now() - this.lastCallAtMs < maxLatencyAgeMs ? this.smoothedLoadedMs : undefined;
	}

	/** Starts to adjust the share periodically. */
	start(): void {
		this.timer = setInterval(() => {
			this.adjustShare();
		}, adjustIntervalMs);
		this.timer.unref();
	}

	/** Stops the adjustment; the pacers keep their current share. */
	stop(): void {
		clearInterval(this.timer);
	}

	/**
	 * Records the time from now to the first byte of the response body.
	 *
	 * @param res - the response to a live call, with nothing written yet
	 */
	measureTimeToFirstByte(res: http.ServerResponse): void {
		const startedAtMs = performance.now();
		const write = res.write.bind(res) as (...args: unknown[]) => boolean;
		res.write = (...args: unknown[]) => {
			res.write = write;
			this.recordLatency(performance.now() - startedAtMs);
			return write(...args);
		};
	}

	/**
	 * Adds the latency of one call to the average.
	 *
	 * @param ms - the latency in milliseconds
	 */
	recordLatency(ms: number): void {
		this.lastCallAtMs = performance.now();
		if (this.options.isTransferring()) {
			this.smoothedLoadedMs = smooth(this.smoothedLoadedMs, ms);
		} else {
			this.idleLatencyMs = smooth(this.idleLatencyMs, ms);
			this.smoothedLoadedMs = undefined;
		}
	}

	/** Adjusts the share of all pacers once. */
	adjustShare(): void {
		for (const pacer of this.options.pacers) {
			pacer.share = nextShare(pacer.share, this.loadedLatencyMs, this.idleLatencyMs);
		}
	}
}

function smooth(previousMs: number | undefined, ms: number): number {
	return previousMs === undefined ? ms : previousMs + (smoothingFactor * (ms - previousMs));
}
