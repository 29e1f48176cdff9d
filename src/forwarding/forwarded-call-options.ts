/** What a forwarded call is given by its forwarder. */
import type {KeyHolder, Route} from '../directory/directory-types.ts';
import type {RegionId} from '../ids/region-id.ts';
import type {ServiceId} from '../ids/service-id.ts';
import type {CrashDetector} from '../quarantine/crash-detector.ts';
import type {PromptQuarantine} from '../quarantine/prompt-quarantine.ts';
import type {ListeningClock} from '../runtime/pause-detector.ts';
import type {BodiesInFlight} from '../limits/bodies-in-flight.ts';
import type {Logger} from '../runtime/logger.ts';
import type {InstanceQuery, SelectedInstance} from '../placement/instance-query.ts';
import type {InstanceTracker} from '../placement/instance-tracker.ts';
import type {Placement} from '../placement/select-instance.ts';
import type {ResponseBuffers} from '../limits/response-buffers.ts';
import type {CallBoundary} from './call-boundary.ts';
import type {ReceivedCall} from './received-call.ts';
import type {ResponseWriter} from './response-writer.ts';
import type {ServiceHedging} from './service-hedging.ts';
import type {WindowedRetryBudget} from './windowed-retry-budget.ts';
import type {WireCodec} from './wire-codec.ts';

/** The call, its route and the functions supplied by the forwarder. */
export type ForwardedCallOptions = {
	readonly call: ReceivedCall;
	/** Runs each step of the call. */
	readonly boundary: CallBoundary;
	readonly route: Route;
	/** The version of the configuration that gave the route. */
	readonly configurationVersion: number;
	readonly service: ServiceId;
	readonly holder: KeyHolder | undefined;
	/** As in {@link InstanceQuery}. */
	readonly permittedRegions: readonly RegionId[] | undefined;
	/** As in {@link InstanceQuery}, at the time when the call was received. */
	readonly aimLeftMs: number;
	readonly writer: ResponseWriter;
	readonly codec: WireCodec;
	readonly tracker: InstanceTracker;
	readonly buffers: ResponseBuffers;
	/** The bodies that instances hold. */
	readonly bodiesInFlight: BodiesInFlight;
	readonly clock: ListeningClock;
	readonly crashes: CrashDetector;
	readonly quarantine: PromptQuarantine;
	readonly log: Logger;
	readonly selectInstance: (query: Omit<InstanceQuery, 'isReturning'>) => Promise<SelectedInstance | Exclude<Placement, {kind: 'place'}>>;
	/** The retries of the service. */
	readonly retryBudget: WindowedRetryBudget;
	/** Decides on second attempts of late calls of the service. */
	readonly hedging: ServiceHedging;
	/** Called when an instance has sent nothing for too long, with what was done about it. */
	readonly onSilence?: (result: string) => void;
	/** Called when a call is late, with what was done about it, and when one of two attempts of a late call answers. */
	readonly onHedge?: (result: string) => void;
	/** Called once when the call has ended; the reason is undefined if the outcome tells enough. */
	readonly onEnd: (outcome: string, ms: number, reason: string | undefined) => void;
};

/**
 * Returns the priority of a call: that of the workspace if it has one, else that of the route. The rest of a stream goes before all others.
 *
 * @param lastEventId - the last event that the caller got; undefined if it got none
 */
export function callPriority({holder, route}: Pick<ForwardedCallOptions, 'holder' | 'route'>, lastEventId: string | undefined): number {
	return lastEventId === undefined ? (holder?.priority ?? route.priority) : 0;
}
