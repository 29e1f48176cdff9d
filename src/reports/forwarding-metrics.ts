/** Metrics of forwarded calls: count by kind of route and outcome, and latency by kind of route. */
import type {RouteKind} from '../directory/directory-types.ts';
import type {ServiceId} from '../ids/service-id.ts';
import type {CallPhase} from '../forwarding/call-boundary.ts';
import type {LatencyRecorder, Metrics} from './metrics.ts';

/** Counts the outcomes of forwarded calls and records their latencies. */
export class ForwardingMetrics {
	private readonly incrementOutcome: (outcome: string) => void;
	private readonly incrementCrashes: (service: string) => void;
	private readonly incrementFaults: (phase: string) => void;
	private readonly latencies: Readonly<Record<RouteKind, LatencyRecorder>>;

	/** @param metrics - the registry that the metrics are added to */
	constructor(metrics: Metrics) {
		this.incrementOutcome = metrics.counter('cactusreach_forwarded_calls_total', 'Forwarded calls by kind and end.', 'outcome');
		this.incrementCrashes = metrics.counter('cactusreach_upstream_crashes_total', 'Crashes of upstreams that broke off calls of this process.', 'service');
		this.incrementFaults = metrics.counter('cactusreach_call_faults_total', 'Exceptions in the code of calls, each of which ended one call.', 'phase');
		this.latencies = {
			idempotent: metrics.latencyQuantiles('cactusreach_idempotent_call_ms', 'Time of idempotent calls from their headers to the end of their answer.'),
			once: metrics.latencyQuantiles('cactusreach_once_call_ms', 'Time of calls that run once from their headers to the end of their answer.'),
			stream: metrics.latencyQuantiles('cactusreach_stream_call_ms', 'Time of streams from their headers to the end of their answer.'),
		};
	}

	/**
	 * Records a call that ended.
	 *
	 * @param kind - the kind of its route; undefined if no route matched
	 * @param ms - the duration of the call, in milliseconds
	 */
	recordOutcome(kind: RouteKind | undefined, outcome: string, ms: number): void {
		this.incrementOutcome(`${kind ?? 'none'}_${outcome}`);
		if (kind) {
			this.latencies[kind].record(ms);
		}
	}

	/** Records an exception in the code of a call. */
	recordFault(phase: CallPhase): void {
		this.incrementFaults(phase);
	}

	/**
	 * Records a crash of an upstream.
	 *
	 * @param service - the service that the upstream ran
	 */
	recordCrash(service: ServiceId): void {
		this.incrementCrashes(service);
	}
}
