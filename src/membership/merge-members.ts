/** Joins the platform's lagging list with what this process sees itself and with the VMs' own word. */
import type {ListedVm, Member, Sight} from './member.ts';

/** Failed fresh connections in a row that take a VM out. */
export const failedConnectLimit = 3;

/** How long a VM that is not listed stays in after it was observed, in milliseconds. */
export const observedMs = 30_000;

const nothingSeen: Sight = {failedConnects: 0};

/** What is known of all VMs. */
export type MemberSources = {
	readonly listed: Iterable<ListedVm>;
	/** VMs that the list lacks but that may still be there. */
	readonly unlisted: Iterable<ListedVm>;
	/** Own knowledge by VM id. */
	readonly sights: ReadonlyMap<string, Sight>;
	/** Monotonic time. */
	readonly nowMs: number;
};

/**
 * Decides for each VM whether it may receive new work.
 *
 * @param sources - what is known of all VMs
 */
export function mergeMembers(sources: MemberSources): Member[] {
	const listed = [...sources.listed].map(line => joinMember(line, true, sources));
	return [...listed, ...[...sources.unlisted].map(line => joinMember(line, false, sources))];
}

/**
 * Decides for one VM whether it may receive new work.
 *
 * @param line - its line of the list, or the last one that it had
 * @param isListed - whether the list has it now
 * @param sources - own knowledge and the time
 */
export function joinMember(line: ListedVm, isListed: boolean, sources: Pick<MemberSources, 'sights' | 'nowMs'>): Member {
	const sight = sources.sights.get(line.vm) ?? nothingSeen;
	const inReason = isListed ? 'listed live' : observedReason(sight, sources.nowMs);
	const outReason = reasonToExclude(line, sight);
	return {
		...line, sight, usable: outReason === undefined && inReason !== undefined, reason: outReason ?? inReason ?? 'neither listed nor observed',
	};
}

function observedReason(sight: Sight, nowMs: number): string | undefined {
	return nowMs - (sight.reportAtMs ?? -observedMs) < observedMs ? 'not listed, but observed' : undefined;
}

function reasonToExclude(vm: ListedVm, sight: Sight): string | undefined {
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
