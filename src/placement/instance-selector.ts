/** Finds the instance for an attempt: a few random eligible ones, their load, and the choice among them. */
import type {Directory} from '../directory/directory.ts';
import type {HeldModel, Instance, ServiceInfo} from '../directory/directory-types.ts';
import type {ServiceId} from '../ids/service-id.ts';
import type {Logger} from '../runtime/logger.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import {type Barrier, barrierDescriptions, findReopeningMs} from './instance-availability.ts';
import type {InstanceQuery, SelectedInstance} from './instance-query.ts';
import type {InstanceTracker} from './instance-tracker.ts';
import {type CallShedding, LoadShedding} from './load-shedding.ts';
import type {CounterAnswer, LoadSource} from './load-source.ts';
import {sampleInstances, type SampleSizes} from './sample-instances.ts';
import {ZoneCrowding} from './zone-crowding.ts';
import {
	type Candidate, type Placement, selectEngineInstance, selectPlainInstance, shouldAskMore,
} from './select-instance.ts';
import type {VersionExpiry} from './version-expiry.ts';

/** A refusal of the selection. */
export type Refusal = Exclude<Placement, {kind: 'place'}>;

/** Dependencies of an {@link InstanceSelector}. */
export type InstanceSelectorOptions = {
	readonly directory: Directory;
	readonly tracker: InstanceTracker;
	readonly loads: LoadSource;
	readonly versionExpiry: VersionExpiry;
	readonly random: RandomSource;
	readonly zone: string;
	/** Whether a zone is in the region of this gateway; undefined if that is not known. Absent if no regions are known. */
	readonly isSameRegion?: (zone: string) => boolean | undefined;
	readonly log: Logger;
};

/**
 * Samples of engines that are drawn one after the other, as long as {@link shouldAskMore} says so. Each engine costs a question to the
 * stager beside it, and a free slot is found among few engines as long as there are many.
 */
export const engineSamples: readonly SampleSizes[] = [{local: 2, remote: 1}, {local: 2, remote: 2}, {local: 4, remote: 3}];

/** The sample of instances of a plain service, whose load is known without a question. */
const plainSamples: readonly SampleSizes[] = [{local: 4, remote: 3}];

/** Upper bound of the random delay of callers that are told when an instance opens again, in milliseconds. */
const reopeningJitterMs = 300;

/** Maximum number of instances that are logged as passed over for a call. */
const maxLoggedBarriers = 12;

/** The instances sampled for a call so far. */
type Sample = {
	readonly ids: Set<string>;
	/** The calls of other gateways at them, where they are known. */
	readonly counts: Map<string, CounterAnswer>;
	/** Tells whether the call gives way to more urgent ones. */
	readonly shedding: CallShedding;
	/** Instances that would suit the call, but may get none now. */
	readonly barriers: Map<string, Barrier>;
};

/** A placement, and what it was chosen from. */
type Choice = {readonly placement: Placement; readonly instances: readonly Instance[]; readonly candidates: readonly Candidate[]};

/** Selects instances for the calls of this gateway. */
export class InstanceSelector {
	private readonly shedding: LoadShedding;
	private readonly crowdings = new Map<ServiceId, ZoneCrowding>();

	/** @param options - dependencies */
	constructor(private readonly options: InstanceSelectorOptions) {
		this.shedding = new LoadShedding(options.random);
	}

	/**
	 * Selects the instance for an attempt, or refuses it.
	 *
	 * @param query - what the instance must satisfy
	 */
	async select(query: InstanceQuery): Promise<SelectedInstance | Refusal> {
		const service = this.options.directory.table?.findService(query.service);
		const {priority, isReturning, tried, isResponseStarted} = query;
		const shedding = this.shedding.startCall(query.service, {priority, isReturning, isFirstAttempt: tried.size === 0 && !isResponseStarted});
		const sample: Sample = {
			ids: new Set(), counts: new Map(), barriers: new Map(), shedding,
		};
		if (!service?.engine) {
			shedding.addOwnAnswer(performance.now());
		}

		let choice = this.choose(query, service, sample);
		for (const sizes of service?.engine ? engineSamples : plainSamples) {
			const hasGrown = await this.extendSample(query, service, sample, sizes);
			if (!hasGrown) {
				break;
			}

			choice = this.choose(query, service, sample);
			if (!shouldAskMore(choice.placement, choice.candidates)) {
				break;
			}
		}

		// Other calls may have been placed since the choice was made.
		if (choice.placement.kind === 'place' && this.options.tracker.barrierAt(findChosen(choice)!)) {
			choice = this.choose(query, service, sample);
		}

		return this.settle(choice, query, sample);
	}

	/** Reserves what the chosen instance needs, or tells the caller when an instance is expected to open again. */
	private settle(choice: Choice, query: InstanceQuery, {counts, barriers, shedding}: Sample): SelectedInstance | Refusal {
		const {tracker, random} = this.options;
		const {instances, candidates} = choice;
		const placement = shedding.settle(choice.placement, query.deadlineLeftMs);
		this.logPlacement(choice, query, counts.size, barriers);
		if (placement.kind === 'place') {
			const selection = this.createSelection(placement, instances, query.headers.model);
			tracker.signals.reserveTrial(selection.instance);
			return selection;
		}

		const reopeningMs = candidates.length === 0 ? findReopeningMs([...barriers.values()], performance.now()) : undefined;
		return reopeningMs === undefined ? placement : {...placement, retryAfterMs: reopeningMs + random.nextInt(reopeningJitterMs)};
	}

	/** Draws further eligible instances and asks for their load; returns whether there were any. */
	private async extendSample(query: InstanceQuery, service: ServiceInfo | undefined, {ids, counts, barriers, shedding}: Sample, sizes: SampleSizes): Promise<boolean> {
		const {directory, random, loads, zone, tracker} = this.options;
		const crowding = service?.engine && this.crowdingOf(query.service);
		const isNew = (instance: Instance) => !ids.has(instance.id) && this.isEligible(instance, query, service, barriers);
		const sampled = sampleInstances(directory.availableInstances(query.service, zone), crowding?.adjust(sizes) ?? sizes, isNew, bound => random.nextInt(bound));
		for (const {id} of sampled) {
			ids.add(id);
		}

		if (crowding && sampled.length > 0) {
			const answers = await loads.ask(sampled, shedding.createReport());
			for (const instance of sampled) {
				const answer = answers.get(instance.id);
				if (answer) {
					counts.set(instance.id, answer);
					shedding.addAnswer(answer.yields);
					this.recordFullness(crowding, instance, tracker.getLoad(instance.id, answer).calls);
				}
			}
		}

		return sampled.length > 0;
	}

	private recordFullness(crowding: ZoneCrowding, {zone, service, slots}: Instance, calls: number): void {
		const {log, zone: ownZone} = this.options;
		if (crowding.record(zone === ownZone, calls >= slots)) {
			log.info({
				event: 'zone_crowded', service, zone: ownZone, isCrowded: crowding.isCrowded,
			}, 'the engines of this zone are full more often than others, or no longer');
		}
	}

	private crowdingOf(service: ServiceId): ZoneCrowding {
		let crowding = this.crowdings.get(service);
		if (!crowding) {
			crowding = new ZoneCrowding();
			this.crowdings.set(service, crowding);
		}

		return crowding;
	}

	private choose(query: InstanceQuery, service: ServiceInfo | undefined, sample: Sample): Choice {
		const {directory, random} = this.options;
		const randomBelow = (bound: number) => random.nextInt(bound);
		// An instance may have changed or left while its load was asked for.
		const instances = [...sample.ids].flatMap(id => directory.instance(id) ?? []).filter(instance => this.isEligible(instance, query, service, sample.barriers));
		const candidates = instances.map(instance => this.createCandidate(instance, query.headers.model, sample.counts.get(instance.id)));
		const urgencyLimit = sample.shedding.limit();
		const placement = service?.engine
			? selectEngineInstance(service.engine, candidates, {
				promptTokens: query.headers.promptTokens || service.engine.usualPromptTokens,
				aimLeftMs: query.aimLeftMs,
				deadlineLeftMs: query.deadlineLeftMs,
				isResponseStarted: query.isResponseStarted,
				urgencyLimit,
			}, randomBelow)
			: selectPlainInstance(candidates, randomBelow, urgencyLimit);
		return {placement, instances, candidates};
	}

	/** Whether an instance may take the call; if only a barrier speaks against it, that is added to `barriers`. */
	private isEligible(instance: Instance, query: InstanceQuery, service: ServiceInfo | undefined, barriers: Map<string, Barrier>): boolean {
		if (!this.holdsRequired(instance, query, service)) {
			return false;
		}

		const barrier = this.options.tracker.barrierAt(instance);
		if (barrier) {
			barriers.set(instance.id, barrier);
		}

		return !barrier && !query.tried.has(instance.id);
	}

	/** Whether an instance holds the required model and version. */
	private holdsRequired(instance: Instance, {headers, requiredVersion}: InstanceQuery, service: ServiceInfo | undefined): boolean {
		if (!service?.engine) {
			return true;
		}

		const held = findHeldModel(instance, headers.model);
		return held?.fromLayer === 0 && held.toLayer >= service.engine.layers
			&& this.options.versionExpiry.mayStart(held) && (requiredVersion === undefined || held.version === requiredVersion);
	}

	private createCandidate(instance: Instance, model: string | undefined, others: CounterAnswer | undefined): Candidate {
		const {tracker, zone, versionExpiry} = this.options;
		const held = findHeldModel(instance, model);
		return {
			id: instance.id,
			isLocal: instance.zone === zone,
			isSameRegion: this.options.isSameRegion?.(instance.zone),
			load: tracker.getLoad(instance.id, others),
			slots: instance.slots,
			isSuspect: tracker.isSuspect(instance.id),
			startWindowMs: held ? versionExpiry.timeLeftMs(held) : Number.POSITIVE_INFINITY,
		};
	}

	private createSelection({id, predictedMs}: Extract<Placement, {kind: 'place'}>, instances: readonly Instance[], model: string | undefined): SelectedInstance {
		const {versionExpiry} = this.options;
		const instance = instances.find(item => item.id === id)!;
		const held = findHeldModel(instance, model);
		return {
			instance, predictedMs, version: held?.version, startTimeLeftMs: () => (held ? versionExpiry.timeLeftMs(held) : Number.POSITIVE_INFINITY),
		};
	}

	private logPlacement({placement, candidates}: Choice, {service, headers, priority, aimLeftMs, requiredVersion}: InstanceQuery, answers: number, barriers: ReadonlyMap<string, Barrier>): void {
		const {log, directory} = this.options;
		const common = {
			id: headers.attemptId, priority, aimLeftMs: Math.round(aimLeftMs), deadlineMs: headers.deadlineMs, candidates: candidates.length, answers,
		};
		if (placement.kind === 'refuse') {
			log.info({
				...common,
				event: 'no_place',
				service,
				model: headers.model,
				requiredVersion,
				reason: placement.reason,
				leastCalls: Math.min(...candidates.map(({load}) => load.calls)),
				instancesRevision: directory.instancesRevision,
				passedOver: describeBarriers(barriers),
			}, 'no instance available for a call');
			return;
		}

		log.debug({
			...common, event: 'call_placed', instance: placement.id, predictedMs: Math.round(placement.predictedMs), load: candidates.find(({id}) => id === placement.id)?.load,
		}, 'instance selected for a call');
	}
}

function findChosen({placement, instances}: Choice): Instance | undefined {
	return placement.kind === 'place' ? instances.find(({id}) => id === placement.id) : undefined;
}

/** Describes for the log why instances were passed over. */
function describeBarriers(barriers: ReadonlyMap<string, Barrier>): object[] {
	const nowMs = performance.now();
	return [...barriers].slice(0, maxLoggedBarriers).map(([instance, {reason, sinceMs, untilMs}]) => ({
		instance,
		reason,
		...barrierDescriptions[reason],
		ageMs: sinceMs === undefined ? undefined : Math.round(nowMs - sinceMs),
		leftMs: Number.isFinite(untilMs) ? Math.round(untilMs - nowMs) : undefined,
	}));
}

function findHeldModel(instance: Instance, model: string | undefined): HeldModel | undefined {
	return instance.held.find(held => held.model === model);
}
