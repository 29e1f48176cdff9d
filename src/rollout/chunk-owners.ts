/** Ranks the VMs that import a chunk into a region, by rendezvous hashing and without coordination. */
import {rankMembers} from '../runtime/rendezvous.ts';

/**
 * The number of importers in each region: VMs that read from outside the region.
 *
 * If every VM were an importer, they would all share the origin's bandwidth, and the first chunk would arrive only after a quarter of the rollout.
 */
export const importersPerRegion = 4;

/** A VM and its region. */
export type VmLocation = {readonly vm: string; readonly region: string};

/** The order in which VMs import the chunks of one manifest. */
export type ChunkOwners = {
	/** The VMs of all regions that read from outside their own region. */
	readonly importers: ReadonlySet<string>;
	/** Returns the VMs of the same region that rank above this VM for a chunk, best first. The list is empty for the chunk's owner, the VM with the best rank. */
	readonly higherRankedInRegion: (chunk: string) => readonly string[];
	/** Returns the VMs of all regions that rank above this VM for a chunk, best first. */
	readonly higherRankedGlobally: (chunk: string) => readonly string[];
};

/**
 * Ranks the importers of a manifest's chunks, from the point of view of one VM. VMs that are no importers rank below all importers of their region.
 *
 * @param manifest - the manifest's digest
 * @param self - the VM that the ranks are computed for
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
