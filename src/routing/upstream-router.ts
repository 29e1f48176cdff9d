/** Routes an entry's calls to upstreams, and keeps the state for it: calls in flight, ejections and retry budgets. */
import type {ConfigurationStore} from '../configuration/configuration-store.ts';
import type {Route} from '../configuration/documents.ts';
import type {ServiceCapacity} from '../limits/admission-manager.ts';
import {RetryBudget} from '../limits/retry-budget.ts';
import type {Member} from '../membership/member.ts';
import type {MembershipManager} from '../membership/membership-manager.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import {EjectionTracker, type HealthOutcome} from './ejection-tracker.ts';
import {LoadEstimator} from './load-estimator.ts';
import {servesVersion} from './resolve-version.ts';
import {type Candidate, selectUpstream} from './select-upstream.ts';
import {selectVersions} from './select-versions.ts';

/** Length of the prompt prefix that determines the preferred upstream, in characters. */
export const affinityPrefixChars = 256;

/** Lower bound of the capacity in calculations. An upstream that reports 0 is selected only when there is no other. */
const minCapacity = 0.01;

/** Dependencies and settings of the router. */
export type UpstreamRouterOptions = {
	readonly membership: Pick<MembershipManager, 'members' | 'upstreamsOf'>;
	readonly store: Pick<ConfigurationStore, 'model' | 'service'>;
	readonly random: RandomSource;
	readonly zone: string;
	/** Called when an agent refuses a call of the service because its upstream is overloaded. */
	readonly onOverload?: (service: string) => void;
};

/**
 * The result of an attempt:
 * - `answered`: the whole answer was received
 * - `refused`, `overloaded`: refused before it reached the upstream; `overloaded` when the reason was load
 * - `failed`: the upstream was unreachable or the attempt broke off
 * - `silent`: the upstream missed a progress deadline
 * - `abandoned`: cancelled by the caller or expired; does not count for or against the upstream
 */
export type AttemptResultKind = 'answered' | 'refused' | 'overloaded' | 'failed' | 'silent' | 'abandoned';

/** The upstream selected for a call; `model` and `version` are null for plain services. */
export type UpstreamTarget = {readonly member: Member; readonly model: string | null; readonly version: string | null};

/** Results that count for the upstream's health; the others are ignored. */
const healthOutcomes: Readonly<Partial<Record<AttemptResultKind, HealthOutcome>>> = {answered: 'good', failed: 'failed', silent: 'silent'};

/** Selects upstreams for calls and tracks the attempts that are made on them. */
export class UpstreamRouter {
	private readonly loads = new LoadEstimator();
	private readonly ejections = new EjectionTracker();
	private readonly retryBudgets = new Map<string, RetryBudget>();
	/** Granted retries by service whose attempt has not begun. The next attempts count as these and not as first attempts. */
	private readonly grantedRetries = new Map<string, number>();
	/** Members by VM, built from the `members` array that it holds. */
	private memberIndex: {members: readonly Member[]; byVm: ReadonlyMap<string, Member>} | undefined;

	constructor(private readonly options: UpstreamRouterOptions) {}

	/** Number of retries granted so far, over all services. */
	get retries(): number {
		return [...this.retryBudgets.values()].reduce((sum, budget) => sum + budget.dump().granted, 0);
	}

	/** Number of ejections so far. */
	get ejectionCount(): number {
		return this.ejections.total;
	}

	/**
	 * Selects an upstream for a call.
	 *
	 * @param route - the caller's route
	 * @param excluded - VMs to skip, since an earlier attempt of this call there did not succeed
	 * @param fixedVersion - the version that the call must stay on once the caller has received a part of its answer
	 * @param prompt - the prompt; calls whose prompts have the same prefix prefer the same upstream
	 * @returns undefined when no upstream can run the call now
	 */
	choose(route: Route, excluded: ReadonlySet<string>, fixedVersion?: string, prompt?: string): UpstreamTarget | undefined {
		const candidates = this.candidatesOf(route.service, excluded);
		const modelName = route.model;
		if (modelName === undefined) {
			return this.selectTarget(candidates, undefined, () => ({model: null, version: null}));
		}

		const model = this.options.store.model(modelName);
		if (!model) {
			return undefined;
		}

		const versions = fixedVersion === undefined ? selectVersions(modelName, model, route, candidates) : [fixedVersion];
		const servedVersionOf = (member: Member): string | undefined =>
			versions.find(version => servesVersion(member, modelName, model, version, route.adapter));
		const serving = candidates.filter(({member}) => servedVersionOf(member) !== undefined);
		return this.selectTarget(serving, prompt?.slice(0, affinityPrefixChars), member => ({model: modelName, version: servedVersionOf(member) ?? null}));
	}

	/**
	 * Takes one retry from the retry budget of a service.
	 *
	 * @returns false when the budget is used up
	 */
	tryTakeRetry(service: string): boolean {
		const granted = this.getOrCreateRetryBudget(service).tryTake();
		if (granted) {
			this.grantedRetries.set(service, (this.grantedRetries.get(service) ?? 0) + 1);
		}

		return granted;
	}

	/**
	 * Counts an attempt as in flight until the returned function is called with its result. Later calls of that function
	 * have no effect.
	 *
	 * @param vm - the upstream's VM
	 * @param service - the service; the attempt is counted in its retry budget
	 */
	beginAttempt(vm: string, service: string): (result: AttemptResultKind) => void {
		const granted = this.grantedRetries.get(service) ?? 0;
		if (granted > 0) {
			this.grantedRetries.set(service, granted - 1);
		} else {
			this.getOrCreateRetryBudget(service).recordFirstTry();
		}

		this.loads.adjustInFlight(vm, 1, this.findMember(vm)?.sight.reportAtMs);
		const startedMs = performance.now();
		let ended = false;
		return result => {
			if (!ended) {
				ended = true;
				if (result === 'answered') {
					this.loads.recordDuration(performance.now() - startedMs);
				}

				this.endAttempt(vm, service, result);
			}
		};
	}

	/**
	 * Returns the capacity of the upstreams that calls of a service can reach, and the number of entries that share them.
	 */
	capacityOf(service: string): ServiceCapacity {
		const {membership, zone} = this.options;
		const usable = this.candidatesOf(service, new Set());
		const local = usable.filter(({member}) => member.zone === zone);
		const reachable = local.length > 0 ? local : usable;
		const zones = new Set(reachable.map(({member}) => member.zone));
		const zoneMembers = membership.members.filter(member => zones.has(member.zone) && member.state === 'live');
		const entryCount = zoneMembers.filter(({role}) => role === 'entry').length;
		const upstreamCount = zoneMembers.filter(({role, services}) => role === 'upstream' && services.includes(service)).length;
		return {
			capacity: reachable.reduce((sum, {capacity}) => sum + capacity, 0),
			// An entry that is connected to a fraction of the agents shares them with about the same fraction of the entries.
			entries: Math.max(1, entryCount * reachable.length / Math.max(1, upstreamCount)),
		};
	}

	/** Returns the state for state dumps. */
	dump(): unknown {
		return {
			inFlight: this.loads.inFlight,
			ejections: this.ejections.dump(performance.now()),
			retryBudgets: Object.fromEntries([...this.retryBudgets].map(([service, budget]) => [service, budget.dump()])),
		};
	}

	private endAttempt(vm: string, service: string, result: AttemptResultKind): void {
		this.loads.adjustInFlight(vm, -1, this.findMember(vm)?.sight.reportAtMs);
		if (result === 'overloaded') {
			this.options.onOverload?.(service);
		}

		const outcome = healthOutcomes[result];
		if (outcome) {
			const group = this.options.membership.upstreamsOf(service).map(member => member.vm);
			this.ejections.record(vm, outcome, group, performance.now());
		}
	}

	/** Returns the usable upstreams that are not excluded; ejected ones are included with a reduced capacity. */
	private candidatesOf(service: string, excluded: ReadonlySet<string>): Candidate[] {
		const nowMs = performance.now();
		const members = this.options.membership.upstreamsOf(service).filter(({vm}) => !excluded.has(vm));
		const maxConcurrent = this.options.store.service(service)?.max_concurrent_per_worker ?? Number.POSITIVE_INFINITY;
		const loads = this.loads.estimateLoads(members, nowMs);
		return members.map((member, index) => ({
			member,
			ownCalls: loads[index]?.ownCalls ?? 0,
			load: loads[index]?.totalCalls ?? 0,
			capacity: Math.max(minCapacity, Math.min(maxConcurrent, member.sight.report?.capacity ?? 1) * this.ejections.capacityFraction(member.vm, nowMs)),
		}));
	}

	/** Selects among the candidates that are not ejected, or among all when all are ejected, since they may still work. */
	private selectTarget(candidates: readonly Candidate[], prefix: string | undefined, targetOf: (member: Member) => {model: string | null; version: string | null}): UpstreamTarget | undefined {
		const nowMs = performance.now();
		const healthy = candidates.filter(({member}) => !this.ejections.isEjected(member.vm, nowMs));
		const selected = selectUpstream({candidates: healthy.length > 0 ? healthy : candidates, zone: this.options.zone, prefix}, this.options.random);
		return selected && {member: selected.member, ...targetOf(selected.member)};
	}

	private getOrCreateRetryBudget(service: string): RetryBudget {
		let budget = this.retryBudgets.get(service);
		if (!budget) {
			budget = new RetryBudget();
			this.retryBudgets.set(service, budget);
		}

		return budget;
	}

	private findMember(vm: string): Member | undefined {
		const currentMembers = this.options.membership.members;
		if (this.memberIndex?.members !== currentMembers) {
			this.memberIndex = {members: currentMembers, byVm: new Map(currentMembers.map(member => [member.vm, member]))};
			this.ejections.keepOnly(this.memberIndex.byVm);
		}

		return this.memberIndex.byVm.get(vm);
	}
}

/** Returns the routing metrics: name, help text and a function that reads the value. */
export function routingMetrics(router: UpstreamRouter): Array<[name: string, help: string, read: () => number]> {
	return [
		['cactusreach_retries_total', 'Attempts after the first one of a call.', () => router.retries],
		['cactusreach_ejections_total', 'Upstreams taken out of the choice after failures.', () => router.ejectionCount],
	];
}
