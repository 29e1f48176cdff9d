/** Finds limits of a configuration that contradict each other. */
import type {Route} from '../directory/directory-types.ts';
import {allowedRetries, type RetryBudgetOptions} from '../forwarding/windowed-retry-budget.ts';
import type {CheckedConfiguration, GroupedFinding} from './configuration-finding.ts';

/** The retry limit in the settings of the gateways. */
export type RetryLimit = Pick<RetryBudgetOptions, 'ratio' | 'slack'>;

/** A limit of 0 that refuses calls. */
const zeroLimits = [
	{field: 'headerBytes', reason: 'is 0, so that every call is refused'},
	{field: 'bodyBytes', reason: 'is 0, so that every call with a body is refused'},
] as const;

/**
 * Finds limits that contradict each other.
 *
 * @param retryLimit - the retry limit of the gateways; undefined if it is not known
 */
export function findContradictions(checked: CheckedConfiguration, retryLimit: RetryLimit | undefined): GroupedFinding[] {
	const {configuration} = checked;
	return [
		...findLimitFaults(checked),
		...configuration.routes.flatMap((route, at) => findRouteFaults(route, at, checked, retryLimit)),
	];
}

function findLimitFaults({configuration: {limits}, locate}: CheckedConfiguration): GroupedFinding[] {
	const findings = zeroLimits.filter(({field}) => limits[field] === 0)
		.map(({field, reason}): GroupedFinding => ({group: 'contradiction', ...locate({part: 'limit', field}), reason}));
	// An idle time of 0 means that connections are not closed for it.
	if (limits.idleTimeoutMs > 0 && limits.idleTimeoutMs < limits.headerTimeoutMs) {
		findings.push({
			group: 'contradiction', ...locate({part: 'limit', field: 'idleTimeoutMs'}), reason: `${limits.idleTimeoutMs} ms is below the time for the headers of a call, ${limits.headerTimeoutMs} ms`,
		});
	}

	return findings;
}

function findRouteFaults(route: Route, at: number, {locate, isGiven}: CheckedConfiguration, retryLimit: RetryLimit | undefined): GroupedFinding[] {
	const findings: GroupedFinding[] = [];
	// A target time that is not given is a default, which a short timeout does not contradict.
	if (route.timeoutMs < route.aimMs && isGiven({part: 'route', at, field: 'aimMs'})) {
		findings.push({
			group: 'contradiction', ...locate({part: 'route', at, field: 'timeoutMs'}), reason: `${route.timeoutMs} ms is below the target time of the route, ${route.aimMs} ms`,
		});
	}

	if (route.isResumable && route.kind !== 'stream') {
		findings.push({group: 'contradiction', ...locate({part: 'route', at, field: 'isResumable'}), reason: 'has no effect: only streams are resumed'});
	}

	const retries = Math.ceil(route.attempts) - 1;
	const covered = retryLimit ? Math.floor(allowedRetries(retryLimit, 1, 1)) : Number.POSITIVE_INFINITY;
	if (retries > covered) {
		findings.push({
			group: 'contradiction', ...locate({part: 'route', at, field: 'attempts'}),
			reason: `${route.attempts} attempts are not covered by the retry limit, which allows ${covered} retries even for a single call at a single gateway`,
		});
	}

	return findings;
}
