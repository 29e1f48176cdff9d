/** Metrics of a process in the Prometheus format: HDR histograms for latencies, and gauges that are read on each scrape. */
import {build as buildHistogram, type Histogram} from 'hdr-histogram-js';
import {
	Counter, Gauge, Histogram as BucketHistogram, Registry,
} from 'prom-client';

const microsPerMilli = 1000;

/** The highest latency that a histogram distinguishes, in microseconds; higher ones are recorded as this value. */
const maxLatencyMicros = 120_000_000;

const quantiles = [0.5, 0.95, 0.99];

/** Upper bounds of the buckets of latency histograms, in milliseconds. */
const latencyBucketsMs = [5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10_000, 30_000];

/** The value of all labels of samples beyond the bound of a metric. */
const otherLabel = 'other';

/** Label values, by the name of the label. */
type Labels<Name extends string> = Readonly<Record<Name, string>>;

/** One value of a labelled gauge. */
export type MetricSample = {readonly labels: Readonly<Record<string, string>>; readonly value: number};

/** The metrics registry of a process. */
export class Metrics {
	private readonly registry = new Registry();

	/** The content type of {@link text}. */
	get contentType(): string {
		return this.registry.contentType;
	}

	/**
	 * Adds a gauge whose value is read on each scrape.
	 *
	 * @param name - the metric's name with its unit
	 * @param help - one sentence
	 * @param read - returns the current value
	 */
	gauge(name: string, help: string, read: () => number): void {
		const gauge = new Gauge({
			name, help, registers: [this.registry], collect() {
				gauge.set(read());
			},
		});
	}

	/**
	 * Adds a gauge with labels whose samples are read on each scrape.
	 *
	 * @param name - the metric's name with its unit
	 * @param help - one sentence
	 * @param labelNames - the names of the labels, which every sample sets
	 * @param read - returns all samples; a label combination that it no longer returns disappears
	 */
	labelledGauge(name: string, help: string, labelNames: readonly string[], read: () => readonly MetricSample[]): void {
		const gauge = new Gauge({
			name, help, labelNames, registers: [this.registry], collect() {
				gauge.reset();
				for (const {labels, value} of read()) {
					gauge.set(labels, value);
				}
			},
		});
	}

	/**
	 * Adds a counter with one label.
	 *
	 * @param name - the metric's name, ending in `_total`
	 * @param help - one sentence
	 * @param label - the name of the label
	 * @returns a function that increments the counter for a value of the label
	 */
	counter(name: string, help: string, label: string): (labelValue: string) => void {
		const counter = new Counter({
			name, help, labelNames: [label], registers: [this.registry],
		});
		return labelValue => {
			counter.inc({[label]: labelValue});
		};
	}

	/**
	 * Adds a counter with several labels.
	 *
	 * @param name - the metric's name, ending in `_total`
	 * @param help - one sentence
	 * @param labelNames - the names of the labels
	 * @param maxSeries - how many combinations of label values are told apart; further ones are counted as `other`
	 * @returns a function that increments the counter for a combination
	 */
	labelledCounter<Name extends string>(name: string, help: string, labelNames: readonly Name[], maxSeries: number): (labels: Labels<Name>) => void {
		const counter = new Counter<Name>({
			name, help, labelNames, registers: [this.registry],
		});
		const bound = createSeriesBound(labelNames, maxSeries);
		return labels => {
			counter.inc(bound(labels));
		};
	}

	/**
	 * Adds a histogram of latencies in milliseconds with several labels.
	 *
	 * @param name - the metric's name, ending in `_ms`
	 * @param help - one sentence
	 * @param labelNames - the names of the labels
	 * @param maxSeries - how many combinations of label values are told apart; further ones are counted as `other`
	 * @returns a function that records a latency for a combination
	 */
	latencyHistogram<Name extends string>(name: string, help: string, labelNames: readonly Name[], maxSeries: number): (labels: Labels<Name>, ms: number) => void {
		const histogram = new BucketHistogram<Name>({
			name, help, labelNames, buckets: latencyBucketsMs, registers: [this.registry],
		});
		const bound = createSeriesBound(labelNames, maxSeries);
		return (labels, ms) => {
			histogram.observe(bound(labels), ms);
		};
	}

	/**
	 * Adds a latency metric: a gauge in milliseconds with the label `quantile`, computed from a histogram.
	 *
	 * @param name - the metric's name, ending in `_ms`
	 * @param help - one sentence
	 */
	latencyQuantiles(name: string, help: string): LatencyRecorder {
		const recorder = new LatencyRecorder();
		const gauge = new Gauge({
			name, help, labelNames: ['quantile'], registers: [this.registry], collect() {
				for (const quantile of quantiles) {
					gauge.set({quantile: String(quantile)}, recorder.quantileMs(quantile));
				}
			},
		});
		return recorder;
	}

	/** Returns all metrics in the Prometheus text format. */
	async text(): Promise<string> {
		return this.registry.metrics();
	}
}

/** Records latencies in an HDR histogram with microsecond resolution. */
export class LatencyRecorder {
	private readonly histogram: Histogram = buildHistogram({lowestDiscernibleValue: 1, highestTrackableValue: maxLatencyMicros, numberOfSignificantValueDigits: 3});

	/** The number of recorded latencies. */
	get count(): number {
		return this.histogram.totalCount;
	}

	/** Records a latency, in milliseconds. */
	record(ms: number): void {
		this.histogram.recordValue(Math.min(Math.max(1, Math.round(ms * microsPerMilli)), maxLatencyMicros));
	}

	/**
	 * Returns a quantile of the recorded latencies, in milliseconds.
	 *
	 * @param quantile - from 0 to 1
	 */
	quantileMs(quantile: number): number {
		return this.histogram.getValueAtPercentile(quantile * 100) / microsPerMilli;
	}
}

/** Returns a function that keeps the first combinations of label values and replaces the values of further ones. */
function createSeriesBound<Name extends string>(labelNames: readonly Name[], maxSeries: number): (labels: Labels<Name>) => Labels<Name> {
	const known = new Set<string>();
	const others = Object.fromEntries(labelNames.map(name => [name, otherLabel])) as Labels<Name>;
	return labels => {
		const key = JSON.stringify(labelNames.map(name => labels[name]));
		if (!known.has(key)) {
			if (known.size >= maxSeries) {
				return others;
			}

			known.add(key);
		}

		return labels;
	};
}
