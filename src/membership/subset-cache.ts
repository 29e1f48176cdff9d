/** Keeps the chosen subset of each service until the members or their right to receive work change. */
import {chooseSubset, needsSpillover, type SubsetOwner} from './choose-subset.ts';
import type {Member} from './member.ts';

type CachedSubset = {
	/** Places of the chosen members in the view. */
	readonly indices: readonly number[];
	readonly version: number;
	readonly needsSpillover: boolean;
};

/** Caches subsets by service. */
export class SubsetCache {
	private readonly cacheByService = new Map<string, CachedSubset>();

	/** @param owner - who chooses */
	constructor(private readonly owner: SubsetOwner) {}

	/**
	 * Returns the present members of the subset of a service.
	 *
	 * @param service - the service
	 * @param members - all members
	 * @param version - changes whenever a member comes, goes, moves, or becomes usable or unusable
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
