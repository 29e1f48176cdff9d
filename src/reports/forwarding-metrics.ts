/** Metrics of forwarded calls: how they ended, how long they took, silences of upstreams, crashes and faults. */
import type {RouteKind} from '../directory/directory-types.ts';
import type {ServiceId} from '../ids/service-id.ts';
import type {CallPhase} from '../forwarding/call-boundary.ts';
import type {CallEnd} from '../forwarding/call-forwarder.ts';
import type {LatencyRecorder, Metrics} from './metrics.ts';

/** How many combinations of labels a metric has at most: services are published, and reasons hold codes of the system. */
const maxSeries = {
	ends: 500, latencies: 200, silences: 100, hedges: 200,
};

/** What a reason may consist of; it excludes addresses and texts of errors. */
const reasonPattern = /^[\w ]{1,40}$/;

/** The value of a label that does not apply. */
const noLabel = 'none';

/** Counts and measures forwarded calls. */
export class ForwardingMetrics {
	private readonly countEnd: (labels: Readonly<Record<'service' | 'kind' | 'outcome' | 'reason', string>>) => void;
	private readonly observeMs: (labels: Readonly<Record<'service' | 'kind' | 'outcome', string>>, ms: number) => void;
	private readonly countSilence: (labels: Readonly<Record<'service' | 'result', string>>) => void;
	private readonly countHedge: (labels: Readonly<Record<'service' | 'result', string>>) => void;
	private readonly incrementCrashes: (service: string) => void;
	private readonly incrementFaults: (phase: string) => void;
	private readonly latencies: Readonly<Record<RouteKind, LatencyRecorder>>;

	/** @param metrics - the registry that the metrics are added to */
	constructor(metrics: Metrics) {
		this.countEnd = metrics.labelledCounter('cactusreach_forwarded_calls_total', 'Forwarded calls by their end.', ['service', 'kind', 'outcome', 'reason'], maxSeries.ends);
		this.observeMs = metrics.latencyHistogram('cactusreach_call_ms', 'Time of calls from their headers to the end of their answer.', ['service', 'kind', 'outcome'], maxSeries.latencies);
		this.countSilence = metrics.labelledCounter('cactusreach_silent_sends_total', 'Silences of upstreams by what was done about them.', ['service', 'result'], maxSeries.silences);
		this.countHedge = metrics.labelledCounter('cactusreach_late_sends_total', 'Late calls by what was done about them, and second attempts by how they ended.', ['service', 'result'], maxSeries.hedges);
		this.incrementCrashes = metrics.counter('cactusreach_upstream_crashes_total', 'Crashes of upstreams that broke off calls of this process.', 'service');
		this.incrementFaults = metrics.counter('cactusreach_call_faults_total', 'Exceptions in the code of calls, each of which ended one call.', 'phase');
		this.latencies = {
			idempotent: metrics.latencyQuantiles('cactusreach_idempotent_call_ms', 'Time of idempotent calls from their headers to the end of their answer.'),
			once: metrics.latencyQuantiles('cactusreach_once_call_ms', 'Time of calls that run once from their headers to the end of their answer.'),
			stream: metrics.latencyQuantiles('cactusreach_stream_call_ms', 'Time of streams from their headers to the end of their answer.'),
		};
	}

	/** Records a call that ended. */
	recordEnd({kind, service = noLabel, outcome, reason, ms}: Omit<CallEnd, 'service'> & {readonly service: string | undefined}): void {
		const labels = {service, kind: kind ?? noLabel, outcome};
		this.countEnd({...labels, reason: boundReason(reason)});
		if (kind) {
			this.observeMs(labels, ms);
			this.latencies[kind].record(ms);
		}
	}

	/**
	 * Records that an upstream sent nothing for too long.
	 *
	 * @param result - what was done about it
	 */
	recordSilence(service: ServiceId, result: string): void {
		this.countSilence({service, result: boundReason(result)});
	}

	/**
	 * Records what was done about a late call, or how its second attempt ended.
	 *
	 * @param result - `sent`, `won`, `cancelled`, or why no second attempt was made
	 */
	recordHedge(service: ServiceId, result: string): void {
		this.countHedge({service, result: boundReason(result)});
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

function boundReason(reason: string | undefined): string {
	return reason === undefined ? noLabel : (reasonPattern.test(reason) ? reason : 'other');
}
