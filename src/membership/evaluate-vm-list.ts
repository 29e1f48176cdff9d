/** Decides how far a new VM list is trusted. */
import type {ListedVm} from '../messages/member-sync.ts';
import type {VmList} from './vm-list.ts';

/** A list of under this share of the last trusted one is suspect. */
export const minTrustedRatio = 0.5;

/** How long a list may be suspect before it is trusted after all, in milliseconds. */
export const maxSuspectMs = 3_600_000;

/** The list with what is kept from before it became suspect. */
export type EvaluatedVmList = {
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
 * @param previous - the list until now
 * @param list - the new list
 * @param nowMs - monotonic time
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
