/** Finds the route of a call like `RouteTable`, without going through all routes of a host for each call. */
import type {Route} from '../directory/directory-types.ts';
import {compareRoutes, isRefused} from '../forwarding/route-table.ts';

/** The routes of one host by prefix. */
class HostRoutes {
	private readonly byPrefix = new Map<string, Route>();
	private lengths: readonly number[] | undefined;
	/** A refused route whose prefix could not be read: it comes before all others. */
	private withoutPrefix: Route | undefined;

	add(route: Route): void {
		if (route.prefix === '' && isRefused(route)) {
			this.withoutPrefix ??= route;
			return;
		}

		const other = this.byPrefix.get(route.prefix);
		if (!other || compareRoutes(route, other) < 0) {
			this.byPrefix.set(route.prefix, route);
			this.lengths = undefined;
		}
	}

	findByPath(path: string): Route | undefined {
		if (this.withoutPrefix) {
			return this.withoutPrefix;
		}

		this.lengths ??= [...new Set([...this.byPrefix.keys()].map(prefix => prefix.length))].toSorted((a, b) => b - a);
		for (const length of this.lengths) {
			const route = length <= path.length ? this.byPrefix.get(path.slice(0, length)) : undefined;
			if (route) {
				return route;
			}
		}

		return undefined;
	}
}

/** The routes of a configuration by host and prefix. */
export class RouteIndex {
	private readonly hosts = new Map<string, HostRoutes>();
	private readonly refusedAtAnyHost = new HostRoutes();

	constructor(routes: readonly Route[]) {
		for (const route of routes) {
			this.add(route);
		}
	}

	/**
	 * Returns the route that a call belongs to.
	 *
	 * @param host - the host in lower case, without a port
	 * @param path - the path, without a query
	 */
	findRoute(host: string, path: string): Route | undefined {
		const route = this.hosts.get(host)?.findByPath(path);
		const refused = this.refusedAtAnyHost.findByPath(path);
		return refused && (!route || compareRoutes(refused, route) < 0) ? refused : route;
	}

	/** Whether there is a call that belongs to a route: a call whose path is its prefix, since all its other paths begin with that. */
	isReachable(route: Route): boolean {
		return this.findRoute(route.host, route.prefix) === route;
	}

	private add(route: Route): void {
		let routes = this.hosts.get(route.host);
		if (!routes) {
			routes = new HostRoutes();
			this.hosts.set(route.host, routes);
		}

		routes.add(route);
		if (route.host === '' && isRefused(route)) {
			this.refusedAtAnyHost.add(route);
		}
	}
}
