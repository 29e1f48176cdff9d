/** Caches the subset of each service until the members change or become usable or unusable. */
import {chooseSubset, needsSpillover, type SubsetOwner} from './choose-subset.ts';
import type {Member} from './member.ts';

type CachedSubset = {
	/** Indices of the selected members in the list of all members; reports replace the member objects. */
	readonly indices: readonly number[];
	readonly version: number;
	readonly needsSpillover: boolean;
};

/** Caches the result of {@link chooseSubset} by service. */
export class SubsetCache {
	private readonly cacheByService = new Map<string, CachedSubset>();

	constructor(private readonly owner: SubsetOwner) {}

	/**
	 * Returns the current members of the subset of a service.
	 *
	 * @param members - all members
	 * @param version - the version of the view, see `MemberView.version`
	 */
	of(service: string, members: readonly Member[], version: number): readonly Member[] {
		const cached = this.cacheByService.get(service);
		if (cached?.version === version) {
			const subset = cached.indices.flatMap(index => members[index] ?? []);
			if (this.ownZoneNeedsSpillover(subset) === cached.needsSpillover) {
				return subset;
			}
		}

		const subset = chooseSubset(this.owner, service, members);
		const chosen = new Set(subset);
		const indices = [...members.entries()].flatMap(([index, member]) => chosen.has(member) ? [index] : []);
		this.cacheByService.set(service, {indices, version, needsSpillover: this.ownZoneNeedsSpillover(subset)});
		return subset;
	}

	private ownZoneNeedsSpillover(subset: readonly Member[]): boolean {
		return needsSpillover(subset.filter(({zone}) => zone === this.owner.zone));
	}
}
