/** Tells what it means for calls that they belong to another route than before, or that their route has changed. */
import type {Route} from '../directory/directory-types.ts';
import {isRefused} from '../forwarding/route-table.ts';
import type {Effect} from './configuration-finding.ts';

/** One change, and what it means for the calls. */
export type Change<Field> = {readonly field?: Field; readonly effect: Effect; readonly reason: string};

/** A change of a route. */
export type RouteChange = Change<keyof Route>;

type CompareField = (before: Route, after: Route) => Omit<RouteChange, 'field'> | undefined;

/** The comparison of each field of a route, for routes that are both served. */
const comparisons: ReadonlyArray<{readonly field: keyof Route; readonly compare: CompareField}> = [
	{field: 'targets', compare: compareTargets},
	{field: 'homeRegions', compare: compareHomeRegions},
	{field: 'timeoutMs', compare: (before, after) => compareLimit('timeout in ms', before.timeoutMs, after.timeoutMs)},
	{field: 'attempts', compare: (before, after) => compareLimit('attempts', before.attempts, after.attempts)},
	{field: 'priority', compare: (before, after) => comparePriority(before.priority, after.priority)},
	{field: 'kind', compare: compareKinds},
	{field: 'isPublic', compare: (before, after) => compareFlag(before.isPublic, after.isPublic, ['calls no longer need a key', 'calls without a key are refused'], 'refused')},
	{field: 'isResumable', compare: (before, after) => compareFlag(before.isResumable, after.isResumable, ['streams are resumed', 'streams are no longer resumed'], 'limited')},
	{field: 'aimMs', compare: (before, after) => (before.aimMs === after.aimMs ? undefined : {effect: 'none', reason: `target time ${before.aimMs} ms becomes ${after.aimMs} ms`})},
	{field: 'name', compare: (before, after) => (before.name === after.name ? undefined : {effect: 'none', reason: `name ${JSON.stringify(before.name)} becomes ${JSON.stringify(after.name)}`})},
];

/**
 * Compares the routes that the same calls belong to.
 *
 * @param before - the route in force; undefined if the calls match none
 * @param after - the route to come; undefined if the calls match none
 */
export function compareCallRoutes(before: Route | undefined, after: Route | undefined): RouteChange[] {
	const isServed = after && !isRefused(after);
	if (!before || isRefused(before)) {
		return isServed ? [{effect: 'served', reason: 'its calls, which are refused until now, are served'}] : [];
	}

	if (!isServed) {
		return [{effect: 'refused', reason: `its calls are refused, since ${after ? `route ${JSON.stringify(after.name)} cannot be read` : 'they match no route'}`}];
	}

	return comparisons.flatMap(({field, compare}) => {
		const change = compare(before, after);
		return change ? [{field, ...change}] : [];
	});
}

/** Compares a limit of which a smaller value allows less; undefined if it is the same. */
export function compareLimit(name: string, before: number, after: number): Omit<RouteChange, 'field'> | undefined {
	return before === after ? undefined : {effect: after < before ? 'limited' : 'none', reason: `${name}: ${before} becomes ${after}`};
}

/** Compares priorities, of which 0 is the most urgent; undefined if they are the same. Where one is not given, calls may be less urgent than before. */
export function comparePriority(before: number | undefined, after: number | undefined): Omit<RouteChange, 'field'> | undefined {
	if (before === after) {
		return undefined;
	}

	const isLessUrgent = before === undefined || after === undefined || after > before;
	return {effect: isLessUrgent ? 'limited' : 'none', reason: `priority: ${before ?? 'that of the route'} becomes ${after ?? 'that of the route'}`};
}

/** Compares restrictions to regions; undefined if they permit the same regions. */
export function compareHomeRegions({homeRegions: before}: Pick<Route, 'homeRegions'>, {homeRegions: after}: Pick<Route, 'homeRegions'>): Omit<RouteChange, 'field'> | undefined {
	const [from, to] = [describeRegions(before), describeRegions(after)];
	if (from === to) {
		return undefined;
	}

	const permitted = new Set<string>(after ?? []);
	const isNarrower = after !== undefined && (before === undefined || before.some(region => !permitted.has(region)));
	return {effect: isNarrower ? 'moved' : 'none', reason: `calls may run in ${to} instead of ${from}`};
}

function describeRegions(regions: readonly string[] | undefined): string {
	if (!regions) {
		return 'all regions';
	}

	return regions.length === 0 ? 'no region' : [...new Set(regions)].toSorted().join(', ');
}

function compareFlag(before: boolean, after: boolean, [whenSet, whenCleared]: readonly [string, string], lossEffect: Effect): Omit<RouteChange, 'field'> | undefined {
	if (before === after) {
		return undefined;
	}

	return after ? {effect: 'served', reason: whenSet} : {effect: lossEffect, reason: whenCleared};
}

/** Calls that ran at most once may now run again; others are no longer repeated, or no longer passed on event by event. */
function compareKinds({kind: before}: Route, {kind: after}: Route): Omit<RouteChange, 'field'> | undefined {
	if (before === after) {
		return undefined;
	}

	const isLimited = after === 'once' || before === 'stream';
	return {effect: before === 'once' ? 'repeated' : (isLimited ? 'limited' : 'none'), reason: `kind ${before} becomes ${after}`};
}

function compareTargets({targets: before}: Route, {targets: after}: Route): Omit<RouteChange, 'field'> | undefined {
	const [from, to] = [describeShares(before), describeShares(after)];
	return from === to ? undefined : {effect: 'moved', reason: `calls go to ${to} instead of ${from}`};
}

/** Describes the shares of the services of a route, regardless of their order. */
function describeShares(targets: Route['targets']): string {
	const total = targets.reduce((sum, {weight}) => sum + weight, 0);
	const weights = new Map<string, number>();
	for (const {service, weight} of targets) {
		weights.set(service, (weights.get(service) ?? 0) + weight);
	}

	const shares = [...weights].filter(([, weight]) => weight > 0).toSorted(([a], [b]) => (a < b ? -1 : 1));
	return shares.length === 0
		? `service ${targets[0]!.service}`
		: shares.map(([service, weight]) => `service ${service}${weight === total ? '' : ` (${Number(((weight / total) * 100).toFixed(2))} %)`}`).join(', ');
}
