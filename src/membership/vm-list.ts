/** Snapshots of the platform's VM list, their digests, and the changes between them. */
import {digestOf} from '../ids/digest.ts';
import type {ListedVm, MembersGetResult} from '../messages/member-sync.ts';

/** A snapshot of the list: VMs by id, and a digest of their content that does not depend on the order. */
export type VmList = {readonly vms: ReadonlyMap<string, ListedVm>; readonly digest: string};

/** The list before the first read. */
export const emptyList: VmList = createVmList([]);

/** Creates a snapshot. VMs that did not change keep the objects of the previous snapshot, so that callers can compare by identity. */
export function createVmList(vms: readonly ListedVm[], previous?: VmList): VmList {
	const reused = vms.map(listedVm => {
		const before = previous?.vms.get(listedVm.vm);
		return before && serializeVm(before) === serializeVm(listedVm) ? before : listedVm;
	});
	const serializedVms = reused.map(listedVm => serializeVm(listedVm)).toSorted();
	return {vms: new Map(reused.map(listedVm => [listedVm.vm, listedVm])), digest: digestOf(serializedVms.join('\n'))};
}

/**
 * Returns the changes between two snapshots, or the full list.
 *
 * @param from - the snapshot that the peer has; undefined when it is not stored here
 * @param to - the newer snapshot
 */
export function changesBetween(from: VmList | undefined, to: VmList): Pick<MembersGetResult, 'whole' | 'changed' | 'removed'> {
	if (!from) {
		return {whole: true, changed: [...to.vms.values()], removed: []};
	}

	const changed = [...to.vms.values()].filter(listedVm => {
		const before = from.vms.get(listedVm.vm);
		return before !== listedVm && (!before || serializeVm(before) !== serializeVm(listedVm));
	});
	return {whole: false, changed, removed: [...from.vms.keys()].filter(vm => !to.vms.has(vm))};
}

/**
 * Applies a peer's changes to a snapshot.
 *
 * @param list - the snapshot that the changes are based on; ignored when the result has the full list
 * @param result - the changes, or the full list
 * @returns the new snapshot; undefined when its digest differs from the announced one
 */
export function applyChanges(list: VmList, result: MembersGetResult): VmList | undefined {
	const vms = new Map(result.whole ? [] : list.vms);
	for (const vm of result.removed) {
		vms.delete(vm);
	}

	for (const listedVm of result.changed) {
		vms.set(listedVm.vm, listedVm);
	}

	const next = createVmList([...vms.values()], list);
	return next.digest === result.digest ? next : undefined;
}

function serializeVm({vm, role, state, zone, region, address, services}: ListedVm): string {
	return JSON.stringify([vm, role, state, zone, region, address, services]);
}
