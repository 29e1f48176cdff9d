/** The published configuration that is in force, and what another process lacks of it. */
import {RouteTable} from '../forwarding/route-table.ts';
import type {Logger} from '../runtime/logger.ts';
import {applyDelta, type ConfigurationDelta, RecentConfigurations} from './configuration-delta.ts';
import type {PublishedConfiguration} from './directory-types.ts';

/** The part of a message between processes that tells of the configuration. */
export type ConfigurationPart = {
	/** The whole configuration, if the requesting process does not have a recent one. */
	readonly configuration?: PublishedConfiguration | undefined;
	/** Otherwise what changed since the one that it has. */
	readonly configurationDelta?: ConfigurationDelta | undefined;
};

/** Holds the configuration of the highest version; it never goes back to a lower one, whatever the era of the source. */
export class ConfigurationInForce {
	/** The route table; undefined before the first configuration. */
	table: RouteTable | undefined;
	private readonly recent = new RecentConfigurations();

	/** @param onChange - called with each new configuration */
	constructor(private readonly log: Logger, private readonly onChange: () => void) {}

	/** The version; 0 before the first configuration. */
	get version(): number {
		return this.table?.configuration.version ?? 0;
	}

	/** Puts a configuration in force if its version is higher. */
	set(configuration: PublishedConfiguration, from: string): void {
		const before = this.version;
		if (configuration.version > before) {
			if (this.table) {
				this.recent.add(this.table.configuration);
			}

			this.table = new RouteTable(configuration);
			this.onChange();
			this.log.info({
				event: 'configuration_taken', version: configuration.version, before, from, routes: configuration.routes.length,
			}, 'applied a new configuration');
		} else if (configuration.version < before) {
			this.log.warn({
				event: 'configuration_refused', version: configuration.version, inForce: before, from,
			}, 'ignoring an older configuration');
		}
	}

	/** Takes what another process has told. */
	merge({configuration, configurationDelta}: ConfigurationPart): void {
		if (configuration) {
			this.set(configuration, 'peer');
		} else if (configurationDelta?.base === this.version) {
			this.set(applyDelta(this.table!.configuration, configurationDelta), 'peer');
		}
	}

	/** Returns the configuration if it is newer than a version: what changed since, or the whole. */
	since(version: number): ConfigurationPart {
		const current = this.table?.configuration;
		if (!current || current.version <= version) {
			return {};
		}

		const delta = this.recent.createDelta(version, current);
		return delta ? {configurationDelta: delta} : {configuration: current};
	}

	/** Returns the services of the configuration if it is newer than a version, without routes and keys. */
	servicesSince(version: number): ConfigurationPart {
		const current = this.table?.configuration;
		if (!current || current.version <= version) {
			return {};
		}

		const {limits, services} = current;
		return {
			configuration: {
				version: current.version, limits, services, routes: [],
			},
		};
	}
}
