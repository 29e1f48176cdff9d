/** Keeps the chosen subset of each service until the members or their right to receive work change. */
import {chooseSubset, needsSpill, type SubsetOwner} from './choose-subset.ts';
import type {Member} from './member.ts';

type CachedSubset = {
	/** Places of the chosen members in the view. */
	readonly places: readonly number[];
	readonly version: number;
	readonly spills: boolean;
};

/** Caches subsets by service. */
export class SubsetCache {
	private readonly cached = new Map<string, CachedSubset>();

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
		const cached = this.cached.get(service);
		if (cached?.version === version) {
			const subset = cached.places.flatMap(place => members[place] ?? []);
			if (this.spills(subset) === cached.spills) {
				return subset;
			}
		}

		const subset = chooseSubset(this.owner, service, members);
		const chosen = new Set(subset);
		const places = [...members.entries()].flatMap(([place, member]) => chosen.has(member) ? [place] : []);
		this.cached.set(service, {places, version, spills: this.spills(subset)});
		return subset;
	}

	private spills(subset: readonly Member[]): boolean {
		return needsSpill(subset.filter(({zone}) => zone === this.owner.zone));
	}
}
