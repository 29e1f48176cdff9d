/** Metrics of forwarded calls: ends by outcome and latencies by kind. */
import type {RouteKind} from '../directory/directory-types.ts';
import type {LatencyRecorder, Metrics} from './metrics.ts';

/** Records the ends of calls. */
export class ForwardingMetrics {
	private readonly countEnd: (outcome: string) => void;
	private readonly latencies: Readonly<Record<RouteKind, LatencyRecorder>>;

	/** @param metrics - the process's metrics */
	constructor(metrics: Metrics) {
		this.countEnd = metrics.counter('cactusreach_forwarded_calls_total', 'Forwarded calls by kind and end.', 'outcome');
		this.latencies = {
			idempotent: metrics.latencyQuantiles('cactusreach_idempotent_call_ms', 'Time of idempotent calls from their headers to the end of their answer.'),
			once: metrics.latencyQuantiles('cactusreach_once_call_ms', 'Time of calls that run once from their headers to the end of their answer.'),
			stream: metrics.latencyQuantiles('cactusreach_stream_call_ms', 'Time of streams from their headers to the end of their answer.'),
		};
	}

	/**
	 * Counts a call.
	 *
	 * @param kind - the kind of its route; undefined when it had none
	 * @param outcome - how it ended
	 * @param ms - how long it took, in milliseconds
	 */
	recordOutcome(kind: RouteKind | undefined, outcome: string, ms: number): void {
		this.countEnd(`${kind ?? 'none'}_${outcome}`);
		if (kind) {
			this.latencies[kind].record(ms);
		}
	}
}
