/** Finds entries of a configuration that no call can match. */
import type {Route} from '../directory/directory-types.ts';
import {isRefused} from '../forwarding/route-table.ts';
import type {CheckedConfiguration, GroupedFinding, Locate} from './configuration-finding.ts';
import {RouteIndex} from './route-index.ts';

/** Reasons why no call can have the host or the prefix of a route. */
const impossiblePlaces: ReadonlyArray<{readonly field: 'host' | 'prefix'; readonly pattern: RegExp; readonly reason: string}> = [
	{field: 'host', pattern: /:\d+$/, reason: 'has a port; hosts of calls are compared without their port'},
	{field: 'host', pattern: /^$/, reason: 'is empty'},
	{field: 'host', pattern: /[\s/]/, reason: 'has a character that no host has'},
	{field: 'prefix', pattern: /^[^/]/, reason: 'does not begin with a slash'},
	{field: 'prefix', pattern: /[?#\s]/, reason: 'has a character that no path has'},
];

/** Finds routes behind others, workspaces without keys, and services whose share of a route's calls is 0. */
export function findUnmatchedEntries(checked: CheckedConfiguration): GroupedFinding[] {
	const {configuration: {routes}, locate} = checked;
	const index = new RouteIndex(routes);
	return [
		...routes.flatMap((route, at) => [...findImpossiblePlaces(route, at, locate), ...findHidingRoute(route, at, index, locate)]),
		...routes.flatMap((route, at) => findZeroShares(route, at, locate)),
		...findWorkspacesWithoutKey(checked),
	];
}

/** A refused route stands for the calls that may belong to it, and an empty host or prefix of it could not be read. */
function findImpossiblePlaces(route: Route, at: number, locate: Locate): GroupedFinding[] {
	const found = isRefused(route) ? undefined : impossiblePlaces.find(({field, pattern}) => pattern.test(route[field]));
	return found ? [{group: 'never-matches', ...locate({part: 'route', at, field: found.field}), reason: `${found.reason}; no call matches the route`}] : [];
}

function findHidingRoute(route: Route, at: number, index: RouteIndex, locate: Locate): GroupedFinding[] {
	if (index.isReachable(route)) {
		return [];
	}

	const first = index.findRoute(route.host, route.prefix)!;
	const place = first.host === route.host && first.prefix === route.prefix ? 'the same host and prefix' : 'a host or prefix that cannot be read';
	return [{
		group: 'never-matches', ...locate({part: 'route', at, field: 'prefix'}), reason: `no call matches the route, since route ${JSON.stringify(first.name)} comes before it and has ${place}`,
	}];
}

/**
 * Finds services of a route that no call is sent to. `chooseTargetService` draws a whole number below the sum of the weights, so that a weight
 * may be too small for any of these numbers.
 */
function findZeroShares({targets}: Route, at: number, locate: Locate): GroupedFinding[] {
	if (targets.length < 2 && targets[0]?.weight !== 0) {
		return [];
	}

	const total = targets.reduce((sum, {weight}) => sum + weight, 0);
	const draws = Math.max(1, Math.round(total));
	let from = 0;
	return targets.flatMap(({service, weight}, index): GroupedFinding[] => {
		const firstDraw = Math.ceil(from);
		from += weight;
		const isChosen = (firstDraw < from && firstDraw < draws) || (total === 0 && index === 0);
		const reason = weight === 0 ? `weight 0: service ${service} gets no call` : `weight ${weight} of ${total}: service ${service} gets no call, since shares are drawn in whole numbers`;
		return isChosen ? [] : [{group: 'never-matches', ...locate({part: 'route', at, field: 'targets'}), reason}];
	});
}

function findWorkspacesWithoutKey({configuration, workspaces, locate}: CheckedConfiguration): GroupedFinding[] {
	const withoutKey = workspaces.flatMap(({name, keys}, at): GroupedFinding[] => (keys.length > 0
		? []
		: [{group: 'never-matches', ...locate({part: 'workspace', at, field: 'keys'}), reason: `workspace ${name} has no key, so that no call belongs to it`}]));
	return configuration.keys && Object.keys(configuration.keys).length === 0 ? [...withoutKey, ...findRoutesThatNeedKeys(configuration.routes, locate)] : withoutKey;
}

function findRoutesThatNeedKeys(routes: readonly Route[], locate: Locate): GroupedFinding[] {
	return routes.flatMap(({isPublic}, at): GroupedFinding[] => (isPublic
		? []
		: [{group: 'never-matches', ...locate({part: 'route', at}), reason: 'calls need a key, and no workspace has one; all calls of the route are refused'}]));
}
