/** Owns the entry's own calls in flight, ejections and retry budgets, and chooses upstreams for calls. */
import type {ConfigurationStore} from '../configuration/configuration-store.ts';
import type {Route} from '../configuration/documents.ts';
import type {ServiceCapacity} from '../limits/admission-manager.ts';
import {RetryBudget} from '../limits/retry-budget.ts';
import type {Member} from '../membership/member.ts';
import type {MembershipManager} from '../membership/membership-manager.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import {EjectionTracker, type HealthSign} from './ejection-tracker.ts';
import {LoadView} from './load-estimator.ts';
import {servesVersion} from './resolve-version.ts';
import {type Candidate, selectUpstream} from './select-upstream.ts';
import {spreadVersions} from './select-versions.ts';

/** The length of the prompt's start that decides its prefix owner, in characters. */
export const prefixChars = 256;

/** The smallest capacity to calculate with; an upstream that reports 0 is chosen only when there is no other. */
const minCapacity = 0.01;

/** What the router works with. */
export type UpstreamRouterOptions = {
	readonly membership: Pick<MembershipManager, 'members' | 'upstreamsOf'>;
	readonly store: Pick<ConfigurationStore, 'model' | 'service'>;
	readonly random: RandomSource;
	readonly zone: string;
	/** Called when an agent of the service refused a call because its upstream is overloaded. */
	readonly onOverload?: (service: string) => void;
};

/**
 * How an attempt ended: with an answer; refused before it reached the upstream, for load (`overloaded`) or another reason
 * (`refused`); broken or unreachable (`failed`); without progress (`silent`); or given up by the caller or at its deadline
 * (`abandoned`), which says nothing about the upstream.
 */
export type AttemptResultKind = 'answered' | 'refused' | 'overloaded' | 'failed' | 'silent' | 'abandoned';

/** An upstream for a call; `version` is null for plain services. */
export type RouteTarget = {readonly member: Member; readonly model: string | null; readonly version: string | null};

const healthSigns: Readonly<Partial<Record<AttemptResultKind, HealthSign>>> = {answered: 'good', failed: 'failed', silent: 'silent'};

/** Chooses upstreams. */
export class UpstreamRouter {
	private readonly loads = new LoadView();
	private readonly ejections = new EjectionTracker();
	private readonly budgets = new Map<string, RetryBudget>();
	/** Retries by service that were granted and did not begin yet. */
	private readonly grantedRetries = new Map<string, number>();
	private index: {view: readonly Member[]; byVm: ReadonlyMap<string, Member>} | undefined;

	/** @param options - what the router works with */
	constructor(private readonly options: UpstreamRouterOptions) {}

	/** Retries granted at all services. */
	get retries(): number {
		return [...this.budgets.values()].reduce((sum, budget) => sum + budget.dump().granted, 0);
	}

	/** Ejections so far. */
	get ejectionCount(): number {
		return this.ejections.total;
	}

	/**
	 * Chooses an upstream.
	 *
	 * @param route - the caller's route
	 * @param excluded - VMs that this call tried already
	 * @param fixedVersion - the version that the call must stay on, once a caller has received a part of it
	 * @param prompt - the prompt; calls with the same start prefer the same upstream
	 * @returns undefined when no upstream can run the call now
	 */
	choose(route: Route, excluded: ReadonlySet<string>, fixedVersion?: string, prompt?: string): RouteTarget | undefined {
		const candidates = this.candidatesOf(route.service, excluded);
		const modelName = route.model;
		if (modelName === undefined) {
			return this.select(candidates, undefined, () => ({model: null, version: null}));
		}

		const model = this.options.store.model(modelName);
		if (!model) {
			return undefined;
		}

		const versions = fixedVersion === undefined ? spreadVersions(modelName, model, route, candidates) : [fixedVersion];
		const versionAt = (member: Member): string | undefined =>
			versions.find(version => servesVersion(member, modelName, model, version, route.adapter));
		const serving = candidates.filter(({member}) => versionAt(member) !== undefined);
		return this.select(serving, prompt?.slice(0, prefixChars), member => ({model: modelName, version: versionAt(member) ?? null}));
	}

	/**
	 * Tells whether a call of a service may be tried once more, and takes it from the retry budget.
	 *
	 * @param service - the service
	 */
	mayRetry(service: string): boolean {
		const granted = this.budgetOf(service).tryTake();
		if (granted) {
			this.grantedRetries.set(service, (this.grantedRetries.get(service) ?? 0) + 1);
		}

		return granted;
	}

	/**
	 * Counts an attempt as in flight until the returned function is called with its result.
	 *
	 * @param vm - the upstream's VM
	 * @param service - the service, for its retry budget
	 */
	begin(vm: string, service: string): (result: AttemptResultKind) => void {
		const granted = this.grantedRetries.get(service) ?? 0;
		if (granted > 0) {
			this.grantedRetries.set(service, granted - 1);
		} else {
			this.budgetOf(service).recordFirstTry();
		}

		this.loads.change(vm, 1, this.memberOf(vm)?.sight.reportAtMs);
		const startedMs = performance.now();
		let ended = false;
		return result => {
			if (!ended) {
				ended = true;
				if (result === 'answered') {
					this.loads.recordDuration(performance.now() - startedMs);
				}

				this.end(vm, service, result);
			}
		};
	}

	/**
	 * Returns what the upstreams of a service can run, and how many entries share them.
	 *
	 * @param service - the service
	 */
	capacityOf(service: string): ServiceCapacity {
		const {membership, zone} = this.options;
		const usable = this.candidatesOf(service, new Set());
		const local = usable.filter(({member}) => member.zone === zone);
		const reached = local.length > 0 ? local : usable;
		const zones = new Set(reached.map(({member}) => member.zone));
		const here = membership.members.filter(member => zones.has(member.zone) && member.state === 'live');
		const entries = here.filter(({role}) => role === 'entry').length;
		const upstreams = here.filter(({role, services}) => role === 'upstream' && services.includes(service)).length;
		return {
			capacity: reached.reduce((sum, {capacity}) => sum + capacity, 0),
			// An entry that links to a part of the agents shares them with the same part of the entries.
			entries: Math.max(1, entries * reached.length / Math.max(1, upstreams)),
		};
	}

	/** Returns the state for dumps. */
	dump(): unknown {
		return {
			inFlight: this.loads.inFlight,
			ejections: this.ejections.dump(performance.now()),
			retryBudgets: Object.fromEntries([...this.budgets].map(([service, budget]) => [service, budget.dump()])),
		};
	}

	private end(vm: string, service: string, result: AttemptResultKind): void {
		this.loads.change(vm, -1, this.memberOf(vm)?.sight.reportAtMs);
		if (result === 'overloaded') {
			this.options.onOverload?.(service);
		}

		const sign = healthSigns[result];
		if (sign) {
			const group = this.options.membership.upstreamsOf(service).map(member => member.vm);
			this.ejections.record(vm, sign, group, performance.now());
		}
	}

	/** Usable upstreams that are not excluded, with their load; ejected ones are included at their lowest share. */
	private candidatesOf(service: string, excluded: ReadonlySet<string>): Candidate[] {
		const nowMs = performance.now();
		const members = this.options.membership.upstreamsOf(service).filter(({vm}) => !excluded.has(vm));
		const bound = this.options.store.service(service)?.max_concurrent_per_worker ?? Number.POSITIVE_INFINITY;
		const loads = this.loads.loadsOf(members, nowMs);
		return members.map((member, index) => ({
			member,
			own: loads[index]?.own ?? 0,
			load: loads[index]?.total ?? 0,
			capacity: Math.max(minCapacity, Math.min(bound, member.sight.report?.capacity ?? 1) * this.ejections.shareOf(member.vm, nowMs)),
		}));
	}

	/** Ejected upstreams are suspected, not unusable: one is chosen when no other can run the call. */
	private select(candidates: readonly Candidate[], prefix: string | undefined, wanted: (member: Member) => {model: string | null; version: string | null}): RouteTarget | undefined {
		const nowMs = performance.now();
		const healthy = candidates.filter(({member}) => !this.ejections.isEjected(member.vm, nowMs));
		const chosen = selectUpstream({candidates: healthy.length > 0 ? healthy : candidates, zone: this.options.zone, prefix}, this.options.random);
		return chosen && {member: chosen.member, ...wanted(chosen.member)};
	}

	private budgetOf(service: string): RetryBudget {
		let budget = this.budgets.get(service);
		if (!budget) {
			budget = new RetryBudget();
			this.budgets.set(service, budget);
		}

		return budget;
	}

	private memberOf(vm: string): Member | undefined {
		const view = this.options.membership.members;
		if (this.index?.view !== view) {
			this.index = {view, byVm: new Map(view.map(member => [member.vm, member]))};
			this.ejections.keepOnly(this.index.byVm);
		}

		return this.index.byVm.get(vm);
	}
}

/**
 * Returns the metrics of routing: name, help and how to read the value.
 *
 * @param router - the router
 */
export function routingMetrics(router: UpstreamRouter): Array<[name: string, help: string, read: () => number]> {
	return [
		['cactusreach_retries_total', 'Attempts after the first one of a call.', () => router.retries],
		['cactusreach_ejections_total', 'Upstreams taken out of the choice after failures.', () => router.ejectionCount],
	];
}
