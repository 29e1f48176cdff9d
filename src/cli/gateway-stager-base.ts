/** Shared components of the gateway and stager roles: directory, peer group, and reloading of the settings. */
import {watchFile, unwatchFile} from 'node:fs';
import {Directory} from '../directory/directory.ts';
import type {DirectoryPart, DirectorySource} from '../directory/directory-types.ts';
import {formatAddress, type ListenAddress} from '../links/http-listener.ts';
import type {PeerClient} from '../links/peer-client.ts';
import {type PeerInfo, peersExchangeMethod, peersExchangeSchema} from '../messages/peers-exchange.ts';
import {DatagramPort} from '../links/datagram-port.ts';
import {DirectoryReplica} from '../peers/directory-replica.ts';
import type {PeerList} from '../peers/peer-list.ts';
import {ElapsedClock} from '../runtime/elapsed-clock.ts';
import {addResourceMetrics} from '../reports/process-metrics.ts';
import {onSignal} from '../runtime/held-signals.ts';
import {type Logger, logSink} from '../runtime/logger.ts';
import type {GatewaySettings, StagerSettings} from '../settings/direct-settings.ts';
import {InvalidSettingsError} from '../settings/parse-settings.ts';
import {ProcessBase} from './process-base.ts';

/** The interval of the checks for a changed settings file, in milliseconds, because the file may change without a SIGHUP. */
const settingsCheckIntervalMs = 2000;

const msPerSecond = 1000;

/** The settings that both roles share. */
export type GatewayStagerSettings = Pick<GatewaySettings | StagerSettings, 'process' | 'peers' | 'directory'>;

/** What distinguishes a role for the shared components. */
export type GatewayStagerRole = {
	readonly role: PeerInfo['role'];
	readonly control: ListenAddress;
	/** The address at which the process receives datagrams; all processes use the same port number. */
	readonly datagrams: ListenAddress;
	readonly service?: string;
	/** The parts of the directory that the role watches at the source, if it is its duty. */
	readonly parts: readonly DirectoryPart[];
	/** What the role accepts from gateways: the whole directory, or only the services. */
	readonly pulledParts: 'directory' | 'services';
};

/** Creates the platform's adapter of the directory source. `address` returns the address in the current settings. */
export type CreateSource = (links: PeerClient, address: () => string, log: Logger) => DirectorySource;

/** The settings file, and the function that reads and validates it. */
export type SettingsSource<Settings> = {readonly file: string; readonly read: () => Settings};

/** The components that the gateway and stager roles share. */
export class GatewayStagerBase<Settings extends GatewayStagerSettings> extends ProcessBase {
	readonly directory: Directory;
	readonly source: DirectorySource;
	/** The other processes. */
	readonly peers: PeerList;
	readonly datagrams: DatagramPort;
	settings: Settings;
	private readonly replica: DirectoryReplica;
	private readonly datagramAddress: ListenAddress;
	private stopReloading: (() => void) | undefined;

	/**
	 * @param role - describes the role, given its settings
	 */
	constructor(private readonly settingsSource: SettingsSource<Settings>, role: (settings: Settings) => GatewayStagerRole, createSource: CreateSource) {
		const settings = settingsSource.read();
		const {process: own} = settings;
		super(own);
		this.settings = settings;
		this.directory = new Directory(this.log, new ElapsedClock(() => this.pauseDetector.maxMessageDelayMs));
		const {links, directory, random, log} = this;
		this.source = createSource(links, () => formatAddress(this.settings.directory.address), this.log);
		const {role: name, control, datagrams: datagramAddress, service, parts, pulledParts} = role(this.settings);
		this.datagramAddress = datagramAddress;
		const self: PeerInfo = {
			vm: own.vm, startedAtMs: this.identity.startedAtMs, role: name, zone: own.zone, region: own.region, address: formatAddress(control), ...(service === undefined ? {} : {service}),
		};
		this.datagrams = new DatagramPort(log);
		this.replica = new DirectoryReplica({
			self, directory, source: this.source, parts, pulledParts, seeds: () => this.settings.peers.seeds, links, datagrams: this.datagrams, port: datagramAddress.port, random, log, clock: this.pauseDetector,
		});
		this.peers = this.replica.peers;
		this.rpc.method(peersExchangeMethod, peersExchangeSchema, params => this.replica.handleExchange(params));
		this.addMetrics();
	}

	/** Whether this process reads and watches the source of the directory. */
	get isWatching(): boolean {
		return this.replica.isWatching;
	}

	/** How long ago it was last known that the directory lacks nothing, in milliseconds. */
	get directoryAgeMs(): number {
		return this.replica.ageMs;
	}

	/** Starts receiving datagrams, watching the directory source, exchanging state with peers, and reloading changed settings. */
	async start(): Promise<void> {
		await this.datagrams.start(this.datagramAddress);
		this.pauseDetector.onResume(gapMs => {
			this.log.warn({event: 'process_paused', gapMs: Math.round(gapMs)}, 'the process was paused');
			this.replica.catchUp();
		});
		this.directory.clock.onJump(jumpMs => {
			this.log.warn({event: 'clock_jumped', jumpMs: Math.round(jumpMs)}, 'the wall clock jumped against the monotonic clock: it was set, or the VM was suspended');
			this.replica.catchUp();
		});
		this.pauseDetector.onTick(() => {
			this.directory.clock.check();
		});
		this.pauseDetector.onDelay(delayMs => {
			this.log.warn({event: 'event_loop_delayed', delayMs: Math.round(delayMs)}, 'the event loop ran late, and so did timers and messages');
		});
		this.replica.start();
		this.stopReloading = onSignal('SIGHUP', this.reload);
		watchFile(this.settingsSource.file, {interval: settingsCheckIntervalMs, persistent: false}, this.reload);
	}

	/** Stops all components, and writes the last log lines. */
	async stop(): Promise<void> {
		this.stopReloading?.();
		unwatchFile(this.settingsSource.file);
		this.replica.stop();
		this.pauseDetector.stop();
		this.datagrams.close();

		await this.links.close();
		this.log.info({event: 'process_stopped'}, 'process stopped');
		await logSink.drain();
	}

	/** Returns the part of the state dump that both roles share. */
	dump(): Record<string, unknown> {
		const {directory, peers, settings} = this;
		return {
			vm: settings.process.vm,
			incarnation: this.identity.incarnation,
			configurationVersion: directory.configurationVersion,
			instancesRevision: directory.instancesRevision,
			storeEra: directory.era,
			versions: Object.fromEntries(directory.versions),
			instances: directory.instances,
			peers: peers.others,
			isWatching: this.isWatching,
		};
	}

	private readonly reload = (): void => {
		try {
			this.settings = this.settingsSource.read();
			this.log.level(this.settings.process.log_level);
			this.log.info({event: 'settings_reloaded', seeds: this.settings.peers.seeds}, 'settings reloaded');
		} catch (err) {
			const findings = err instanceof InvalidSettingsError ? err.findings : undefined;
			this.log.error({event: 'settings_refused', err, findings}, 'the changed settings are invalid; the current settings stay in effect');
		}
	};

	private addMetrics(): void {
		const {metrics, directory, peers} = this;
		addResourceMetrics(metrics);
		metrics.gauge('cactusreach_configuration_version', 'Version of the configuration in force.', () => directory.configurationVersion);
		metrics.gauge('cactusreach_store_era', 'Highest era of the directory source that this process has learned of.', () => directory.era);
		metrics.gauge('cactusreach_instances', 'Instances that may be alive.', () => directory.instances.length);
		metrics.gauge('cactusreach_watches_source', '1 while this process watches the directory source.', () => Number(this.isWatching));
		metrics.gauge('cactusreach_directory_age_seconds', 'How long ago another process last confirmed that the directory lacks nothing.', () => this.replica.ageMs / msPerSecond);
		metrics.gauge('cactusreach_peers', 'Other processes that are known.', () => peers.others.length);
		metrics.gauge('cactusreach_event_loop_stalled_seconds_total', 'Time in which the event loop did not run when its timer was due.', () => this.pauseDetector.totalStalledMs / msPerSecond);
		metrics.gauge('cactusreach_log_lines_dropped_total', 'Log lines that were dropped.', () => logSink.dropped);
	}
}
