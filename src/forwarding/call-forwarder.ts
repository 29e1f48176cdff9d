/** Takes callers' calls, finds their route and holder, and sends each on its way. */
import type {Directory} from '../directory/directory.ts';
import type {
	HeldModel, Instance, KeyHolder, Route, ServiceInfo,
} from '../directory/directory-types.ts';
import type {Logger} from '../runtime/logger.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import type {AnswerSink} from './answer-sink.ts';
import {
	ForwardedCall, type FoundPlace, type PlaceRequest, type ReadCall,
} from './forwarded-call.ts';
import type {InstanceUse} from './instance-use.ts';
import {
	type Candidate, placeAtEngine, placeAtService, type Placement,
} from './place-call.ts';
import {type RetryBound, RetryWindow} from './retry-window.ts';
import type {RouteTable} from './route-table.ts';
import {UsualDeadlines} from './usual-deadlines.ts';
import {VersionRule} from './version-rule.ts';
import type {WireCodec} from './wire-codec.ts';

/** When a caller returns while no configuration is known, in milliseconds. */
const noConfigurationRetryMs = 500;

/** What the forwarder works with. */
export type CallForwarderOptions = {
	readonly directory: Directory;
	readonly codec: WireCodec;
	readonly use: InstanceUse;
	readonly random: RandomSource;
	readonly log: Logger;
	readonly zone: string;
	readonly retryBound: RetryBound;
	/** How long after a newer version was named the older one may begin work, in milliseconds. */
	readonly versionBoundMs: number;
	/** Returns how many entries share the retry budget. */
	readonly entryCount: () => number;
	/** Is called with how each call ended. */
	readonly onEnd: (route: Route | undefined, outcome: string, ms: number) => void;
};

/** When a caller returns whose call came to a process that ends, in milliseconds; another one takes it. */
const leavingRetryMs = 50;

type Refusal = {readonly status: number; readonly reason: string; readonly retryAfterMs?: number};

const noRoute: Refusal = {status: 404, reason: 'no_route'};

/** Forwards calls. */
export class CallForwarder {
	private readonly open = new Set<ForwardedCall>();
	private readonly budgets = new Map<string, RetryWindow>();
	private readonly usualDeadlines = new UsualDeadlines();
	private readonly versionRule: VersionRule;
	private isLeaving = false;

	/** @param options - what the forwarder works with */
	constructor(private readonly options: CallForwarderOptions) {
		this.versionRule = new VersionRule(options.directory, options.versionBoundMs);
	}

	/** Refuses calls from now on, since the process ends. */
	refuseNewCalls(): void {
		this.isLeaving = true;
	}

	/** Calls without a whole answer. */
	get openCalls(): number {
		return this.open.size;
	}

	/**
	 * Takes a call.
	 *
	 * @param read - the call
	 * @param sink - the caller's side
	 * @returns the call on its way; undefined when it was answered at once
	 */
	take(read: ReadCall, sink: AnswerSink): ForwardedCall | undefined {
		const {directory} = this.options;
		const {table} = directory;
		const route = table?.find(read.headers.host, read.target);
		const holder = table?.holderOf(read.headers.key);
		const refusal = this.refusalOf(table, route, holder, read);
		if (refusal !== undefined || route === undefined) {
			this.answerRefusal(read, sink, route, refusal ?? noRoute);
			return undefined;
		}

		return this.begin({
			read, sink, route, holder,
		});
	}

	private begin({read, sink, route, holder}: {read: ReadCall; sink: AnswerSink; route: Route; holder: KeyHolder | undefined}): ForwardedCall {
		const {codec, use, log, random} = this.options;
		const service = chooseTarget(route, random);
		const budget = this.budgetOf(service);
		budget.recordCall();
		const call: ForwardedCall = new ForwardedCall({
			call: read,
			route,
			service,
			holder: route.isPublic && !holder ? undefined : holder,
			aimLeftMs: route.aimMs - this.usualDeadlines.elapsedMs(route.prefix, read.headers.deadlineMs),
			sink,
			codec,
			use,
			log,
			place: request => this.place(request),
			takeRepeat: () => budget.tryTake(),
			onEnd: (outcome, ms) => {
				this.open.delete(call);
				this.options.onEnd(route, outcome, ms);
			},
		});
		this.open.add(call);
		call.start();
		return call;
	}

	private refusalOf(table: RouteTable | undefined, route: Route | undefined, holder: KeyHolder | undefined, {headers}: ReadCall): Refusal | undefined {
		if (this.isLeaving) {
			return {status: 503, reason: 'leaving', retryAfterMs: leavingRetryMs};
		}

		if (!table) {
			return {status: 503, reason: 'no_configuration', retryAfterMs: noConfigurationRetryMs};
		}

		if (!headers.attemptId) {
			return {status: 400, reason: 'no_attempt_id'};
		}

		if (!route) {
			return noRoute;
		}

		return table.needsKeys && !route.isPublic && !holder ? {status: 401, reason: 'unknown_key'} : undefined;
	}

	private answerRefusal(read: ReadCall, sink: AnswerSink, route: Route | undefined, {status, reason, retryAfterMs}: Refusal): void {
		const {log, codec, directory, onEnd} = this.options;
		log.warn({
			event: 'call_refused', id: read.headers.attemptId, status, reason, host: read.headers.host, configuration: directory.configurationVersion,
		}, 'call refused');
		sink.sendError(status, reason, retryAfterMs === undefined ? [] : codec.writeRefusal(retryAfterMs));
		onEnd(route, reason, performance.now() - read.receivedAtMs);
	}

	private budgetOf(service: string): RetryWindow {
		let budget = this.budgets.get(service);
		if (!budget) {
			budget = new RetryWindow(this.options.retryBound, this.options.entryCount);
			this.budgets.set(service, budget);
		}

		return budget;
	}

	private place(request: PlaceRequest): FoundPlace | Exclude<Placement, {kind: 'place'}> {
		const {directory, random, log} = this.options;
		const {headers, aimLeftMs, deadlineLeftMs} = request;
		const service = directory.table?.service(request.service);
		const engine = service?.engine;
		const instances = this.eligible(request, service);
		const candidates = instances.map(instance => this.candidate(instance, headers.model));
		const draw = (bound: number) => random.below(bound);
		const placement = engine
			? placeAtEngine(engine, candidates, {
				promptTokens: headers.promptTokens || engine.usualPromptTokens, aimLeftMs, deadlineLeftMs, hasBegun: request.hasBegun,
			}, draw)
			: placeAtService(candidates, draw);
		if (placement.kind === 'refuse') {
			log.info({
				event: 'no_place', id: headers.attemptId, reason: placement.reason, candidates: candidates.length, aimLeftMs: Math.round(aimLeftMs), deadlineMs: headers.deadlineMs,
				leastCalls: Math.min(...candidates.map(({load}) => load.calls)), instancesRevision: directory.instancesRevision,
			}, 'no place for a call');
			return placement;
		}

		const at = candidates.findIndex(({id}) => id === placement.id);
		const instance = instances[at]!;
		const {load, beginWithinMs} = candidates[at]!;
		log.debug({
			event: 'call_placed', id: headers.attemptId, instance: instance.id, predictedMs: Math.round(placement.predictedMs), load, aimLeftMs: Math.round(aimLeftMs), deadlineMs: headers.deadlineMs,
		}, 'call placed');
		return {
			instance, predictedMs: placement.predictedMs, version: heldOf(instance, headers.model)?.version, beginWithinMs,
		};
	}

	/** Instances that hold what the call needs, may get it and have not had it yet. */
	private eligible({service, headers, tried, version}: PlaceRequest, info: ServiceInfo | undefined): Instance[] {
		const {directory, use} = this.options;
		const taking = directory.takingCalls(service as Instance['service'])
			.filter(instance => use.isUsable(instance.id) && !tried.has(instance.id));
		const {engine} = info ?? {};
		if (!engine) {
			return taking;
		}

		return taking.filter(instance => {
			const held = heldOf(instance, headers.model);
			return held?.fromLayer === 0 && held.toLayer >= engine.layers
				&& this.versionRule.mayBegin(held) && (version === undefined || held.version === version);
		});
	}

	private candidate(instance: Instance, model: string | undefined): Candidate {
		const {use, zone} = this.options;
		const held = heldOf(instance, model);
		return {
			id: instance.id,
			isLocal: instance.zone === zone,
			load: use.loadOf(instance.id),
			slots: instance.slots,
			isSuspect: use.isSuspect(instance.id),
			beginWithinMs: held ? this.versionRule.timeLeftMs(held) : Number.POSITIVE_INFINITY,
		};
	}
}

function heldOf(instance: Instance, model: string | undefined): HeldModel | undefined {
	return instance.held.find(held => held.model === model);
}

function chooseTarget(route: Route, random: RandomSource): string {
	const total = route.targets.reduce((sum, {weight}) => sum + weight, 0);
	let at = random.below(Math.max(1, Math.round(total)));
	for (const {service, weight} of route.targets) {
		at -= weight;
		if (at < 0) {
			return service;
		}
	}

	return route.targets[0]!.service;
}
