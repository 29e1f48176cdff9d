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
	const {listed, unlisted, sights, nowMs} = sources;
	const isObserved = ({vm}: ListedVm) => nowMs - (sights.get(vm)?.reportAtMs ?? -observedMs) < observedMs;
	const missing = [...unlisted].map(vm => toMember(vm, sights, isObserved(vm) ? 'not listed, but observed' : undefined));
	return [...[...listed].map(vm => toMember(vm, sights, 'listed live')), ...missing];
}

function toMember(vm: ListedVm, sights: ReadonlyMap<string, Sight>, inReason: string | undefined): Member {
	const sight = sights.get(vm.vm) ?? nothingSeen;
	const outReason = reasonToExclude(vm, sight);
	return {
		...vm, sight, usable: outReason === undefined && inReason !== undefined, reason: outReason ?? inReason ?? 'neither listed nor observed',
	};
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
