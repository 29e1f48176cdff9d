/** Metrics of rollouts at an agent: for each version, held and needed chunks and the bytes read from the origin. */
import type {VersionProgress} from '../rollout/rollout-manager.ts';
import type {Metrics, MetricSample} from './metrics.ts';

/**
 * Adds the rollout metrics of an agent.
 *
 * @param metrics - the registry that the metrics are added to
 * @param read - returns the progress of each published version
 */
export function addRolloutMetrics(metrics: Metrics, read: () => readonly VersionProgress[]): void {
	const labelNames = ['model', 'version'];
	const readSamples = (value: (progress: VersionProgress) => number) => (): MetricSample[] => read().map(progress => ({
		labels: {model: progress.model, version: progress.version}, value: value(progress),
	}));
	metrics.labelledGauge('cactusreach_rollout_held_chunks', 'Verified chunks of a version.', labelNames, readSamples(({held}) => held));
	metrics.labelledGauge('cactusreach_rollout_needed_chunks', 'All chunks of a version.', labelNames, readSamples(({total}) => total));
	metrics.labelledGauge('cactusreach_rollout_origin_bytes', 'Bytes of a version that this VM read from the origin.', labelNames, readSamples(({originBytes}) => originBytes));
}
