/** Shared components of the entry and agent roles: configuration, membership and process metrics. */
import {ConfigurationManager} from '../configuration/configuration-manager.ts';
import {ConfigurationStore} from '../configuration/configuration-store.ts';
import {formatAddress, type ListenAddress} from '../links/http-listener.ts';
import {MembershipManager} from '../membership/membership-manager.ts';
import {ProcessMetrics} from '../reports/process-metrics.ts';
import {onSignal} from '../runtime/held-signals.ts';
import type {ProcessSettings} from '../settings/settings-schema.ts';
import {ProcessBase} from './process-base.ts';

/** A started process of any role. */
export type RunningProcess = {
	/** Shuts the process down gracefully. */
	readonly drain: () => Promise<void>;
};

/** The components that the entry and agent roles share. */
export class EntryAgentBase extends ProcessBase {
	readonly store = new ConfigurationStore();
	readonly configuration: ConfigurationManager;
	readonly membership: MembershipManager;
	private readonly processMetrics: ProcessMetrics;

	/** @param settings - the settings of the process, and the address of its control listener */
	constructor(private readonly settings: ProcessSettings & {readonly listen: {readonly control: ListenAddress}}) {
		super(settings.process);
		const {links, random, log, store} = this;
		const {vm, zone} = settings.process;
		const address = formatAddress(settings.listen.control);
		this.membership = new MembershipManager({
			own: {vm, zone, address}, links, rpc: this.rpc, random, log, listUrl: settings.platform.vms,
			isReader: () => this.configuration.isWatcher,
			onChange: changedVms => {
				void this.configuration.offer(changedVms);
			},
		});
		this.configuration = new ConfigurationManager({
			store,
			links,
			rpc: this.rpc,
			random,
			log,
			serviceUrl: settings.platform.configuration,
			self: {vm, zone, address},
			peers: () => this.membership.peers,
			list: this.membership.list,
		});
		this.metrics.gauge('cactusreach_configuration_revision', 'Revision of the configuration in force.', () => store.revision);
		this.processMetrics = new ProcessMetrics(this.metrics);
	}

	/** Starts membership and configuration, which are also refreshed after each pause of the process. */
	async start(): Promise<void> {
		this.pauseDetector.onResume(() => {
			void this.membership.refresh();
			void this.configuration.refresh();
		});
		onSignal('SIGHUP', () => {
			this.log.info({event: 'settings_not_reloaded'}, 'this role reads its settings only at the start');
		});
		await this.membership.start();
		void this.configuration.start();
	}

	/** Stops all components and closes the connections to other processes. */
	async stop(): Promise<void> {
		this.configuration.stop();
		this.membership.stop();
		this.pauseDetector.stop();
		this.processMetrics.stop();
		await this.links.close();
	}

	/** Returns the part of the state dump that both roles share. */
	dump(): Record<string, unknown> {
		const {vm, zone, region} = this.settings.process;
		return {
			vm,
			zone,
			region,
			incarnation: this.identity.incarnation,
			configuration: {
				revision: this.store.revision, digest: this.store.digest, findings: this.store.findings, ...this.configuration.state,
			},
			members: this.membership.members,
			list: this.membership.state,
		};
	}
}
