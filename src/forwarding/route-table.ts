/** Looks up the route of a call by host and longest path prefix, the holder of its API key, and services by name. */
import type {
	KeyHolder, PublishedConfiguration, Route, ServiceInfo,
} from '../directory/directory-types.ts';

/** Lookup tables of one published configuration. */
export class RouteTable {
	private readonly routesByHost = new Map<string, Route[]>();
	/** The routes without targets whose host is unknown: a call to any host may belong to them. */
	private readonly refusedAtAnyHost: readonly Route[];
	private readonly services: ReadonlyMap<string, ServiceInfo>;
	private readonly keyHolders: ReadonlyMap<string, KeyHolder> | undefined;

	/** @param configuration - the configuration in force */
	constructor(readonly configuration: PublishedConfiguration) {
		for (const route of configuration.routes) {
			const routes = this.routesByHost.get(route.host) ?? [];
			routes.push(route);
			this.routesByHost.set(route.host, routes);
		}

		for (const routes of this.routesByHost.values()) {
			routes.sort(compareRoutes);
		}

		this.refusedAtAnyHost = (this.routesByHost.get('') ?? []).filter(route => isRefused(route));

		this.services = new Map(configuration.services.map(service => [service.name, service]));
		this.keyHolders = configuration.keys && new Map(Object.entries(configuration.keys));
	}

	/** Whether calls to non-public routes need an API key. */
	get needsKeys(): boolean {
		return this.keyHolders !== undefined;
	}

	/**
	 * Returns the route of the host with the longest matching path prefix. Calls of a route without targets have to be refused; where its host
	 * or its prefix is empty because it could not be read, that route stands for all calls that may belong to it.
	 *
	 * @param hostHeader - value of the `Host` header, with or without a port
	 * @param target - the request target, with or without a query
	 */
	findRoute(hostHeader: string, target: string): Route | undefined {
		const host = hostHeader.replace(/:\d+$/, '').toLowerCase();
		const path = target.split('?', 1)[0]!;
		const route = this.routesByHost.get(host)?.find(({prefix}) => path.startsWith(prefix));
		const refused = this.refusedAtAnyHost.find(({prefix}) => path.startsWith(prefix));
		return refused && (!route || compareRoutes(refused, route) < 0) ? refused : route;
	}

	/**
	 * Returns the holder of an API key.
	 *
	 * @param key - the key that the caller sent
	 */
	findKeyHolder(key: string | undefined): KeyHolder | undefined {
		return key === undefined ? undefined : this.keyHolders?.get(key);
	}

	/** Returns the service with the given name. */
	findService(name: string): ServiceInfo | undefined {
		return this.services.get(name);
	}
}

/** Whether all calls of a route are refused, because it could not be decoded. */
export function isRefused({targets}: Route): boolean {
	return targets.length === 0;
}

/** Orders routes so that the one that a call belongs to comes first: longer prefixes, then routes whose calls are refused. */
export function compareRoutes(a: Route, b: Route): number {
	return prefixRank(b) - prefixRank(a) || Number(isRefused(b)) - Number(isRefused(a));
}

/** Returns the length of a prefix; one that could not be read may be longer than any other. */
function prefixRank(route: Route): number {
	return route.prefix === '' && isRefused(route) ? Number.MAX_SAFE_INTEGER : route.prefix.length;
}
