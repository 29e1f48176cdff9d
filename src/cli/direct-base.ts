/** What gateway and stager share: identity, links, directory, group, control listener and reload. */
import {watchFile, unwatchFile} from 'node:fs';
import process from 'node:process';
import {Directory} from '../directory/directory.ts';
import type {DirectoryPart, DirectorySource} from '../directory/directory-types.ts';
import {DirectoryWatcher} from '../directory/directory-watcher.ts';
import {formatAddress, type ListenAddress} from '../links/http-listener.ts';
import type {PeerClient} from '../links/peer-client.ts';
import {type PeerInfo, peersExchangeMethod, peersExchangeSchema} from '../messages/peers-exchange.ts';
import {PeerGroup} from '../peers/peer-group.ts';
import {logSink} from '../runtime/logger.ts';
import type {GatewaySettings, StagerSettings} from '../settings/direct-settings.ts';
import {InvalidSettingsError} from '../settings/parse-settings.ts';
import {ProcessCore} from './process-core.ts';

/** How often the settings file is looked at, in milliseconds; it may change without a signal. */
const settingsCheckMs = 2000;

/** Settings that both roles share. */
export type DirectSettings = Pick<GatewaySettings | StagerSettings, 'process' | 'peers' | 'directory'>;

/** What a role says of itself. */
export type DirectRole = {
	readonly role: PeerInfo['role'];
	readonly control: ListenAddress;
	readonly service?: string;
	/** Parts of the directory that the role watches itself. */
	readonly parts: readonly DirectoryPart[];
	readonly pulledParts: 'directory' | 'services';
};

/** Creates the adapter of the directory's source. */
export type CreateSource = (links: PeerClient, address: () => string) => DirectorySource;

/** Where settings are read from, and how. */
export type SettingsSource<Settings> = {readonly file: string; readonly read: () => Settings};

/** The parts that both roles are built on. */
export class DirectBase<Settings extends DirectSettings> extends ProcessCore {
	readonly directory: Directory;
	readonly source: DirectorySource;
	readonly watchers: readonly DirectoryWatcher[];
	readonly group: PeerGroup;
	settings: Settings;

	/**
	 * @param settingsSource - where settings are read from
	 * @param role - what the role says of itself
	 * @param createSource - creates the adapter of the directory's source
	 */
	constructor(private readonly settingsSource: SettingsSource<Settings>, role: (settings: Settings) => DirectRole, createSource: CreateSource) {
		const settings = settingsSource.read();
		const {process: own} = settings;
		super(own);
		this.settings = settings;
		this.directory = new Directory(this.log);
		const {links, directory, random, log} = this;
		this.source = createSource(links, () => formatAddress(this.settings.directory.address));
		const {role: name, control, service, parts, pulledParts} = role(this.settings);
		this.watchers = parts.map(part => new DirectoryWatcher({
			part, source: this.source, directory, random, log,
		}));
		this.group = new PeerGroup({
			self: {
				vm: own.vm, startedAtMs: this.identity.startedAtMs, role: name, zone: own.zone, region: own.region, address: formatAddress(control), ...(service === undefined ? {} : {service}),
			},
			seeds: () => this.settings.peers.seeds,
			links,
			directory,
			random,
			log,
			pulledParts,
			isSourceFailing: () => this.watchers.some(watcher => watcher.isFailing),
		});
		this.rpc.method(peersExchangeMethod, peersExchangeSchema, params => this.group.handleExchange(params));
		this.addMetrics();
	}

	/** Starts to watch, to exchange and to follow the settings. */
	start(): void {
		this.wake.onWake(gapMs => {
			this.log.warn({event: 'process_paused', gapMs: Math.round(gapMs)}, 'the process was paused');
			for (const watcher of this.watchers) {
				watcher.restart();
			}
		});
		for (const watcher of this.watchers) {
			watcher.start();
		}

		this.group.start();
		process.on('SIGHUP', this.reload);
		watchFile(this.settingsSource.file, {interval: settingsCheckMs, persistent: false}, this.reload);
	}

	/** Stops all parts. */
	async stop(): Promise<void> {
		process.off('SIGHUP', this.reload);
		unwatchFile(this.settingsSource.file);
		this.group.stop();
		this.wake.stop();
		for (const watcher of this.watchers) {
			watcher.stop();
		}

		await this.links.close();
		this.log.info({event: 'process_stopped'}, 'process stopped');
		await logSink.drain();
	}

	/** Returns the part of the state dump that both roles have. */
	dump(): Record<string, unknown> {
		const {directory, group, settings} = this;
		return {
			vm: settings.process.vm,
			incarnation: this.identity.incarnation,
			configurationVersion: directory.configurationVersion,
			instancesRevision: directory.instancesRevision,
			versions: Object.fromEntries(directory.versions),
			instances: directory.instances,
			peers: group.others,
		};
	}

	private readonly reload = (): void => {
		try {
			this.settings = this.settingsSource.read();
			this.log.level(this.settings.process.log_level);
			this.log.info({event: 'settings_reloaded', seeds: this.settings.peers.seeds}, 'settings reloaded');
		} catch (err) {
			const findings = err instanceof InvalidSettingsError ? err.findings : undefined;
			this.log.error({event: 'settings_refused', err, findings}, 'changed settings are not valid; the present ones stay in force');
		}
	};

	private addMetrics(): void {
		const {metrics, directory, group} = this;
		metrics.gauge('cactusreach_configuration_version', 'Version of the configuration in force.', () => directory.configurationVersion);
		metrics.gauge('cactusreach_instances', 'Instances that may be alive.', () => directory.instances.length);
		metrics.gauge('cactusreach_peers', 'Other processes that are known.', () => group.others.length);
		metrics.gauge('cactusreach_log_lines_dropped_total', 'Log lines that were dropped.', () => logSink.dropped);
	}
}
