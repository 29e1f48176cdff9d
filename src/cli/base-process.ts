/** What entry and agent share: identity, configuration, membership, control listener and drain. */
import {ConfigurationManager} from '../configuration/configuration-manager.ts';
import {ConfigurationStore} from '../configuration/configuration-store.ts';
import {formatAddress, type ListenAddress} from '../links/http-listener.ts';
import {PeerClient} from '../links/peer-client.ts';
import {RpcDispatcher} from '../links/rpc-dispatcher.ts';
import {MembershipManager} from '../membership/membership-manager.ts';
import {Metrics} from '../reports/metrics.ts';
import {ProcessMetrics} from '../reports/process-metrics.ts';
import {createLogger, type Logger} from '../runtime/logger.ts';
import {createIdentity} from '../runtime/process-identity.ts';
import {RandomSource, randomSeed} from '../runtime/random-source.ts';
import {WakeDetector} from '../runtime/wake-detector.ts';
import type {ProcessSettings} from '../settings/settings-schema.ts';

/** A running system process. */
export type RunningProcess = {
	/** Finishes what is in progress and ends. */
	readonly drain: () => Promise<void>;
};

/** The parts that both roles are built on. */
export class BaseProcess {
	readonly identity = createIdentity();
	readonly links = new PeerClient();
	readonly rpc = new RpcDispatcher();
	readonly metrics = new Metrics();
	readonly wake = new WakeDetector();
	readonly store = new ConfigurationStore();
	readonly log: Logger;
	readonly random: RandomSource;
	readonly configuration: ConfigurationManager;
	readonly membership: MembershipManager;
	private readonly processMetrics: ProcessMetrics;

	/** @param settings - the settings that both roles share */
	constructor(private readonly settings: ProcessSettings & {readonly listen: {readonly control: ListenAddress}}) {
		this.log = createLogger(settings.process.vm, settings.process.log_level);
		this.random = new RandomSource(settings.process.random_seed ?? randomSeed());
		const {links, random, log, store} = this;
		const {vm, zone} = settings.process;
		const address = formatAddress(settings.listen.control);
		this.membership = new MembershipManager({
			own: {vm, zone, address}, links, rpc: this.rpc, random, log, listUrl: settings.platform.vms,
			isReader: () => this.configuration.isWatcher,
			onChange: told => {
				void this.configuration.offer(told);
			},
		});
		this.configuration = new ConfigurationManager({
			store,
			links,
			rpc: this.rpc,
			random,
			log,
			serviceUrl: settings.platform.configuration,
			own: {vm, zone, address},
			peers: () => this.membership.peers,
			list: this.membership.list,
		});
		this.metrics.gauge('cactusreach_configuration_revision', 'Revision of the configuration in force.', () => store.revision);
		this.processMetrics = new ProcessMetrics(this.metrics);
	}

	/** Starts membership and configuration. */
	async start(): Promise<void> {
		this.wake.onWake(() => {
			void this.membership.refresh();
			void this.configuration.refresh();
		});
		await this.membership.start();
		void this.configuration.start();
	}

	/** Stops membership, configuration and links. */
	async stop(): Promise<void> {
		this.configuration.stop();
		this.membership.stop();
		this.wake.stop();
		this.processMetrics.stop();
		await this.links.close();
	}

	/** Returns the part of the state dump that both roles have. */
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
