/** Accepts calls from callers, resolves their route and API key, and starts forwarding them to upstreams. */
import type {Directory} from '../directory/directory.ts';
import type {KeyHolder, Route, RouteKind} from '../directory/directory-types.ts';
import type {RegionId} from '../ids/region-id.ts';
import type {ServiceId} from '../ids/service-id.ts';
import type {CrashDetector} from '../quarantine/crash-detector.ts';
import type {PromptQuarantine} from '../quarantine/prompt-quarantine.ts';
import type {ListeningClock} from '../runtime/pause-detector.ts';
import {BodiesInFlight} from '../limits/bodies-in-flight.ts';
import type {Logger} from '../runtime/logger.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import {findPermittedRegions, type HomeRegions} from '../placement/home-regions.ts';
import type {InstanceQuery} from '../placement/instance-query.ts';
import {InstanceSelector} from '../placement/instance-selector.ts';
import type {InstanceTracker} from '../placement/instance-tracker.ts';
import type {LoadSource} from '../placement/load-source.ts';
import {VersionExpiry} from '../placement/version-expiry.ts';
import {ResponseBuffers} from '../limits/response-buffers.ts';
import type {CallBoundary} from './call-boundary.ts';
import type {ResponseWriter} from './response-writer.ts';
import {ForwardedCall} from './forwarded-call.ts';
import type {ReceivedCall} from './received-call.ts';
import {type RetryBudgetOptions, WindowedRetryBudget} from './windowed-retry-budget.ts';
import type {RouteTable} from './route-table.ts';
import {DeadlineHistory} from './deadline-history.ts';
import {LatencyHistory} from './latency-history.ts';
import {ServiceHedging} from './service-hedging.ts';
import type {WireCodec} from './wire-codec.ts';

/** Retry delay given to callers until a configuration has been received, in milliseconds. */
const noConfigurationRetryAfterMs = 500;

/** Dependencies and settings of a {@link CallForwarder}. */
export type CallForwarderOptions = {
	readonly directory: Directory;
	readonly codec: WireCodec;
	readonly tracker: InstanceTracker;
	/** Tells crashes of upstreams from broken connections. */
	readonly crashes: CrashDetector;
	/** Refuses calls that crash upstreams. */
	readonly quarantine: PromptQuarantine;
	/** Tells the calls that other gateways have in flight. */
	readonly loads: LoadSource;
	/** Tells at which instances calls with home regions may run. */
	readonly homes: HomeRegions;
	readonly random: RandomSource;
	readonly log: Logger;
	readonly zone: string;
	readonly retryBudget: RetryBudgetOptions;
	/** Returns the second attempts of late calls that are allowed per call of a service; none if absent. */
	readonly hedgeRatio?: () => number;
	/** How long calls may still start on an older version of a model after a newer one was announced, in milliseconds. */
	readonly versionBoundMs: number;
	/** Measures the silence of instances. */
	readonly clock: ListeningClock;
	/** Called before a call is placed, to find out that this process stood still before the timer for it has run. */
	readonly checkPause?: () => void;
	/** Returns how late a timer of this process may run now, in milliseconds. */
	readonly eventLoopDelayMs: () => number;
	/** Returns the number of gateways that share the retry budget. */
	readonly gatewayCount: () => number;
	/** Maximum size of the responses that are kept until they are complete, in bytes. */
	readonly responseBytes?: number;
	/** Maximum size of the bodies in flight to one instance, in megabytes. */
	readonly instanceBodyMb?: number;
	/** Called when an instance of a service has sent nothing for too long, with what was done about it. */
	readonly onSilence?: (service: ServiceId, result: string) => void;
	/** Called when a call of a service is late, with what was done about it, and when one of its two attempts answers. */
	readonly onHedge?: (service: ServiceId, result: string) => void;
	/** Called when a call has ended. */
	readonly onEnd: (end: CallEnd) => void;
};

/** How a call ended; `service` is undefined if it was refused at once, `kind` also if no route matched. */
export type CallEnd = {
	readonly kind: RouteKind | undefined;
	readonly service: ServiceId | undefined;
	readonly outcome: string;
	readonly reason: string | undefined;
	readonly ms: number;
};

/** Retry delay given to callers while this process shuts down, in milliseconds; short, because another gateway takes the call. */
const shutdownRetryAfterMs = 50;

/** A call that may be forwarded. */
type Admitted = {
	readonly receivedCall: ReceivedCall;
	readonly writer: ResponseWriter;
	readonly boundary: CallBoundary;
	readonly route: Route;
	readonly holder: KeyHolder | undefined;
	readonly permittedRegions: readonly RegionId[] | undefined;
};

/** What the configuration says of a refused call. */
type CallOrigin = {readonly route: Route | undefined; readonly holder: KeyHolder | undefined};

/** What limits the further attempts of the calls of one service. */
type ServiceLimits = {readonly retryBudget: WindowedRetryBudget; readonly hedging: ServiceHedging};

type Refusal = {readonly status: number; readonly reason: string; readonly retryAfterMs?: number};

const noRoute: Refusal = {status: 404, reason: 'no_route'};

/** For calls of a published route that cannot be decoded; the operators have to correct it. */
const unreadableRoute: Refusal = {status: 503, reason: 'unreadable_route', retryAfterMs: 1000};

/** For calls whose home regions are not readable or have none in common; the operators have to correct them. */
const homeRegionsRetryAfterMs = 1000;

/** Forwards calls to upstreams, with one retry budget per service. */
export class CallForwarder {
	/** The memory for responses. */
	readonly buffers: ResponseBuffers;
	/** The bodies that instances hold. */
	readonly bodiesInFlight: BodiesInFlight;
	private readonly inFlight = new Set<ForwardedCall>();
	private readonly serviceLimits = new Map<string, ServiceLimits>();
	private readonly latencies = new LatencyHistory();
	private readonly versionExpiry: VersionExpiry;
	private readonly deadlineHistory = new DeadlineHistory();
	private readonly selector: InstanceSelector;
	private isShuttingDown = false;

	/** @param options - dependencies and settings */
	constructor(private readonly options: CallForwarderOptions) {
		const {directory, tracker, loads, homes, random, zone, log} = options;
		this.buffers = new ResponseBuffers(options.responseBytes);
		this.versionExpiry = new VersionExpiry(directory, options.versionBoundMs, options.eventLoopDelayMs);
		this.bodiesInFlight = new BodiesInFlight(options.instanceBodyMb);
		this.selector = new InstanceSelector({
			directory, tracker, loads, homes, random, zone, log, versionExpiry: this.versionExpiry,
		});
		directory.onChange(() => {
			for (const call of this.inFlight) {
				call.recheckAttempts();
			}
		});
	}

	/** Refuses all further calls, because the process is shutting down. */
	refuseNewCalls(): void {
		this.isShuttingDown = true;
	}

	/** Ends the calls with prompt parts that have just been held, before they crash further upstreams. */
	endHeldCalls(): void {
		for (const call of this.inFlight) {
			call.handleHold();
		}
	}

	/** Ends all calls, because the process is about to end. */
	endOpenCalls(): void {
		for (const call of this.inFlight) {
			call.endForShutdown();
		}
	}

	/** Number of calls whose response is not complete. */
	get openCalls(): number {
		return this.inFlight.size;
	}

	/**
	 * Starts to forward a call, or refuses it.
	 *
	 * @param call - the call as received
	 * @param writer - writes the response to the caller
	 * @param boundary - runs each step of the call
	 * @returns the forwarded call; undefined if it was refused
	 */
	forward(call: ReceivedCall, writer: ResponseWriter, boundary: CallBoundary): ForwardedCall | undefined {
		const {directory} = this.options;
		const {table} = directory;
		const route = table?.findRoute(call.headers.host, call.target);
		const holder = table?.findKeyHolder(call.headers.key);
		const permittedRegions = route && findPermittedRegions(route, holder);
		const refusal = this.findRefusal(table, route, holder, call) ?? findHomeRefusal(permittedRegions, holder);
		if (refusal !== undefined || route === undefined) {
			this.sendRefusal(call, writer, {route, holder}, refusal ?? noRoute);
			return undefined;
		}

		return this.startCall({
			receivedCall: call, writer, boundary, route, holder, permittedRegions,
		});
	}

	private startCall({receivedCall, writer, boundary, route, holder, permittedRegions}: Admitted): ForwardedCall {
		const {
			codec, tracker, homes, log, random, directory,
		} = this.options;

		const service = chooseTargetService(route, random);
		const {retryBudget, hedging} = this.getLimits(service);
		retryBudget.recordCall();
		hedging.recordCall(performance.now());
		const elapsedMs = this.deadlineHistory.estimateElapsedMs(route.prefix, receivedCall.headers.deadlineMs);
		const call: ForwardedCall = new ForwardedCall({
			call: receivedCall,
			boundary,
			route,
			configurationVersion: directory.configurationVersion,
			service,
			holder: route.isPublic && !holder ? undefined : holder,
			permittedRegions,
			aimLeftMs: route.aimMs - elapsedMs,
			writer,
			codec,
			tracker,
			buffers: this.buffers,
			bodiesInFlight: this.bodiesInFlight,
			clock: this.options.clock,
			crashes: this.options.crashes,
			quarantine: this.options.quarantine,
			log,
			selectInstance: async query => {
				const selection = await this.selectInstance({...query, isReturning: elapsedMs > 0});
				if ('reason' in selection && selection.reason === 'overloaded') {
					hedging.recordRefusal(performance.now());
				}

				return selection;
			},
			retryBudget,
			hedging,
			onSilence: result => {
				this.options.onSilence?.(service, result);
			},
			onHedge: result => {
				this.options.onHedge?.(service, result);
			},
			onEnd: (outcome, ms, reason) => {
				this.inFlight.delete(call);
				homes.refusals.record(reason, route, holder, performance.now());
				this.options.onEnd({
					kind: route.kind, service, outcome, reason, ms,
				});
			},
		});
		this.inFlight.add(call);
		call.start();
		return call;
	}

	/** Selects an instance, once the evacuations are confirmed that this process knew before it stood still. */
	private async selectInstance(query: InstanceQuery): ReturnType<InstanceSelector['select']> {
		const {confirmation} = this.options.directory.evacuations;
		this.options.checkPause?.();
		if (confirmation.isPending) {
			await confirmation.wait();
		}

		return this.selector.select(query);
	}

	private findRefusal(table: RouteTable | undefined, route: Route | undefined, holder: KeyHolder | undefined, {headers}: ReceivedCall): Refusal | undefined {
		if (this.isShuttingDown) {
			return {status: 503, reason: 'leaving', retryAfterMs: shutdownRetryAfterMs};
		}

		if (!table) {
			return {status: 503, reason: 'no_configuration', retryAfterMs: noConfigurationRetryAfterMs};
		}

		if (!headers.attemptId) {
			return {status: 400, reason: 'no_attempt_id'};
		}

		if (!route) {
			return noRoute;
		}

		if (route.targets.length === 0) {
			return unreadableRoute;
		}

		return table.needsKeys && !route.isPublic && !holder ? {status: 401, reason: 'unknown_key'} : undefined;
	}

	private sendRefusal(call: ReceivedCall, writer: ResponseWriter, {route, holder}: CallOrigin, {status, reason, retryAfterMs}: Refusal): void {
		const {log, codec, directory, homes, onEnd} = this.options;
		if (route) {
			homes.refusals.record(reason, route, holder, performance.now());
		}

		log.warn({
			event: 'call_refused', id: call.headers.attemptId, status, reason, host: call.headers.host, configuration: directory.configurationVersion,
			route: route?.name, routeRegions: route?.homeRegions, workspaceRegions: holder?.homeRegions,
		}, 'call refused');
		writer.sendError(status, reason, retryAfterMs === undefined ? [] : codec.writeRefusalHeaders(retryAfterMs));
		onEnd({
			kind: route?.kind, service: undefined, outcome: 'refused_at_once', reason, ms: performance.now() - call.receivedAtMs,
		});
	}

	private getLimits(service: string): ServiceLimits {
		let limits = this.serviceLimits.get(service);
		if (!limits) {
			const {retryBudget: budgetOptions, gatewayCount, hedgeRatio = () => 0} = this.options;
			const retryBudget = new WindowedRetryBudget(budgetOptions, gatewayCount);
			const hedging = new ServiceHedging({
				service, history: this.latencies, retryBudget, windowMs: budgetOptions.windowMs, ratio: hedgeRatio,
				isChangingVersion: model => this.versionExpiry.isChanging(model),
			});
			limits = {retryBudget, hedging};
			this.serviceLimits.set(service, limits);
		}

		return limits;
	}
}

/** Returns the refusal of a call that may run in no region. */
function findHomeRefusal(permittedRegions: readonly RegionId[] | undefined, holder: KeyHolder | undefined): Refusal | undefined {
	if (permittedRegions?.length !== 0) {
		return undefined;
	}

	const isUnreadable = holder?.homeRegions?.length === 0;
	return {status: 503, reason: isUnreadable ? 'home_regions_unreadable' : 'home_regions_contradict', retryAfterMs: homeRegionsRetryAfterMs};
}

function chooseTargetService(route: Route, random: RandomSource): ServiceId {
	const total = route.targets.reduce((sum, {weight}) => sum + weight, 0);
	let remainder = random.nextInt(Math.max(1, Math.round(total)));
	for (const {service, weight} of route.targets) {
		remainder -= weight;
		if (remainder < 0) {
			return service;
		}
	}

	return route.targets[0]!.service;
}
