/** The demo's verdict and its printed summary. */
import type {CallerCounts} from './demo-callers.ts';

/** What a run of the demo measured. */
export type DemoResult = {
	readonly counts: CallerCounts;
	/** Runs at the plain services, by booking. */
	readonly runsByBooking: ReadonlyMap<string, number>;
	readonly replicas: number;
	/** Time until all replicas served the first version, in milliseconds. */
	readonly firstMs: number;
	/** Time until all replicas served the second version, in milliseconds. */
	readonly rolloutMs: number;
	/** Copies of the second version that the origin sent. */
	readonly originCopies: number;
};

/**
 * Prints the summary.
 *
 * @param result - what the run measured
 * @returns the exit code: 1 when a call was lost, answered wrongly or run twice
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
		`  time to ${replicas} replicas                     v1 ${formatSeconds(result.firstMs)}, v2 ${formatSeconds(result.rolloutMs)} with live calls and a killed agent`,
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
