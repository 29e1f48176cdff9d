/** Metrics of rollouts at an agent: held and needed chunks of each version. */
import type {VersionProgress} from '../rollout/rollout-manager.ts';
import type {Metrics, MetricSample} from './metrics.ts';

/**
 * Adds the metrics.
 *
 * @param metrics - the process's metrics
 * @param read - returns the progress of each published version
 */
export function addRolloutMetrics(metrics: Metrics, read: () => readonly VersionProgress[]): void {
	const labelNames = ['model', 'version'];
	const readAs = (value: (progress: VersionProgress) => number) => (): MetricSample[] => read().map(progress => ({
		labels: {model: progress.model, version: progress.version}, value: value(progress),
	}));
	metrics.labelledGauge('cactusreach_rollout_held_chunks', 'Verified chunks of a version.', labelNames, readAs(({held}) => held));
	metrics.labelledGauge('cactusreach_rollout_needed_chunks', 'All chunks of a version.', labelNames, readAs(({total}) => total));
	metrics.labelledGauge('cactusreach_rollout_origin_bytes', 'Bytes of a version that this VM read from the origin.', labelNames, readAs(({originBytes}) => originBytes));
}
