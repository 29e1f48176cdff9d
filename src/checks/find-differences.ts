/** Finds what changes for calls when a configuration replaces the one in force. */
import type {CallerLimits, Route} from '../directory/directory-types.ts';
import {compareCallRoutes, compareLimit, type RouteChange} from './compare-routes.ts';
import {compareServices} from './compare-services.ts';
import {compareWorkspaces} from './compare-workspaces.ts';
import type {CheckedConfiguration, GroupedFinding, Place} from './configuration-finding.ts';
import {RouteIndex} from './route-index.ts';

/** A configuration whose routes can be found by the calls that belong to them. */
type Side = CheckedConfiguration & {readonly index: RouteIndex; readonly reachable: ReadonlyMap<string, {readonly route: Route; readonly at: number}>};

const limitNames: Readonly<Record<keyof CallerLimits, string>> = {
	headerBytes: 'bytes of the headers of a call',
	bodyBytes: 'bytes of the body of a call',
	headerTimeoutMs: 'time for the headers of a call in ms',
	idleTimeoutMs: 'idle time of a connection in ms',
};

/**
 * Finds the differences by route, service, workspace and limit, with their effect.
 *
 * @param before - the configuration in force
 * @param after - the configuration that would replace it
 */
export function findDifferences(before: CheckedConfiguration, after: CheckedConfiguration): GroupedFinding[] {
	const differences = [
		...findRouteDifferences(createSide(before), createSide(after)),
		...compareServices(before, after),
		...compareWorkspaces(before, after),
		...findLimitDifferences(before, after),
	];
	return [...findVersionFault(before, after, differences.length > 0), ...differences];
}

/** Processes never return to an older version, and ignore a configuration with the version that they have. */
function findVersionFault({configuration: before}: CheckedConfiguration, {configuration: after, locate}: CheckedConfiguration, hasDifferences: boolean): GroupedFinding[] {
	const isIgnored = after.version < before.version || (after.version === before.version && hasDifferences);
	const reason = `version ${after.version} is not above ${before.version}, the one in force: processes do not take this configuration`;
	return isIgnored
		? [{
			group: 'difference', effect: 'ignored', ...locate({part: 'version'}), reason,
		}]
		: [];
}

function createSide(checked: CheckedConfiguration): Side {
	const {routes} = checked.configuration;
	const index = new RouteIndex(routes);
	const reachable = [...routes.entries()].filter(([, route]) => index.isReachable(route));
	return {...checked, index, reachable: new Map(reachable.map(([at, route]) => [placeKey(route), {route, at}]))};
}

/** Returns a text that only routes of the same host and prefix share. */
function placeKey({host, prefix}: Route): string {
	return JSON.stringify([host, prefix]);
}

function findRouteDifferences(before: Side, after: Side): GroupedFinding[] {
	const removed = [...before.reachable.values()].filter(({route}) => !after.reachable.has(placeKey(route)));
	return [
		...[...after.reachable.values()].flatMap(({route, at}) => describeKept(route, at, before, after)),
		...removed.flatMap(({route, at}) => describeRemoved(route, at, before, after)),
	];
}

/** Describes a route that is kept or new; calls of a new one may have belonged to a route with a shorter prefix. */
function describeKept(route: Route, at: number, before: Side, after: Side): GroupedFinding[] {
	const same = before.reachable.get(placeKey(route))?.route;
	const old = same ?? before.index.findRoute(route.host, route.prefix);
	const changes = compareCallRoutes(old, route);
	if (same) {
		return changes.map(change => toFinding(change, at, after, ': '));
	}

	return withoutName(changes, 'its calls are served as before').map(change =>
		toFinding(change, at, after, old ? ` is new, and takes calls of route ${JSON.stringify(old.name)}: ` : ' is new: '));
}

function describeRemoved(route: Route, at: number, before: Side, after: Side): GroupedFinding[] {
	const next = after.index.findRoute(route.host, route.prefix);
	return withoutName(compareCallRoutes(route, next), 'its calls are served as before').map(change =>
		toFinding(change, at, before, next ? ` is removed, and route ${JSON.stringify(next.name)} takes its calls: ` : ' is removed: '));
}

/** Leaves out that the names of two routes differ; if nothing else does, says so. */
function withoutName(changes: readonly RouteChange[], otherwise: string): RouteChange[] {
	const others = changes.filter(({field}) => field !== 'name').map(({effect, reason}): RouteChange => ({effect, reason}));
	return others.length === 0 ? [{effect: 'none', reason: otherwise}] : others;
}

function toFinding({field, effect, reason}: RouteChange, at: number, {locate, configuration}: Side, prefix: string): GroupedFinding {
	const place: Place = field === undefined ? {part: 'route', at} : {part: 'route', at, field};
	return {
		group: 'difference', effect, ...locate(place), reason: `route ${JSON.stringify(configuration.routes[at]!.name)}${prefix}${reason}`,
	};
}

function findLimitDifferences(before: CheckedConfiguration, after: CheckedConfiguration): GroupedFinding[] {
	return (Object.keys(limitNames) as Array<keyof CallerLimits>).flatMap((field): GroupedFinding[] => {
		const change = compareLimit(limitNames[field], before.configuration.limits[field], after.configuration.limits[field]);
		return change ? [{group: 'difference', ...after.locate({part: 'limit', field}), ...change}] : [];
	});
}
