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
export function summarize(result: DemoResult): number {
	const {counts, runsByBooking, replicas} = result;
	const duplicates = [...runsByBooking.values()].filter(runs => runs > 1).length;
	const withoutRun = [...counts.booked].filter(booking => !runsByBooking.has(booking)).length;
	const served = [...counts.servedByVersion].map(([version, count]) => `${version} ${count}`).join(', ');
	const faults = counts.wrong + counts.lost + duplicates + withoutRun;
	console.log([
		'',
		'Summary',
		`  generations served                     ${served}`,
		`  lookups served                         ${counts.lookups}`,
		`  bookings answered / runs               ${counts.booked.size} / ${sum(runsByBooking.values())}`,
		`  bookings with an unknown outcome       ${counts.unknown.size}`,
		`  bookings run twice, answered unrun     ${duplicates}, ${withoutRun}`,
		`  idempotent calls repeated by callers   ${counts.repeated}`,
		`  idempotent calls wrong, lost           ${counts.wrong}, ${counts.lost}`,
		`  time to ${replicas} replicas                     v1 ${seconds(result.firstMs)}, v2 ${seconds(result.rolloutMs)} with live calls and a killed agent`,
		`  copies of v2 read from the origin      ${result.originCopies.toFixed(2)}`,
		faults === 0 ? 'passed' : `failed: ${faults} faults`,
		'',
	].join('\n'));
	return faults === 0 ? 0 : 1;
}

function seconds(ms: number): string {
	return `${(ms / 1000).toFixed(1)} s`;
}

function sum(values: Iterable<number>): number {
	return [...values].reduce((total, value) => total + value, 0);
}
