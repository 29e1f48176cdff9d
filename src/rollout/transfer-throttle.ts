/** Transfers yield to live calls on the same link. */
import type http from 'node:http';
import type {TransferPacer} from './transfer-pacer.ts';

/** Live latency over idle latency from which transfers slow down. */
export const slowdownRatio = 1.25;

/** The share that transfers keep, so that a rollout ends even on a busy VM. */
export const minShare = 1 / 16;

/** How much the share grows per step without disturbance; from a half to all takes ten steps. */
const shareIncrement = 0.05;

/** Time between two steps, in milliseconds. */
const adjustIntervalMs = 500;

/** Weight of a new latency in the running means. */
const smoothingFactor = 0.2;

/** A latency older than this says nothing of now, in milliseconds. */
const maxLatencyAgeMs = 3000;

/**
 * Decides the share of the rate that transfers may use next.
 *
 * @param share - the share now
 * @param currentMs - latency of live calls now, or undefined without recent calls
 * @param baselineMs - their latency without transfers, or undefined when it was never seen
 */
export function nextShare(share: number, currentMs: number | undefined, baselineMs: number | undefined): number {
	const slowedDown = currentMs !== undefined && baselineMs !== undefined && currentMs > baselineMs * slowdownRatio;
	return slowedDown ? Math.max(minShare, share / 2) : Math.min(1, share + shareIncrement);
}

/** What the yield works with. */
export type TransferThrottleOptions = {
	readonly pacers: readonly TransferPacer[];
	/** Whether chunks are sent or received now. */
	readonly isTransferring: () => boolean;
};

/** Measures live calls and sets the pacers' share. */
export class TransferThrottle {
	private idleLatencyMs: number | undefined;
	private smoothedLoadedMs: number | undefined;
	private lastCallAtMs = Number.NEGATIVE_INFINITY;
	private timer: NodeJS.Timeout | undefined;

	/** @param options - what the yield works with */
	constructor(private readonly options: TransferThrottleOptions) {}

	/**
	 * Returns the latency of live calls while chunks move, in milliseconds, or undefined without recent calls.
	 */
	get loadedLatencyMs(): number | undefined {
		return performance.now() - this.lastCallAtMs < maxLatencyAgeMs ? this.smoothedLoadedMs : undefined;
	}

	/** Starts to adapt the share. */
	start(): void {
		this.timer = setInterval(() => {
			this.adjustShare();
		}, adjustIntervalMs);
		this.timer.unref();
	}

	/** Stops adapting. */
	stop(): void {
		clearInterval(this.timer);
	}

	/**
	 * Measures the time to the first byte of a call's answer.
	 *
	 * @param res - the answer, with nothing written yet
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
	 * Takes the latency of one call.
	 *
	 * @param ms - milliseconds
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

	/** Decides the share once. */
	adjustShare(): void {
		for (const pacer of this.options.pacers) {
			pacer.share = nextShare(pacer.share, this.loadedLatencyMs, this.idleLatencyMs);
		}
	}
}

function smooth(previousMs: number | undefined, ms: number): number {
	return previousMs === undefined ? ms : previousMs + (smoothingFactor * (ms - previousMs));
}
