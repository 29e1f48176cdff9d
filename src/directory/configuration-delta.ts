/** The difference between two configurations, so that a change of one route does not send and validate thousands of others again. */
import type {PublishedConfiguration, Route} from './directory-types.ts';

/** What changed from the configuration `base` to `version`. Everything but the routes is small and sent as a whole. */
export type ConfigurationDelta = Omit<PublishedConfiguration, 'routes'> & {
	readonly base: number;
	/** Routes that are new or changed. */
	readonly changedRoutes: readonly Route[];
	/** Names of the routes that are gone. */
	readonly removedRoutes: readonly string[];
};

/** Number of earlier configurations that are kept, to send the difference to processes that have one of them. */
const maxRecentConfigurations = 6;

/** The latest configurations that were in force. */
export class RecentConfigurations {
	private readonly items: PublishedConfiguration[] = [];

	/** Adds a configuration that another one replaces. */
	add(configuration: PublishedConfiguration): void {
		this.items.push(configuration);
		this.items.splice(0, this.items.length - maxRecentConfigurations);
	}

	/** Returns the difference from a version to a configuration; undefined if the version is not kept. */
	createDelta(version: number, to: PublishedConfiguration): ConfigurationDelta | undefined {
		const base = this.items.find(item => item.version === version);
		return base && createDelta(base, to);
	}
}

/**
 * Returns the difference between two configurations; undefined if route names are not unique, so that a route cannot be told by its name.
 *
 * Routes count as unchanged if they are the same object; see `PublishedDecoder` and {@link applyDelta}, which keep unchanged ones.
 */
export function createDelta(from: PublishedConfiguration, to: PublishedConfiguration): ConfigurationDelta | undefined {
	const before = new Map(from.routes.map(route => [route.name, route]));
	const after = new Set(to.routes.map(({name}) => name));
	if (before.size !== from.routes.length || after.size !== to.routes.length) {
		return undefined;
	}

	const {routes, ...rest} = to;
	return {
		...rest,
		base: from.version,
		changedRoutes: routes.filter(route => before.get(route.name) !== route),
		removedRoutes: [...before.keys()].filter(name => !after.has(name)),
	};
}

/** Returns the configuration that results from a difference; the routes that it does not name stay the same objects. */
export function applyDelta(base: PublishedConfiguration, {base: _, changedRoutes, removedRoutes, ...rest}: ConfigurationDelta): PublishedConfiguration {
	const replaced = new Set([...removedRoutes, ...changedRoutes.map(({name}) => name)]);
	return {...rest, routes: [...base.routes.filter(({name}) => !replaced.has(name)), ...changedRoutes]};
}
