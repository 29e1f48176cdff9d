/** Joins the platform's lagging list with what this process sees itself and with the VMs' own word. */
import type {ListedVm, Member, VmObservation} from './member.ts';

/** Failed fresh connections in a row that take a VM out. */
export const failedConnectLimit = 3;

/** How long a VM that is not listed stays in after it was observed, in milliseconds. */
export const observationTimeoutMs = 30_000;

const noObservation: VmObservation = {failedConnects: 0};

/** What is known of all VMs. */
export type MemberSources = {
	readonly listed: Iterable<ListedVm>;
	/** VMs that the list lacks but that may still be there. */
	readonly unlisted: Iterable<ListedVm>;
	/** Own knowledge by VM id. */
	readonly observations: ReadonlyMap<string, VmObservation>;
	/** Monotonic time. */
	readonly nowMs: number;
};

/**
 * Decides for each VM whether it may receive new work.
 *
 * @param sources - what is known of all VMs
 */
export function mergeMembers(sources: MemberSources): Member[] {
	const listed = [...sources.listed].map(listedVm => mergeMember(listedVm, true, sources));
	return [...listed, ...[...sources.unlisted].map(listedVm => mergeMember(listedVm, false, sources))];
}

/**
 * Decides for one VM whether it may receive new work.
 *
 * @param listedVm - its line of the list, or the last one that it had
 * @param isListed - whether the list has it now
 * @param sources - own knowledge and the time
 */
export function mergeMember(listedVm: ListedVm, isListed: boolean, sources: Pick<MemberSources, 'observations' | 'nowMs'>): Member {
	const sight = sources.observations.get(listedVm.vm) ?? noObservation;
	const inclusionReason = isListed ? 'listed live' : findObservationReason(sight, sources.nowMs);
	const exclusionReason = findExclusionReason(listedVm, sight);
	return {
		...listedVm, sight, usable: exclusionReason === undefined && inclusionReason !== undefined, reason: exclusionReason ?? inclusionReason ?? 'neither listed nor observed',
	};
}

function findObservationReason(sight: VmObservation, nowMs: number): string | undefined {
	return nowMs - (sight.reportAtMs ?? -observationTimeoutMs) < observationTimeoutMs ? 'not listed, but observed' : undefined;
}

function findExclusionReason(vm: ListedVm, sight: VmObservation): string | undefined {
	if (vm.state === 'leaving') {
		return 'listed as leaving';
	}

	if (sight.report?.state === 'draining') {
		return 'reports that it is draining';
	}

	if (sight.failedConnects >= failedConnectLimit) {
		return `${sight.failedConnects} fresh connections failed`;
	}

	return undefined;
}
