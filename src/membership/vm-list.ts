/** One reading of the platform's VM list: lines by VM, its digest, and changes between readings. */
import {digestOf} from '../ids/digest.ts';
import type {ListedVm, MembersGetResult} from '../messages/member-sync.ts';

/** One reading of the list. */
export type VmList = {readonly vms: ReadonlyMap<string, ListedVm>; readonly digest: string};

/** The list before any reading. */
export const emptyList: VmList = createVmList([]);

/**
 * Creates a reading, and keeps the lines of an earlier one that did not change.
 *
 * @param vms - the lines
 * @param previous - the earlier reading
 */
export function createVmList(vms: readonly ListedVm[], previous?: VmList): VmList {
	const reused = vms.map(listedVm => {
		const before = previous?.vms.get(listedVm.vm);
		return before && serializeVm(before) === serializeVm(listedVm) ? before : listedVm;
	});
	const serializedVms = reused.map(listedVm => serializeVm(listedVm)).toSorted();
	return {vms: new Map(reused.map(listedVm => [listedVm.vm, listedVm])), digest: digestOf(serializedVms.join('\n'))};
}

/**
 * Returns what leads from one reading to another.
 *
 * @param from - the reading that the other side has; undefined when it is not known here
 * @param to - the newer reading
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
 * Applies changes.
 *
 * @param list - the reading that they start from
 * @param result - whole list or changes
 * @returns undefined when they do not lead to the announced list
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
