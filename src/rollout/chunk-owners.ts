/** Who brings a chunk into a region, in which order, without talking. */
import {rankMembers} from '../runtime/rendezvous.ts';

/**
 * How many VMs of a region read from outside of it.
 *
 * With every VM as an owner the origin's link is split over all of them, and the first chunk arrives after a quarter of the rollout.
 */
export const importersPerRegion = 4;

/** A VM and its region. */
export type VmLocation = {readonly vm: string; readonly region: string};

/** The order in which VMs bring the chunks of one manifest in. */
export type ChunkOwners = {
	/** VMs that read from outside of their region, over all regions. */
	readonly importers: ReadonlySet<string>;
	/** The VMs of one's own region that come before oneself for a chunk. */
	readonly higherRankedInRegion: (chunk: string) => readonly string[];
	/** The VMs of all regions that come before oneself for a chunk. */
	readonly higherRankedGlobally: (chunk: string) => readonly string[];
};

/**
 * Ranks the owners of a manifest's chunks.
 *
 * @param manifest - the manifest's digest
 * @param self - the VM that asks
 * @param vms - all VMs of the group, with or without `self`
 */
export function rankOwners(manifest: string, self: VmLocation, vms: readonly VmLocation[]): ChunkOwners {
	const group = [...vms.filter(({vm}) => vm !== self.vm), self];
	const regions = new Set(group.map(({region}) => region));
	const importersOf = new Map([...regions].map(region => {
		const local = group.filter(item => item.region === region).map(({vm}) => vm);
		return [region, rankMembers(manifest, local).slice(0, importersPerRegion)] as const;
	}));
	const localImporters = importersOf.get(self.region)!;
	const allImporters = [...importersOf.values()].flat();
	const local = group.filter(item => item.region === self.region).map(({vm}) => vm);
	const nonImporters = local.filter(vm => !localImporters.includes(vm));
	const higherRanked = (chunk: string, importers: readonly string[]) => {
		const ranked = rankMembers(chunk, importers);
		const order = importers.includes(self.vm) ? ranked : [...ranked, ...rankMembers(chunk, nonImporters)];
		return order.slice(0, order.indexOf(self.vm));
	};

	return {
		importers: new Set(allImporters),
		higherRankedInRegion: memoize(chunk => higherRanked(chunk, localImporters)),
		higherRankedGlobally: memoize(chunk => higherRanked(chunk, allImporters)),
	};
}

function memoize(compute: (chunk: string) => readonly string[]): (chunk: string) => readonly string[] {
	const known = new Map<string, readonly string[]>();
	return chunk => {
		const found = known.get(chunk) ?? compute(chunk);
		known.set(chunk, found);
		return found;
	};
}
