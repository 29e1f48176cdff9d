/** Metrics of a process: latencies in HDR histograms, everything else read when asked. */
import {build as buildHistogram, type Histogram} from 'hdr-histogram-js';
import {Counter, Gauge, Registry} from 'prom-client';

const microsPerMilli = 1000;

/** The longest latency that is told apart, in microseconds. */
const highestMicros = 120_000_000;

const quantiles = [0.5, 0.95, 0.99];

/** One value with its labels. */
export type MetricSample = {readonly labels: Readonly<Record<string, string>>; readonly value: number};

/** Collects metrics. */
export class Metrics {
	private readonly registry = new Registry();

	/** The content type of {@link text}. */
	get contentType(): string {
		return this.registry.contentType;
	}

	/**
	 * Adds a value that is read whenever metrics are asked for.
	 *
	 * @param name - the metric's name with its unit
	 * @param help - one sentence
	 * @param read - returns the value
	 */
	gauge(name: string, help: string, read: () => number): void {
		const gauge = new Gauge({
			name, help, registers: [this.registry], collect() {
				gauge.set(read());
			},
		});
	}

	/**
	 * Adds values with labels that are read whenever metrics are asked for.
	 *
	 * @param name - the metric's name with its unit
	 * @param help - one sentence
	 * @param labelNames - the labels that every reading has
	 * @param read - returns all readings
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
	 * Adds a count that only grows.
	 *
	 * @param name - the metric's name, ending in `_total`
	 * @param help - one sentence
	 * @param label - the label that tells the counted kinds apart
	 * @returns counts one of a kind
	 */
	counter(name: string, help: string, label: string): (kind: string) => void {
		const counter = new Counter({
			name, help, labelNames: [label], registers: [this.registry],
		});
		return kind => {
			counter.inc({[label]: kind});
		};
	}

	/**
	 * Adds a latency histogram.
	 *
	 * @param name - the metric's name; `_ms` is the unit
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

/** Records latencies. */
export class LatencyRecorder {
	private readonly histogram: Histogram = buildHistogram({lowestDiscernibleValue: 1, highestTrackableValue: highestMicros, numberOfSignificantValueDigits: 3});

	/** How many latencies were recorded. */
	get count(): number {
		return this.histogram.totalCount;
	}

	/**
	 * Records a latency.
	 *
	 * @param ms - milliseconds
	 */
	record(ms: number): void {
		this.histogram.recordValue(Math.min(Math.max(1, Math.round(ms * microsPerMilli)), highestMicros));
	}

	/**
	 * Returns a quantile in milliseconds.
	 *
	 * @param quantile - from 0 to 1
	 */
	quantileMs(quantile: number): number {
		return this.histogram.getValueAtPercentile(quantile * 100) / microsPerMilli;
	}
}
