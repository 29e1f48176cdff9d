/** Finds the instance for an attempt: a few random eligible ones, their load, and the choice among them. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Directory} from '../directory/directory.ts';
import type {Instance, ServiceInfo} from '../directory/directory-types.ts';
import type {ServiceId} from '../ids/service-id.ts';
import type {Logger} from '../runtime/logger.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import type {HomeRegions} from './home-regions.ts';
import type {StartPermit} from './cold-starts.ts';
import {type Barrier, findReopeningMs} from './instance-availability.ts';
import type {InstanceQuery, SelectedInstance} from './instance-query.ts';
import type {InstanceTracker} from './instance-tracker.ts';
import {type CallShedding, LoadShedding} from './load-shedding.ts';
import type {CounterAnswer, LoadSource} from './load-source.ts';
import {logPlacement} from './placement-log.ts';
import {nameRefusal} from './refusal-cause.ts';
import {
	engineSamples, plainSamples, sampleInstances, type SampleSizes,
} from './sample-instances.ts';
import {ZoneCrowding} from './zone-crowding.ts';
import {
	type Candidate, hasFreeSlot, type Placement, selectEngineInstance, selectPlainInstance, shouldAskMore,
} from './select-instance.ts';
import {findHeldModel, StartWindows} from './start-windows.ts';
import type {VersionExpiry} from './version-expiry.ts';
import {warmShare} from './warm-share.ts';

/** A refusal of the selection. */
export type Refusal = Exclude<Placement, {kind: 'place'}>;

/** Dependencies of an {@link InstanceSelector}. */
export type InstanceSelectorOptions = {
	readonly directory: Directory;
	readonly tracker: InstanceTracker;
	readonly loads: LoadSource;
	/** Tells at which instances calls with home regions may run. */
	readonly homes: HomeRegions;
	readonly versionExpiry: VersionExpiry;
	readonly random: RandomSource;
	readonly zone: string;
	readonly log: Logger;
};

/** Maximum number of cold instances that one call claims a start at. */
const maxClaims = 4;

/** How long a call waits for the next start if all instances are cold: a share of the time until it expires, with an upper bound in milliseconds. */
const startWait = {deadlineShare: 0.25, maxMs: 600};

/** When callers may return that got no start at any of these, in milliseconds. */
const noStartRetryAfterMs = 400;

/** Upper bound of the random delay of callers that are told when an instance opens again, in milliseconds. */
const reopeningJitterMs = 300;

/** The instances sampled for a call so far. */
type Sample = {
	readonly ids: Set<string>;
	/** The calls of other gateways at them, where they are known. */
	readonly counts: Map<string, CounterAnswer>;
	/** Tells whether the call gives way to more urgent ones. */
	readonly shedding: CallShedding;
	/** Instances that would suit the call, but may get none now. */
	readonly barriers: Map<string, Barrier>;
	/** The samples that have not been drawn yet. */
	readonly furtherSizes: SampleSizes[];
};

/** A placement, and what it was chosen from. */
type Choice = {readonly placement: Placement; readonly instances: readonly Instance[]; readonly candidates: readonly Candidate[]; readonly permit?: StartPermit};

/** Selects instances for the calls of this gateway. */
export class InstanceSelector {
	private readonly shedding: LoadShedding;
	private readonly startWindows: StartWindows;
	private readonly crowdings = new Map<ServiceId, ZoneCrowding>();

	/** @param options - dependencies */
	constructor(private readonly options: InstanceSelectorOptions) {
		this.shedding = new LoadShedding(options.random);
		this.startWindows = new StartWindows(options.versionExpiry, options.tracker.paths);
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
		if (!service?.engine) {
			shedding.addOwnAnswer(performance.now());
		}

		const startedAtMs = performance.now();
		const giveUpAtMs = startedAtMs + Math.min(startWait.maxMs, query.deadlineLeftMs * startWait.deadlineShare);
		let late = query;
		for (;;) {
			const sample = createSample(service, shedding);
			const choice = await this.place(late, service, sample);
			const nextStartMs = findNextStartMs(choice, sample);
			if (nextStartMs > giveUpAtMs) {
				return this.settle({...choice, placement: this.nameCause(choice.placement, late)}, late, sample);
			}

			await sleep(nextStartMs - performance.now());
			const waitedMs = performance.now() - startedAtMs;
			late = {...query, aimLeftMs: query.aimLeftMs - waitedMs, deadlineLeftMs: query.deadlineLeftMs - waitedMs};
		}
	}

	/** Chooses an instance, and claims the start there if it is cold. */
	private async place(query: InstanceQuery, service: ServiceInfo | undefined, sample: Sample): Promise<Choice> {
		const choice = await this.search(query, service, sample);
		const chosen = findChosen(choice);
		return chosen && service && this.options.tracker.coldStarts.needsClaim(chosen, service)
			? this.claimStart(choice, query, service, sample)
			: choice;
	}

	/** Draws samples until one of them has an instance that is good enough. */
	private async search(query: InstanceQuery, service: ServiceInfo | undefined, sample: Sample): Promise<Choice> {
		let choice = this.choose(query, service, sample);
		while (sample.furtherSizes.length > 0 && shouldAskMore(choice.placement, choice.candidates)) {
			const hasGrown = await this.extendSample(query, service, sample, sample.furtherSizes.shift()!);
			if (!hasGrown) {
				break;
			}

			choice = this.choose(query, service, sample);
		}

		// Other calls may have been placed since the choice was made.
		const chosen = findChosen(choice);
		return chosen && this.options.tracker.barrierAt(chosen) ? this.choose(query, service, sample) : choice;
	}

	/** Claims the start of a call that was placed at a cold instance. Without a start there, the call is placed elsewhere. */
	private async claimStart(first: Choice, query: InstanceQuery, service: ServiceInfo, sample: Sample): Promise<Choice> {
		const {coldStarts} = this.options.tracker;
		let choice = first;
		for (let claims = 0; claims < maxClaims; claims++) {
			const chosen = findChosen(choice);
			if (!chosen || !coldStarts.needsClaim(chosen, service)) {
				return choice;
			}

			const permit = await coldStarts.claim(chosen, service, query.headers.attemptId);
			// What the claim itself closes is open to this call.
			const barrier = this.options.tracker.barrierAt(chosen);
			if (permit && (!barrier || barrier.reason === 'cold') && this.holdsRequired(chosen, query, service)) {
				return {...choice, permit};
			}

			choice = await this.search(query, service, sample);
		}

		return {placement: {kind: 'refuse', reason: 'overloaded', retryAfterMs: noStartRetryAfterMs}, instances: [], candidates: []};
	}

	/** Reserves what the chosen instance needs, or tells the caller when an instance is expected to open again. */
	private settle(choice: Choice, query: InstanceQuery, {counts, barriers, shedding}: Sample): SelectedInstance | Refusal {
		const {homes, random} = this.options;
		const {candidates} = choice;
		const placement = shedding.settle(choice.placement, query.deadlineLeftMs);
		logPlacement(this.options, query, {...choice, answers: counts.size, barriers});
		if (placement.kind === 'place') {
			const selection = this.createSelection(placement, choice, query.headers.model);
			homes.recordPlaced(selection.instance, query.permittedRegions);
			return selection;
		}

		const reopeningMs = candidates.length === 0 ? findReopeningMs([...barriers.values()], performance.now()) : undefined;
		return reopeningMs === undefined ? placement : {...placement, retryAfterMs: reopeningMs + random.nextInt(reopeningJitterMs)};
	}

	/** Draws further eligible instances and asks for their load; returns whether there were any. */
	private async extendSample(query: InstanceQuery, service: ServiceInfo | undefined, {ids, counts, barriers, shedding}: Sample, sizes: SampleSizes): Promise<boolean> {
		const {directory, random, loads, homes, zone, tracker} = this.options;
		const crowding = service?.engine && this.crowdingOf(query.service);
		const isNew = (instance: Instance) => !ids.has(instance.id) && this.isEligible(instance, query, service, barriers);
		const available = homes.narrow(directory.availableInstances(query.service, zone), query.permittedRegions);
		const sampled = sampleInstances(available, crowding?.adjust(sizes) ?? sizes, isNew, bound => random.nextInt(bound));
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
		const candidates = instances.map(instance => this.createCandidate(instance, query, service, sample.counts.get(instance.id)));
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

	/** Names the cause of a refusal without an eligible instance. */
	private nameCause(placement: Placement, {service, permittedRegions}: InstanceQuery): Placement {
		const {directory: {evacuations, instances}, homes, random} = this.options;
		const isAnyEvacuated = placement.kind === 'refuse' && evacuations.zones.length > 0;
		return nameRefusal(placement, {
			instances: isAnyEvacuated ? instances.filter(instance => instance.service === service && !instance.isDraining) : [],
			isEvacuated: zone => evacuations.isEvacuated(zone),
			isPermitted: permittedRegions && (instance => homes.permits(instance, permittedRegions)),
		}, bound => random.nextInt(bound));
	}

	/** Whether an instance may take the call; if only a barrier speaks against it, that is added to `barriers`. */
	private isEligible(instance: Instance, query: InstanceQuery, service: ServiceInfo | undefined, barriers: Map<string, Barrier>): boolean {
		if (!this.options.homes.permits(instance, query.permittedRegions) || !this.holdsRequired(instance, query, service) || (query.onlyReady && this.isLimited(instance, service))) {
			return false;
		}

		const barrier = this.options.tracker.barrierAt(instance);
		if (barrier) {
			barriers.set(instance.id, barrier);
		}

		return !barrier && !query.tried.has(instance.id) && !query.full?.has(instance.id);
	}

	/** Whether a call at an instance takes one of few starts while it is cold, or the trial after its quiet time. */
	private isLimited(instance: Instance, service: ServiceInfo | undefined): boolean {
		const {coldStarts, signals} = this.options.tracker;
		return coldStarts.needsClaim(instance, service) || signals.beliefAbout(instance)?.state === 'due';
	}

	/** Whether an instance holds the required model and version. */
	private holdsRequired(instance: Instance, {headers, requiredVersion}: InstanceQuery, service: ServiceInfo | undefined): boolean {
		if (!service?.engine) {
			return true;
		}

		const held = findHeldModel(instance, headers.model);
		return held?.fromLayer === 0 && held.toLayer >= service.engine.layers
			&& this.startWindows.timeLeftMs(instance.id, held) > 0 && (requiredVersion === undefined || held.version === requiredVersion);
	}

	private createCandidate(instance: Instance, {headers, permittedRegions}: InstanceQuery, service: ServiceInfo | undefined, others: CounterAnswer | undefined): Candidate {
		const {tracker, homes, zone} = this.options;
		const load = tracker.getLoad(instance.id, others);
		return {
			id: instance.id,
			isLocal: instance.zone === zone,
			isSameRegion: homes.areInSameRegion(instance.zone, zone),
			load,
			slots: instance.slots,
			homeReserveMs: homes.reserveMs(instance, {calls: load.calls, slots: instance.slots}, permittedRegions),
			isSuspect: tracker.isSuspect(instance.id),
			startWindowMs: this.startWindows.timeLeftMs(instance.id, findHeldModel(instance, headers.model)),
			pathDelayMs: tracker.paths.delayMs(instance.id),
			warmShare: this.warmShareOf(instance, service),
		};
	}

	private warmShareOf(instance: Instance, service: ServiceInfo | undefined): number {
		const {tracker, directory} = this.options;
		const nowMs = performance.now();
		const returnedAtMs = directory.evacuations.endedAtMs(instance.zone) ?? Number.NEGATIVE_INFINITY;
		if (!service?.cold) {
			return warmShare(nowMs, returnedAtMs);
		}

		// The clock of the VM that noted the start may run ahead.
		const startedAtMs = Math.min(nowMs, nowMs + instance.startedAtMs - Date.now());
		return warmShare(nowMs, startedAtMs, tracker.coldStarts.coldUntilMs(instance, service, nowMs), returnedAtMs);
	}

	/** Describes the chosen instance, and reserves the trial there if one is due. */
	private createSelection({id, predictedMs}: Extract<Placement, {kind: 'place'}>, {instances, candidates, permit}: Choice, model: string | undefined): SelectedInstance {
		const instance = instances.find(item => item.id === id)!;
		const held = findHeldModel(instance, model);
		return {
			instance,
			predictedMs,
			hasFreeSlot: candidates.some(candidate => candidate.id === id && hasFreeSlot(candidate)),
			version: held?.version,
			startTimeLeftMs: () => this.startWindows.watchTimeLeft(instance, held, this.options.loads),
			describeStart: () => this.startWindows.describe(id, held),
			isStartPermitted: () => permit?.isValid() ?? true,
			findMoveReason: () => this.options.tracker.findMoveReason(this.options.directory.instance(id)),
			release: this.options.tracker.signals.reserveTrial(instance),
		};
	}
}

function createSample(service: ServiceInfo | undefined, shedding: CallShedding): Sample {
	return {
		ids: new Set(), counts: new Map(), barriers: new Map(), shedding, furtherSizes: [...(service?.engine ? engineSamples : plainSamples)],
	};
}

/** Returns when the next start is expected at an instance that only lacks one; infinite if the call was placed or needs no start. */
function findNextStartMs({placement, candidates}: Choice, {barriers}: Sample): number {
	const isWaiting = placement.kind === 'refuse' && candidates.length === 0;
	return isWaiting ? Math.min(...[...barriers.values()].filter(({reason}) => reason === 'cold').map(({untilMs}) => untilMs)) : Number.POSITIVE_INFINITY;
}

function findChosen({placement, instances}: Choice): Instance | undefined {
	return placement.kind === 'place' ? instances.find(({id}) => id === placement.id) : undefined;
}
