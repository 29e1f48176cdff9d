/** Decides how far a new VM list is trusted. */
import type {ListedVm} from '../messages/member-sync.ts';
import type {VmList} from './vm-list.ts';

/** A list of under this share of the last trusted one is suspect. */
export const suspectShare = 0.5;

/** How long a list may be suspect before it is trusted after all, in milliseconds. */
export const suspectLimitMs = 3_600_000;

/** The list with what is kept from before it became suspect. */
export type TrustedList = {
	readonly list: VmList;
	/** VMs that a suspect list no longer names; they count while their reports arrive. */
	readonly retained: ReadonlyMap<string, ListedVm>;
	/** How many VMs the last trusted list named. */
	readonly trustedCount: number;
	/** Monotonic time since when the list is suspect, in milliseconds. */
	readonly suspectSinceMs?: number;
};

/**
 * Takes a new list; one that shrank to under half in one step is suspect, and the VMs that it lacks are retained.
 *
 * @param before - the list until now
 * @param list - the new list
 * @param nowMs - monotonic time
 */
export function trustList(before: TrustedList, list: VmList, nowMs: number): TrustedList {
	const sinceMs = before.suspectSinceMs ?? nowMs;
	const isSuspect = list.vms.size < before.trustedCount * suspectShare && nowMs - sinceMs < suspectLimitMs;
	if (!isSuspect) {
		return {list, retained: new Map(), trustedCount: list.vms.size};
	}

	const known = [...before.retained, ...before.list.vms];
	const retained = new Map(known.filter(([vm]) => !list.vms.has(vm)));
	return {
		list, retained, trustedCount: before.trustedCount, suspectSinceMs: sinceMs,
	};
}
