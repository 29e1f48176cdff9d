/** Plausibility check of new VM lists: one that shrank too much may be incomplete. */
import type {ListedVm} from '../messages/member-sync.ts';
import type {VmList} from './vm-list.ts';

/** A list is suspect when its size is below this fraction of the last trusted one. */
export const minTrustedRatio = 0.5;

/** How long lists may stay suspect before the smaller list is trusted, in milliseconds. */
export const maxSuspectMs = 3_600_000;

/** A list with the result of the check. */
export type EvaluatedVmList = {
	readonly list: VmList;
	/** VMs that a suspect list lacks; they stay usable while their reports arrive. */
	readonly retained: ReadonlyMap<string, ListedVm>;
	/** Size of the last trusted list. */
	readonly trustedCount: number;
	/** Monotonic time of the first suspect list in a row, in milliseconds; undefined when the list is trusted. */
	readonly suspectSinceMs?: number;
};

/**
 * Checks a new list. It is suspect when it has under half as many VMs as the last trusted list; the VMs that it lacks are then retained.
 *
 * @param previous - the result for the previous list
 * @param list - the new list
 * @param nowMs - monotonic time, in milliseconds
 */
export function evaluateVmList(previous: EvaluatedVmList, list: VmList, nowMs: number): EvaluatedVmList {
	const sinceMs = previous.suspectSinceMs ?? nowMs;
	const isSuspect = list.vms.size < previous.trustedCount * minTrustedRatio && nowMs - sinceMs < maxSuspectMs;
	if (!isSuspect) {
		return {list, retained: new Map(), trustedCount: list.vms.size};
	}

	const known = [...previous.retained, ...previous.list.vms];
	const retained = new Map(known.filter(([vm]) => !list.vms.has(vm)));
	return {
		list, retained, trustedCount: previous.trustedCount, suspectSinceMs: sinceMs,
	};
}
