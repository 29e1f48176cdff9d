/** Metrics that every process has: memory, processor time and delay of the event loop. */
import {monitorEventLoopDelay} from 'node:perf_hooks';
import process from 'node:process';
import type {Metrics} from './metrics.ts';

/** How often the delay is sampled, in milliseconds; each sample wakes the process. */
const sampleIntervalMs = 100;

const nanosPerMilli = 1_000_000;
const microsPerSecond = 1_000_000;

/** Measures this process. */
export class ProcessMetrics {
	private readonly delay = monitorEventLoopDelay({resolution: sampleIntervalMs});

	/** @param metrics - the process's metrics */
	constructor(metrics: Metrics) {
		this.delay.enable();
		metrics.gauge('cactusreach_resident_bytes', 'Resident memory of the process.', () => process.memoryUsage.rss());
		metrics.gauge('cactusreach_processor_seconds_total', 'Processor time that the process used.', () => {
			const {user, system} = process.cpuUsage();
			return (user + system) / microsPerSecond;
		});
		metrics.labelledGauge('cactusreach_event_loop_delay_ms', 'How late timers ran since the metric was last read.', ['quantile'], () => this.readDelay());
	}

	/** Stops the samples. */
	stop(): void {
		this.delay.disable();
	}

	private readDelay(): Array<{labels: {quantile: string}; value: number}> {
		// A sample holds the whole time between two timers, of which the interval itself is no delay.
		const readings = [50, 99, 100].map(percentile => ({
			labels: {quantile: String(percentile / 100)},
			value: Math.max(0, (this.delay.percentile(percentile) / nanosPerMilli) - sampleIntervalMs),
		}));
		this.delay.reset();
		return readings;
	}
}
