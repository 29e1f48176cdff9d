/** The bounded set of peers that an agent exchanges notices with. */
import {rankMembers} from '../runtime/rendezvous.ts';
import type {VmLocation} from './chunk-owners.ts';

/** Peers that an agent chooses itself; about as many more choose it. */
export const neighbourCount = 6;

/**
 * Chooses neighbours at random but stable: a change of membership moves few of them.
 *
 * @param self - the VM that chooses
 * @param vms - all VMs of the group
 * @param importers - VMs that read from outside of their region; they all watch each other, so that the next rank notices a failed owner
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
