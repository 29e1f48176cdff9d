/** Chooses the bounded set of peers that an agent exchanges transfer notices with. */
import {rankMembers} from '../runtime/rendezvous.ts';
import type {VmLocation} from './chunk-owners.ts';

/** Neighbours that an agent chooses itself. On average as many other agents choose it. */
export const neighbourCount = 6;

/**
 * Chooses pseudo-random neighbours by rendezvous hashing, so that a change of membership replaces only a few of them.
 *
 * @param self - the VM that the neighbours are chosen for
 * @param vms - all VMs of the group
 * @param importers - the VMs that read from outside their region; all of them are neighbours of each other, so that the next rank detects a failed owner
 */
export function chooseNeighbours(self: VmLocation, vms: readonly VmLocation[], importers: ReadonlySet<string>): Set<string> {
	const local = vms.filter(({vm, region}) => vm !== self.vm && region === self.region).map(({vm}) => vm);
	const chosen = new Set(rankMembers(`neighbours/${self.vm}`, local).slice(0, neighbourCount));
	if (importers.has(self.vm)) {
		for (const vm of importers) {
			chosen.add(vm);
		}
	}

	chosen.delete(self.vm);
	return chosen;
}
