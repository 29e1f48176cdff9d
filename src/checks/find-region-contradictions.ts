/** Finds home regions that leave calls no place to run. */
import type {Instance, KeyHolder, Route} from '../directory/directory-types.ts';
import type {ServiceId} from '../ids/service-id.ts';
import type {CheckedConfiguration, GroupedFinding, RegionRestriction} from './configuration-finding.ts';

/** Number of workspaces that a finding names. */
const maxNamedWorkspaces = 3;

/** What is known of the deployment; each part is undefined if it is not known. */
export type KnownPlaces = {
	/** The region of each zone. */
	readonly regionByZone?: ReadonlyMap<string, string>;
	readonly instances?: ReadonlyArray<Pick<Instance, 'service' | 'zone' | 'isDraining'>>;
};

/** Restrictions that are equal, and the names of those that have them. */
type Restriction = {readonly regions: ReadonlySet<string>; readonly names: Set<string>};

/** Finds restrictions of routes and workspaces that have no region in common, regions without a zone, and services without an instance there. */
export function findRegionContradictions(checked: CheckedConfiguration, places: KnownPlaces): GroupedFinding[] {
	return [...findDisjointRegions(checked), ...findUnknownRegions(checked, places), ...findMissingInstances(checked, places)];
}

/** Compares each distinct restriction of routes with each one of workspaces: their number does not grow with the number of routes. */
function findDisjointRegions({configuration, locate}: CheckedConfiguration): GroupedFinding[] {
	const ofWorkspaces = groupRestrictions(Object.values(configuration.keys ?? {}).map((holder: KeyHolder) => ({...holder, name: holder.workspace})));
	const excludedBy = new Map<string, string[]>();
	return configuration.routes.flatMap((route: Route, at): GroupedFinding[] => {
		const key = restrictionKey(route);
		if (key === undefined) {
			return [];
		}

		let excluded = excludedBy.get(key);
		if (!excluded) {
			excluded = ofWorkspaces.filter(({regions}) => !route.homeRegions!.some(region => regions.has(region))).flatMap(({names}) => [...names]);
			excludedBy.set(key, excluded);
		}

		return excluded.length === 0
			? []
			: [{
				group: 'contradiction', ...locate({part: 'route', at, field: 'homeRegions'}), reason: `has no region in common with ${describeWorkspaces(excluded)}; their calls are refused`,
			}];
	});
}

function groupRestrictions(items: ReadonlyArray<RegionRestriction & {readonly name: string}>): Restriction[] {
	const restrictions = new Map<string, Restriction>();
	for (const item of items) {
		const key = restrictionKey(item);
		if (key !== undefined) {
			const restriction = restrictions.get(key) ?? {regions: new Set(item.homeRegions), names: new Set()};
			restriction.names.add(item.name);
			restrictions.set(key, restriction);
		}
	}

	return [...restrictions.values()];
}

/** Returns the same text for equal restrictions; undefined if there is none. */
function restrictionKey({homeRegions}: RegionRestriction): string | undefined {
	return homeRegions && JSON.stringify([...new Set(homeRegions)].toSorted());
}

function describeWorkspaces(names: readonly string[]): string {
	const more = names.length - maxNamedWorkspaces;
	return `workspace ${names.slice(0, maxNamedWorkspaces).join(', ')}${more > 0 ? ` and ${more} more` : ''}`;
}

function findUnknownRegions({configuration, workspaces, locate}: CheckedConfiguration, {regionByZone}: KnownPlaces): GroupedFinding[] {
	if (!regionByZone) {
		return [];
	}

	const known = new Set(regionByZone.values());
	const reasons = ({homeRegions = []}: RegionRestriction) => homeRegions.filter(region => !known.has(region)).map(region => `names region ${region} that no zone has; it permits nothing`);
	const ofWorkspace = new Map<string, KeyHolder>(Object.values(configuration.keys ?? {}).map(holder => [holder.workspace, holder]));
	return [
		...configuration.routes.flatMap((route: Route, at) => reasons(route)
			.map((reason): GroupedFinding => ({group: 'contradiction', ...locate({part: 'route', at, field: 'homeRegions'}), reason}))),
		...workspaces.flatMap(({name}, at) => reasons(ofWorkspace.get(name) ?? {})
			.map((reason): GroupedFinding => ({group: 'contradiction', ...locate({part: 'workspace', at, field: 'homeRegions'}), reason}))),
	];
}

function findMissingInstances({configuration, locate}: CheckedConfiguration, {regionByZone, instances}: KnownPlaces): GroupedFinding[] {
	if (!regionByZone || !instances) {
		return [];
	}

	const regionsByService = new Map<ServiceId, Set<string>>();
	for (const {service, zone, isDraining} of instances) {
		const region = regionByZone.get(zone);
		if (region !== undefined && !isDraining) {
			regionsByService.set(service, (regionsByService.get(service) ?? new Set()).add(region));
		}
	}

	return configuration.routes.flatMap(({homeRegions, targets}: Route, at) => targets
		.filter(({service}) => homeRegions && !homeRegions.some(region => regionsByService.get(service)?.has(region)))
		.map(({service}): GroupedFinding => ({
			group: 'contradiction', ...locate({part: 'route', at, field: 'homeRegions'}), reason: `service ${service} has no instance in ${homeRegions!.join(', ')}; its calls are refused`,
		})));
}
