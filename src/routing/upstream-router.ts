/** Owns the entry's own calls in flight per upstream, and chooses upstreams for calls. */
import type {ConfigurationStore} from '../configuration/configuration-store.ts';
import type {Route} from '../configuration/documents.ts';
import type {Member} from '../membership/member.ts';
import type {MembershipManager} from '../membership/membership-manager.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import {resolveVersion, servesVersion} from './resolve-version.ts';
import {selectUpstream} from './select-upstream.ts';

/** What the router works with. */
export type UpstreamRouterOptions = {
	readonly membership: MembershipManager;
	readonly store: ConfigurationStore;
	readonly random: RandomSource;
	readonly zone: string;
};

/** How an attempt ended: with an answer, refused before it reached the upstream, or broken, silent or unreachable. */
export type AttemptResultKind = 'answered' | 'refused' | 'failed';

/** An upstream for a call; `version` is null for plain services. */
export type RouteTarget = {readonly member: Member; readonly model: string | null; readonly version: string | null};

/** Chooses upstreams. */
export class UpstreamRouter {
	private readonly inFlight = new Map<string, number>();

	/** @param options - what the router works with */
	constructor(private readonly options: UpstreamRouterOptions) {}

	/**
	 * Chooses an upstream.
	 *
	 * @param route - the caller's route
	 * @param excluded - VMs that this call tried already
	 * @param fixedVersion - the version that the call must stay on, once a caller has received a part of it
	 * @returns undefined when no upstream can run the call now
	 */
	choose(route: Route, excluded: ReadonlySet<string>, fixedVersion?: string): RouteTarget | undefined {
		const {membership, store} = this.options;
		const members = membership.upstreamsOf(route.service);
		const modelName = route.model;
		const model = modelName === undefined ? undefined : store.model(modelName);
		if (modelName === undefined || !model) {
			return this.select(members, excluded, {model: null, version: null});
		}

		const version = fixedVersion ?? resolveVersion(modelName, model, route.version, members);
		if (version === undefined) {
			return undefined;
		}

		const serving = members.filter(member => servesVersion(member, modelName, model, version));
		return this.select(serving, excluded, {model: modelName, version});
	}

	/**
	 * Tells whether a call of a service may be tried once more, and takes it from the retry budget.
	 *
	 * @param service - the service
	 */
	mayRetry(service: string): boolean {
		return service !== '';
	}

	/**
	 * Counts an attempt as in flight until the returned function is called with its result.
	 *
	 * @param vm - the upstream's VM
	 * @param service - the service, for its retry budget
	 */
	begin(vm: string, service: string): (result: AttemptResultKind) => void {
		this.inFlight.set(vm, (this.inFlight.get(vm) ?? 0) + 1);
		return () => {
			this.inFlight.set(vm, (this.inFlight.get(vm) ?? 1) - 1);
		};
	}

	private select(members: readonly Member[], excluded: ReadonlySet<string>, wanted: {model: string | null; version: string | null}): RouteTarget | undefined {
		const candidates = members.filter(member => !excluded.has(member.vm));
		const member = selectUpstream({candidates, zone: this.options.zone, inFlight: this.inFlight}, this.options.random);
		return member && {member, ...wanted};
	}
}
