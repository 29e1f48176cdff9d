/** Accepts calls from callers, resolves their route and API key, and starts forwarding them to upstreams. */
import type {Directory} from '../directory/directory.ts';
import type {
	HeldModel, Instance, KeyHolder, Route, ServiceInfo,
} from '../directory/directory-types.ts';
import type {Logger} from '../runtime/logger.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import type {ResponseWriter} from './response-writer.ts';
import {
	ForwardedCall, type InstanceQuery, type ReceivedCall, type SelectedInstance,
} from './forwarded-call.ts';
import type {InstanceTracker} from './instance-tracker.ts';
import {
	type Candidate, type Placement, selectEngineInstance, selectPlainInstance,
} from './select-instance.ts';
import {type RetryBudgetOptions, WindowedRetryBudget} from './windowed-retry-budget.ts';
import type {RouteTable} from './route-table.ts';
import {DeadlineHistory} from './deadline-history.ts';
import {VersionExpiry} from './version-expiry.ts';
import type {WireCodec} from './wire-codec.ts';

/** Retry delay given to callers until a configuration has been received, in milliseconds. */
const noConfigurationRetryAfterMs = 500;

/** Dependencies and settings of a {@link CallForwarder}. */
export type CallForwarderOptions = {
	readonly directory: Directory;
	readonly codec: WireCodec;
	readonly tracker: InstanceTracker;
	readonly random: RandomSource;
	readonly log: Logger;
	readonly zone: string;
	readonly retryBudget: RetryBudgetOptions;
	/** How long calls may still start on an older version of a model after a newer one was announced, in milliseconds. */
	readonly versionBoundMs: number;
	/** Returns the number of gateways that share the retry budget. */
	readonly gatewayCount: () => number;
	/** Called when a call has ended. */
	readonly onEnd: (route: Route | undefined, outcome: string, ms: number) => void;
};

/** Retry delay given to callers while this process shuts down, in milliseconds; short, because another gateway takes the call. */
const shutdownRetryAfterMs = 50;

type Refusal = {readonly status: number; readonly reason: string; readonly retryAfterMs?: number};

const noRoute: Refusal = {status: 404, reason: 'no_route'};

/** Forwards calls to upstreams, with one retry budget per service. */
export class CallForwarder {
	private readonly inFlight = new Set<ForwardedCall>();
	private readonly retryBudgets = new Map<string, WindowedRetryBudget>();
	private readonly deadlineHistory = new DeadlineHistory();
	private readonly versionExpiry: VersionExpiry;
	private isShuttingDown = false;

	/** @param options - dependencies and settings */
	constructor(private readonly options: CallForwarderOptions) {
		this.versionExpiry = new VersionExpiry(options.directory, options.versionBoundMs);
	}

	/** Refuses all further calls, because the process is shutting down. */
	refuseNewCalls(): void {
		this.isShuttingDown = true;
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
	 * @returns the forwarded call; undefined if it was refused
	 */
	forward(call: ReceivedCall, writer: ResponseWriter): ForwardedCall | undefined {
		const {directory} = this.options;
		const {table} = directory;
		const route = table?.findRoute(call.headers.host, call.target);
		const holder = table?.findKeyHolder(call.headers.key);
		const refusal = this.findRefusal(table, route, holder, call);
		if (refusal !== undefined || route === undefined) {
			this.sendRefusal(call, writer, route, refusal ?? noRoute);
			return undefined;
		}

		return this.startCall({
			receivedCall: call, writer, route, holder,
		});
	}

	private startCall({receivedCall, writer, route, holder}: {receivedCall: ReceivedCall; writer: ResponseWriter; route: Route; holder: KeyHolder | undefined}): ForwardedCall {
		const {codec, tracker, log, random} = this.options;
		const service = chooseTargetService(route, random);
		const budget = this.getRetryBudget(service);
		budget.recordCall();
		const call: ForwardedCall = new ForwardedCall({
			call: receivedCall,
			route,
			service,
			holder: route.isPublic && !holder ? undefined : holder,
			aimLeftMs: route.aimMs - this.deadlineHistory.estimateElapsedMs(route.prefix, receivedCall.headers.deadlineMs),
			writer,
			codec,
			tracker,
			log,
			selectInstance: query => this.selectInstance(query),
			tryTakeRetry: () => budget.tryTake(),
			onEnd: (outcome, ms) => {
				this.inFlight.delete(call);
				this.options.onEnd(route, outcome, ms);
			},
		});
		this.inFlight.add(call);
		call.start();
		return call;
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

		return table.needsKeys && !route.isPublic && !holder ? {status: 401, reason: 'unknown_key'} : undefined;
	}

	private sendRefusal(call: ReceivedCall, writer: ResponseWriter, route: Route | undefined, {status, reason, retryAfterMs}: Refusal): void {
		const {log, codec, directory, onEnd} = this.options;
		log.warn({
			event: 'call_refused', id: call.headers.attemptId, status, reason, host: call.headers.host, configuration: directory.configurationVersion,
		}, 'call refused');
		writer.sendError(status, reason, retryAfterMs === undefined ? [] : codec.writeRefusalHeaders(retryAfterMs));
		onEnd(route, reason, performance.now() - call.receivedAtMs);
	}

	private getRetryBudget(service: string): WindowedRetryBudget {
		let budget = this.retryBudgets.get(service);
		if (!budget) {
			budget = new WindowedRetryBudget(this.options.retryBudget, this.options.gatewayCount);
			this.retryBudgets.set(service, budget);
		}

		return budget;
	}

	private selectInstance(query: InstanceQuery): SelectedInstance | Exclude<Placement, {kind: 'place'}> {
		const {directory, random, log} = this.options;
		const {headers, aimLeftMs, deadlineLeftMs} = query;
		const service = directory.table?.findService(query.service);
		const engine = service?.engine;
		const instances = this.eligibleInstances(query, service);
		const candidates = instances.map(instance => this.createCandidate(instance, headers.model));
		const randomBelow = (bound: number) => random.nextInt(bound);
		const placement = engine
			? selectEngineInstance(engine, candidates, {
				promptTokens: headers.promptTokens || engine.usualPromptTokens, aimLeftMs, deadlineLeftMs, isResponseStarted: query.isResponseStarted,
			}, randomBelow)
			: selectPlainInstance(candidates, randomBelow);
		if (placement.kind === 'refuse') {
			log.info({
				event: 'no_place', id: headers.attemptId, reason: placement.reason, candidates: candidates.length, aimLeftMs: Math.round(aimLeftMs), deadlineMs: headers.deadlineMs,
				leastCalls: Math.min(...candidates.map(({load}) => load.calls)), instancesRevision: directory.instancesRevision,
			}, 'no instance available for a call');
			return placement;
		}

		const index = candidates.findIndex(({id}) => id === placement.id);
		const instance = instances[index]!;
		const {load, startWindowMs} = candidates[index]!;
		log.debug({
			event: 'call_placed', id: headers.attemptId, instance: instance.id, predictedMs: Math.round(placement.predictedMs), load, aimLeftMs: Math.round(aimLeftMs), deadlineMs: headers.deadlineMs,
		}, 'instance selected for a call');
		return {
			instance, predictedMs: placement.predictedMs, version: findHeldModel(instance, headers.model)?.version, startWindowMs,
		};
	}

	/** Returns the usable instances that hold the required model and version and have not been tried for this call. */
	private eligibleInstances({service, headers, tried, requiredVersion}: InstanceQuery, info: ServiceInfo | undefined): Instance[] {
		const {directory, tracker} = this.options;
		const available = directory.availableInstances(service as Instance['service'])
			.filter(instance => tracker.isUsable(instance.id) && !tried.has(instance.id));
		const {engine} = info ?? {};
		if (!engine) {
			return available;
		}

		return available.filter(instance => {
			const held = findHeldModel(instance, headers.model);
			return held?.fromLayer === 0 && held.toLayer >= engine.layers
				&& this.versionExpiry.mayStart(held) && (requiredVersion === undefined || held.version === requiredVersion);
		});
	}

	private createCandidate(instance: Instance, model: string | undefined): Candidate {
		const {tracker, zone} = this.options;
		const held = findHeldModel(instance, model);
		return {
			id: instance.id,
			isLocal: instance.zone === zone,
			load: tracker.getLoad(instance.id),
			slots: instance.slots,
			isSuspect: tracker.isSuspect(instance.id),
			startWindowMs: held ? this.versionExpiry.timeLeftMs(held) : Number.POSITIVE_INFINITY,
		};
	}
}

function findHeldModel(instance: Instance, model: string | undefined): HeldModel | undefined {
	return instance.held.find(held => held.model === model);
}

function chooseTargetService(route: Route, random: RandomSource): string {
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
