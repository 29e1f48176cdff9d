/** Merges the platform's VM list, which lags, with the observations of this process and the VMs' own reports. */
import type {ListedVm, Member, VmObservation} from './member.ts';

/** Consecutive failures of new connections after which a VM is unusable. */
export const failedConnectLimit = 3;

/** How long a VM that is not listed stays usable after its last report, in milliseconds. */
export const observationTimeoutMs = 30_000;

const noObservation: VmObservation = {failedConnects: 0};

/** Inputs of a merge. */
export type MemberSources = {
	readonly listed: Iterable<ListedVm>;
	/** VMs that the current list lacks but that may still run. */
	readonly unlisted: Iterable<ListedVm>;
	/** Observations by VM id. */
	readonly observations: ReadonlyMap<string, VmObservation>;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
};

/** Decides for each VM whether it may receive new work. */
export function mergeMembers(sources: MemberSources): Member[] {
	const listed = [...sources.listed].map(listedVm => mergeMember(listedVm, true, sources));
	return [...listed, ...[...sources.unlisted].map(listedVm => mergeMember(listedVm, false, sources))];
}

/**
 * Decides for one VM whether it may receive new work.
 *
 * A leaving or draining VM, or one that does not accept connections, is unusable even if it is listed or sends reports.
 *
 * @param listedVm - the VM's list entry, or its last one when the current list lacks it
 * @param isListed - whether the current list contains the VM
 * @param sources - the observations and the time
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
