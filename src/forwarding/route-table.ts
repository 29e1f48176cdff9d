/** Looks up the route of a call by host and longest path prefix, the holder of its API key, and services by name. */
import type {
	KeyHolder, PublishedConfiguration, Route, ServiceInfo,
} from '../directory/directory-types.ts';

/** Lookup tables of one published configuration. */
export class RouteTable {
	private readonly routesByHost = new Map<string, Route[]>();
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
			routes.sort((a, b) => b.prefix.length - a.prefix.length);
		}

		this.services = new Map(configuration.services.map(service => [service.name, service]));
		this.keyHolders = configuration.keys && new Map(Object.entries(configuration.keys));
	}

	/** Whether calls to non-public routes need an API key. */
	get needsKeys(): boolean {
		return this.keyHolders !== undefined;
	}

	/**
	 * Returns the route of the host with the longest matching path prefix.
	 *
	 * @param hostHeader - value of the `Host` header, with or without a port
	 * @param target - the request target, with or without a query
	 */
	findRoute(hostHeader: string, target: string): Route | undefined {
		const host = hostHeader.replace(/:\d+$/, '').toLowerCase();
		const path = target.split('?', 1)[0]!;
		return this.routesByHost.get(host)?.find(({prefix}) => path.startsWith(prefix));
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
