/** Metrics of a process in the Prometheus format: HDR histograms for latencies, and gauges that are read on each scrape. */
import {build as buildHistogram, type Histogram} from 'hdr-histogram-js';
import {Counter, Gauge, Registry} from 'prom-client';

const microsPerMilli = 1000;

/** The highest latency that a histogram distinguishes, in microseconds; higher ones are recorded as this value. */
const maxLatencyMicros = 120_000_000;

const quantiles = [0.5, 0.95, 0.99];

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
