/**
 * Recent times to the first byte by class of call, as decaying histograms. Bounded in memory, and without a clock of its own.
 *
 * Times are recorded as multiples of what was expected, so that a busy service with a long forecast does not count as slow.
 */

/** Lower bound of the first bucket, and the ratio of the bounds of a bucket. */
const firstBound = 0.05;
const bucketGrowth = 1.15;

/** Number of buckets; the last one begins above 50,000, which covers times in milliseconds. */
const bucketCount = 101;

/** Maximum number of classes; the least recently used ones are dropped first. */
const maxClasses = 256;

/** The time after which a value counts half, in milliseconds; long enough for a class that has a call per second. */
const halfLifeMs = 120_000;

/** How often that is applied, in milliseconds. */
const decayIntervalMs = 1000;

/** Weight of a class at which all its values are halved, so that a class with many calls follows a change within seconds. */
const maxWeight = 512;

/** Decayed number of values below which a class says too little about its slowest calls. */
const minWeight = 30;

/** Share of the calls that count as slow. */
const slowShare = 0.03;

/** The usual value of a class, and the one that only its slowest calls exceed. */
export type LatencyQuantiles = {readonly usual: number; readonly slow: number};

type Histogram = {readonly weights: Float32Array; total: number; decayedAtMs: number};

/** Holds one histogram for each class of calls. */
export class LatencyHistory {
	private readonly histograms = new Map<string, Histogram>();

	/** Number of classes that are remembered. */
	get size(): number {
		return this.histograms.size;
	}

	/**
	 * Records a value.
	 *
	 * @param key - the class of the call
	 * @param value - the measured time, or its ratio to the forecast
	 * @param nowMs - the time, in milliseconds of the monotonic clock
	 */
	record(key: string, value: number, nowMs: number): void {
		const histogram = this.histograms.get(key) ?? {weights: new Float32Array(bucketCount), total: 0, decayedAtMs: nowMs};
		this.histograms.delete(key);
		this.histograms.set(key, histogram);
		if (this.histograms.size > maxClasses) {
			this.histograms.delete(this.histograms.keys().next().value!);
		}

		decay(histogram, nowMs);
		const bucket = findBucket(value);
		histogram.weights[bucket] = histogram.weights[bucket]! + 1;
		histogram.total++;
		if (histogram.total >= maxWeight) {
			scale(histogram, 0.5);
		}
	}

	/**
	 * Returns the quantiles of a class; undefined if too little is known of it.
	 *
	 * @param key - the class of the call
	 * @param nowMs - the time, in milliseconds of the monotonic clock
	 */
	quantilesOf(key: string, nowMs: number): LatencyQuantiles | undefined {
		const histogram = this.histograms.get(key);
		if (!histogram) {
			return undefined;
		}

		decay(histogram, nowMs);
		return histogram.total < minWeight ? undefined : {usual: findQuantile(histogram, 0.5), slow: findQuantile(histogram, 1 - slowShare)};
	}
}

/**
 * Returns the size class of a call: sizes within a factor of 2 are of one class.
 *
 * @param promptTokens - number of tokens in the prompt; 0 if unknown
 */
export function findSizeClass(promptTokens: number): number {
	return promptTokens > 0 ? Math.floor(Math.log2(promptTokens)) : 0;
}

function findBucket(value: number): number {
	const bucket = Math.ceil(Math.log(Math.max(value, firstBound) / firstBound) / Math.log(bucketGrowth));
	return Math.min(bucketCount - 1, bucket);
}

/** Returns the upper bound of the bucket that contains the quantile. */
function findQuantile({weights, total}: Histogram, share: number): number {
	let sum = 0;
	const bucket = weights.findIndex(weight => {
		sum += weight;
		return sum >= total * share;
	});
	return firstBound * (bucketGrowth ** (bucket === -1 ? bucketCount - 1 : bucket));
}

function decay(histogram: Histogram, nowMs: number): void {
	const elapsedMs = nowMs - histogram.decayedAtMs;
	if (elapsedMs < decayIntervalMs) {
		return;
	}

	histogram.decayedAtMs = nowMs;
	scale(histogram, 0.5 ** (elapsedMs / halfLifeMs));
}

function scale(histogram: Histogram, factor: number): void {
	histogram.total = 0;
	for (let bucket = 0; bucket < bucketCount; bucket++) {
		const weight = histogram.weights[bucket]! * factor;
		histogram.weights[bucket] = weight;
		histogram.total += weight;
	}
}
