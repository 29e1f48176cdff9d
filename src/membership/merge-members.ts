/** Joins the platform's lagging list with what this process sees itself. */
import type {ListedVm, Member, Sight} from './member.ts';

/** Failed fresh connections in a row that take a VM out. */
export const failedConnectLimit = 3;

const nothingSeen: Sight = {failedConnects: 0};

/**
 * Decides for each listed VM whether it may receive new work.
 *
 * @param listed - the platform's list
 * @param sights - own knowledge by VM id
 */
export function mergeMembers(listed: readonly ListedVm[], sights: ReadonlyMap<string, Sight>): Member[] {
	return listed.map(vm => {
		const sight = sights.get(vm.vm) ?? nothingSeen;
		const outReason = reasonToExclude(vm, sight);
		return {
			...vm, sight, usable: outReason === undefined, reason: outReason ?? 'listed live',
		};
	});
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
