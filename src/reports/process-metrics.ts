/** Metrics of every process: resident memory, CPU time and event loop delay. */
import {monitorEventLoopDelay} from 'node:perf_hooks';
import process from 'node:process';
import type {Metrics} from './metrics.ts';

/** The interval between two samples of the event loop delay, in milliseconds. Each sample wakes up the process. */
const sampleIntervalMs = 100;

const nanosPerMilli = 1_000_000;
const microsPerSecond = 1_000_000;

/**
 * Adds the memory and processor time of this process to a registry; they are read on each scrape only.
 *
 * @param metrics - the registry
 */
export function addResourceMetrics(metrics: Metrics): void {
	metrics.gauge('cactusreach_resident_bytes', 'Resident memory of the process.', () => process.memoryUsage.rss());
	metrics.gauge('cactusreach_processor_seconds_total', 'Processor time that the process used.', () => {
		const {user, system} = process.cpuUsage();
		return (user + system) / microsPerSecond;
	});
}

/** Measures the event loop delay, and adds the metrics of this process to a registry. */
export class ProcessMetrics {
	private readonly eventLoopDelay = monitorEventLoopDelay({resolution: sampleIntervalMs});

	/** @param metrics - the registry that the metrics are added to */
	constructor(metrics: Metrics) {
		this.eventLoopDelay.enable();
		addResourceMetrics(metrics);
		metrics.labelledGauge('cactusreach_event_loop_delay_ms', 'How late timers ran since the metric was last read.', ['quantile'], () => this.readDelay());
	}

	/** Stops sampling the event loop delay. */
	stop(): void {
		this.eventLoopDelay.disable();
	}

	private readDelay(): Array<{labels: {quantile: string}; value: number}> {
		// A sample is the whole time between two runs of the sampling timer, so the interval is subtracted.
		const samples = [50, 99, 100].map(percentile => ({
			labels: {quantile: String(percentile / 100)},
			value: Math.max(0, (this.eventLoopDelay.percentile(percentile) / nanosPerMilli) - sampleIntervalMs),
		}));
		this.eventLoopDelay.reset();
		return samples;
	}
}
