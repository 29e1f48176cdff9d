/** Evaluates the demo's results and prints the summary. */
import type {CallerCounts} from './demo-callers.ts';

/** Results of a run of the demo. */
export type DemoResult = {
	readonly counts: CallerCounts;
	/** Number of runs at the plain services by booking. */
	readonly runsByBooking: ReadonlyMap<string, number>;
	/** Number of agents that serve a version when it is completely rolled out. */
	readonly replicas: number;
	/** Time until all replicas served the first version, in milliseconds. */
	readonly firstRolloutMs: number;
	/** Time until all replicas served the second version, in milliseconds. */
	readonly secondRolloutMs: number;
	/** Bytes that the origin sent during the second rollout, as a multiple of the size of the weights. */
	readonly originCopies: number;
};

/**
 * Prints the summary.
 *
 * @returns the exit code: 1 if an idempotent call was lost, a response was wrong, or a booking ran twice or was answered without a run
 */
export function printSummary(result: DemoResult): number {
	const {counts, runsByBooking, replicas} = result;
	const duplicateRunCount = [...runsByBooking.values()].filter(runs => runs > 1).length;
	const answeredWithoutRunCount = [...counts.booked].filter(booking => !runsByBooking.has(booking)).length;
	const servedText = [...counts.servedByVersion].map(([version, count]) => `${version} ${count}`).join(', ');
	const faultCount = counts.wrong + counts.lost + duplicateRunCount + answeredWithoutRunCount;
	console.log([
		'',
		'Summary',
		`  generations served                     ${servedText}`,
		`  lookups served                         ${counts.lookups}`,
		`  bookings answered / runs               ${counts.booked.size} / ${sum(runsByBooking.values())}`,
		`  bookings with an unknown outcome       ${counts.unknown.size}`,
		`  bookings run twice, answered unrun     ${duplicateRunCount}, ${answeredWithoutRunCount}`,
		`  idempotent calls repeated by callers   ${counts.repeated}`,
		`  idempotent calls wrong, lost           ${counts.wrong}, ${counts.lost}`,
		`  time to ${replicas} replicas                     v1 ${formatSeconds(result.firstRolloutMs)}, v2 ${formatSeconds(result.secondRolloutMs)} with live calls and a killed agent`,
		`  copies of v2 read from the origin      ${result.originCopies.toFixed(2)}`,
		faultCount === 0 ? 'passed' : `failed: ${faultCount} faults`,
		'',
	].join('\n'));
	return faultCount === 0 ? 0 : 1;
}

function formatSeconds(ms: number): string {
	return `${(ms / 1000).toFixed(1)} s`;
}

function sum(values: Iterable<number>): number {
	return [...values].reduce((total, value) => total + value, 0);
}
