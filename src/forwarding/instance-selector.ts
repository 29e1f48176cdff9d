/** Finds the instance for an attempt: a few random eligible ones, their load, and the choice among them. */
import type {Directory} from '../directory/directory.ts';
import type {HeldModel, Instance, ServiceInfo} from '../directory/directory-types.ts';
import type {Logger} from '../runtime/logger.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import type {InFlightCounts} from './engine-forecast.ts';
import type {InstanceQuery, SelectedInstance} from './forwarded-call.ts';
import type {InstanceTracker} from './instance-tracker.ts';
import type {LoadSource} from './load-source.ts';
import {sampleInstances} from './sample-instances.ts';
import {
	type Candidate, type Placement, selectEngineInstance, selectPlainInstance,
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
	readonly log: Logger;
};

/** Number of samples that are drawn before an attempt is refused. */
export const maxRounds = 2;

const noCounts: ReadonlyMap<string, InFlightCounts> = new Map();

/** Selects instances for the calls of this gateway. */
export class InstanceSelector {
	/** @param options - dependencies */
	constructor(private readonly options: InstanceSelectorOptions) {}

	/**
	 * Selects the instance for an attempt, or refuses it.
	 *
	 * @param query - what the instance must satisfy
	 */
	async select(query: InstanceQuery): Promise<SelectedInstance | Refusal> {
		const asked = new Set<Instance>();
		let selection = await this.selectAmongSample(query, asked);
		for (let round = 1; round < maxRounds && 'kind' in selection && selection.reason === 'overloaded'; round++) {
			const askedBefore = asked.size;
			const next = await this.selectAmongSample(query, asked);
			// If all instances have been asked, the first refusal stands; it tells when to return.
			selection = asked.size > askedBefore ? next : selection;
		}

		return selection;
	}

	/**
	 * Draws a sample of the eligible instances and selects one of them, or refuses the attempt.
	 *
	 * @param asked - the instances of earlier samples, which are left out; the new ones are added
	 */
	private async selectAmongSample(query: InstanceQuery, asked: Set<Instance>): Promise<SelectedInstance | Refusal> {
		const {directory, random, loads, zone} = this.options;
		const service = directory.table?.findService(query.service);
		const engine = service?.engine;
		const isEligible = (instance: Instance) => this.isEligible(instance, query, service);
		const randomBelow = (bound: number) => random.nextInt(bound);
		const sampled = sampleInstances(directory.availableInstances(query.service, zone), instance => !asked.has(instance) && isEligible(instance), randomBelow);
		for (const instance of sampled) {
			asked.add(instance);
		}

		const counts = engine ? await loads.ask(sampled) : noCounts;
		// The state of an instance may have changed while its load was asked for.
		const instances = sampled.filter(instance => isEligible(instance));
		const candidates = instances.map(instance => this.createCandidate(instance, query.headers.model, counts.get(instance.id)));
		const placement = engine
			? selectEngineInstance(engine, candidates, {
				promptTokens: query.headers.promptTokens || engine.usualPromptTokens,
				aimLeftMs: query.aimLeftMs,
				deadlineLeftMs: query.deadlineLeftMs,
				isResponseStarted: query.isResponseStarted,
			}, randomBelow)
			: selectPlainInstance(candidates, randomBelow);
		this.logPlacement(placement, query, candidates, counts.size);
		return placement.kind === 'refuse' ? placement : createSelection(placement, instances, candidates, query.headers.model);
	}

	/** Whether an instance is usable, has not been tried for the call, and holds the required model and version. */
	private isEligible(instance: Instance, {tried, headers, requiredVersion}: InstanceQuery, service: ServiceInfo | undefined): boolean {
		if (!this.options.tracker.isUsable(instance.id) || tried.has(instance.id)) {
			return false;
		}

		if (!service?.engine) {
			return true;
		}

		const held = findHeldModel(instance, headers.model);
		return held?.fromLayer === 0 && held.toLayer >= service.engine.layers
			&& this.options.versionExpiry.mayStart(held) && (requiredVersion === undefined || held.version === requiredVersion);
	}

	private createCandidate(instance: Instance, model: string | undefined, others: InFlightCounts | undefined): Candidate {
		const {tracker, zone, versionExpiry} = this.options;
		const held = findHeldModel(instance, model);
		return {
			id: instance.id,
			isLocal: instance.zone === zone,
			load: tracker.getLoad(instance.id, others),
			slots: instance.slots,
			isSuspect: tracker.isSuspect(instance.id),
			startWindowMs: held ? versionExpiry.timeLeftMs(held) : Number.POSITIVE_INFINITY,
		};
	}

	private logPlacement(placement: Placement, {headers, aimLeftMs}: InstanceQuery, candidates: readonly Candidate[], answers: number): void {
		const {log, directory} = this.options;
		const common = {
			id: headers.attemptId, aimLeftMs: Math.round(aimLeftMs), deadlineMs: headers.deadlineMs, candidates: candidates.length, answers,
		};
		if (placement.kind === 'refuse') {
			log.info({
				...common, event: 'no_place', reason: placement.reason, leastCalls: Math.min(...candidates.map(({load}) => load.calls)), instancesRevision: directory.instancesRevision,
			}, 'no instance available for a call');
			return;
		}

		log.debug({
			...common, event: 'call_placed', instance: placement.id, predictedMs: Math.round(placement.predictedMs), load: candidates.find(({id}) => id === placement.id)?.load,
		}, 'instance selected for a call');
	}
}

function createSelection({id, predictedMs}: Extract<Placement, {kind: 'place'}>, instances: readonly Instance[], candidates: readonly Candidate[], model: string | undefined): SelectedInstance {
	const index = candidates.findIndex(candidate => candidate.id === id);
	const instance = instances[index]!;
	return {
		instance, predictedMs, version: findHeldModel(instance, model)?.version, startWindowMs: candidates[index]!.startWindowMs,
	};
}

function findHeldModel(instance: Instance, model: string | undefined): HeldModel | undefined {
	return instance.held.find(held => held.model === model);
}
