/** Finds the route of a call by host and longest prefix, and the holder of its key. */
import type {
	KeyHolder, PublishedConfiguration, Route, ServiceInfo,
} from '../directory/directory-types.ts';

/** The lookups of one configuration. */
export class RouteTable {
	private readonly routesByHost = new Map<string, Route[]>();
	private readonly services: ReadonlyMap<string, ServiceInfo>;
	private readonly keyHolders: ReadonlyMap<string, KeyHolder> | undefined;

	/** @param configuration - what is in force */
	constructor(readonly configuration: PublishedConfiguration) {
		for (const route of configuration.routes) {
			const routes = this.routesByHost.get(route.host) ?? [];
			routes.push(route);
			this.routesByHost.set(route.host, routes);
		}

		for (const routes of this.routesByHost.values()) {
			routes.sort((a, b) => b.prefix.length - a.prefix.length);
		}

		this.services = new Map(configuration.services.map(service => [service.name, service]));
		this.keyHolders = configuration.keys && new Map(Object.entries(configuration.keys));
	}

	/** Whether calls of routes that are not public need a key. */
	get needsKeys(): boolean {
		return this.keyHolders !== undefined;
	}

	/**
	 * Returns the route with the longest prefix that begins the path.
	 *
	 * @param hostHeader - the host that the caller named, with or without a port
	 * @param target - the request target, with or without a query
	 */
	findRoute(hostHeader: string, target: string): Route | undefined {
		const host = hostHeader.replace(/:\d+$/, '').toLowerCase();
		const path = target.split('?', 1)[0]!;
		return this.routesByHost.get(host)?.find(({prefix}) => path.startsWith(prefix));
	}

	/**
	 * Returns the holder of a key.
	 *
	 * @param key - what the caller sent
	 */
	findKeyHolder(key: string | undefined): KeyHolder | undefined {
		return key === undefined ? undefined : this.keyHolders?.get(key);
	}

	/**
	 * Returns a service.
	 *
	 * @param name - its name
	 */
	findService(name: string): ServiceInfo | undefined {
		return this.services.get(name);
	}
}
