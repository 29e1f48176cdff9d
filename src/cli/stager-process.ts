/** The stager role: downloads the published versions of the weights and loads them into the engine on the same VM. */
import VError from 'verror';
import type {Directory} from '../directory/directory.ts';
import type {EngineTiming, OriginInfo} from '../directory/directory-types.ts';
import {formatAddress, HttpListener} from '../links/http-listener.ts';
import type {PeerClient} from '../links/peer-client.ts';
import {RequestDeadline} from '../links/request-deadline.ts';
import {processLimitsFor} from '../limits/process-limits.ts';
import {manifestGetMethod, manifestGetParamsSchema, type PeerInfo} from '../messages/peers-exchange.ts';
import {rolloutHaveMethod, rolloutHaveParamsSchema} from '../messages/rollout-have.ts';
import {serveCallCounter} from '../peers/call-counter-listener.ts';
import {serveStartClaims} from '../peers/start-claim-listener.ts';
import {EngineStateSender} from '../peers/engine-state-sender.ts';
import {NoticeDatagrams} from '../peers/notice-datagrams.ts';
import {addListenerMetrics} from '../reports/client-metrics.ts';
import {createControlRoutes} from '../reports/control-routes.ts';
import {ChunkStore} from '../rollout/chunk-store.ts';
import {
	findManifestFault, type Manifest, manifestSchema, parseManifest,
} from '../rollout/manifest.ts';
import {TransferNode} from '../rollout/transfer-node.ts';
import type {OriginChunk, TransferOptions} from '../rollout/transfer-options.ts';
import {TransferPacer} from '../rollout/transfer-pacer.ts';
import {bufferGarbage} from '../runtime/buffer-garbage.ts';
import {monotonicClock} from '../runtime/pause-detector.ts';
import type {StagerSettings} from '../settings/direct-settings.ts';
import type {LocalEngine, WeightOrigin} from '../staging/local-engine.ts';
import {ManifestFetcher, type ManifestQuery} from '../staging/manifest-fetcher.ts';
import {
	downloadLimits, maxOriginBackoffMs, maxSourceBackoffMs, noticeLimits, transferLimits, uploadBurstMs,
} from '../staging/stager-limits.ts';
import {StagingManager} from '../staging/staging-manager.ts';
import type {RunningProcess} from './entry-agent-base.ts';
import {type CreateSource, GatewayStagerBase, type SettingsSource} from './gateway-stager-base.ts';

/** Bytes per second in one megabit per second. */
const bytesPerMegabit = 125_000;

/** The share of the link that transfers may use while the engine sends no responses. Headers take the rest. */
const idleLinkShare = 0.97;

/** The timeout of a request for a manifest to a peer, in milliseconds. */
const peerManifestTimeoutMs = 700;

/** The interval between two reads of the published services from the source while no gateway has sent them, in milliseconds. */
const serviceReadIntervalMs = 2500;

/** The mean time after the start for which a stager waits for a gateway to send the published services before it reads them from the source, in milliseconds; after a power failure, all stagers start at once. */
const firstServiceReadDelayMs = 300;

/** The functions of the platform adapter that a stager needs. */
export type StagerAdapter = {
	readonly createSource: CreateSource;
	readonly createEngine: (links: PeerClient, address: string) => LocalEngine;
	readonly createOrigin: (links: PeerClient) => WeightOrigin;
};

/**
 * Starts a stager.
 *
 * @param settingsSource - reads the settings, at the start and when they change
 */
export async function startStager(settingsSource: SettingsSource<StagerSettings>, adapter: StagerAdapter): Promise<RunningProcess> {
	const stager = new StagerProcess(settingsSource, adapter);
	await stager.start();
	return stager;
}

/** The stagers of one service among the known processes. */
type StagerGroup = {
	/** The list of all other processes that the group was taken from. */
	readonly processes: readonly PeerInfo[];
	readonly others: readonly PeerInfo[];
	/** The VMs of all stagers of the service, including this one. */
	readonly vms: readonly string[];
};

/** Creates, connects, starts and stops the components of a stager. */
class StagerProcess implements RunningProcess {
	private readonly base: GatewayStagerBase<StagerSettings>;
	private readonly chunks = new ChunkStore();
	private readonly origin: WeightOrigin;
	private readonly node: TransferNode;
	private readonly notices: NoticeDatagrams;
	private readonly staging: StagingManager;
	private readonly control: HttpListener;
	private readonly manifests: ManifestFetcher<PeerInfo>;
	private stagerGroup: StagerGroup | undefined;
	private serviceReadTimer: NodeJS.Timeout | undefined;

	constructor(settingsSource: SettingsSource<StagerSettings>, adapter: StagerAdapter) {
		bufferGarbage.enable();
		this.base = new GatewayStagerBase(settingsSource, ({listen, engine, peers}) => ({
			role: 'stager', control: listen.control, datagrams: {host: listen.control.host, port: peers.datagram_port}, service: engine.service, parts: ['versions'], pulledParts: 'services',
		}), adapter.createSource);
		const {links, log, random, directory, settings, pauseDetector, peers} = this.base;
		this.origin = adapter.createOrigin(links);
		this.node = new TransferNode(this.transferOptions(), held => {
			log.info({event: 'version_held', model: held.model, version: held.version}, 'all chunks of a version are held');
		});
		this.notices = new NoticeDatagrams(this.base.datagrams, settings.peers.datagram_port, params => this.node.handleNotice(params));
		const sender = new EngineStateSender(this.base.datagrams, () => peers.others.filter(({role}) => role === 'gateway'), settings.peers.datagram_port);
		pauseDetector.onResume(() => {
			this.node.wake();
		});
		this.staging = new StagingManager({
			vm: settings.process.vm,
			clock: pauseDetector,
			publishedService: () => findPlan(directory, settings.engine.service),
			directory,
			engine: adapter.createEngine(links, formatAddress(settings.engine.address)),
			chunks: this.chunks,
			node: this.node,
			fetchManifest: async (model, version) => this.manifests.fetch(model, version),
			groupVms: () => this.stagers().vms,
			versionBoundMs: settings.limits.version_bound_ms,
			onLoadStarted(startedAtMs) {
				sender.send(['changing', formatAddress(settings.engine.address), startedAtMs]);
			},
			onVersionServed({model, version, layers, startedAtMs}) {
				sender.send(['held', formatAddress(settings.engine.address), startedAtMs, {
					model, version, fromLayer: 0, toLayer: layers,
				}]);
			},
			log,
		});
		this.manifests = new ManifestFetcher({
			self: {vm: settings.process.vm, region: settings.process.region},
			others: () => this.stagers().others,
			askPeer: async (peer, query) => this.askForManifest(peer, query),
			readOrigin: async (model, version) => this.readManifest(model, version),
			held: (model, version) => this.staging.manifestOf(model, version),
			random,
			log,
		});
		this.control = new HttpListener(this.createRoutes(), log, processLimitsFor(settings.limits.memory_mb, settings.limits.max_descriptors).stager);
		addListenerMetrics(this.base.metrics, {control: this.control});
		serveCallCounter(this.base.datagrams, this.base.pauseDetector);
		serveStartClaims(this.base.datagrams, () => peers.knownGateways.size);
	}

	async start(): Promise<void> {
		const {base, control, staging} = this;
		await control.start(base.settings.listen.control);
		await base.start();
		staging.start();
		// After a power failure, there may be no gateway yet that could send the published services.
		this.scheduleServiceRead(base.random.jitter(firstServiceReadDelayMs));
		base.log.info({event: 'stager_started', control: formatAddress(base.settings.listen.control)}, 'stager started');
	}

	async drain(): Promise<void> {
		clearTimeout(this.serviceReadTimer);
		this.staging.stop();
		this.control.destroy();
		await this.base.stop();
	}

	private createRoutes() {
		const {rpc, metrics} = this.base;
		rpc.method(rolloutHaveMethod, rolloutHaveParamsSchema, params => this.node.handleNotice(params));
		rpc.method(manifestGetMethod, manifestGetParamsSchema, async query => this.manifests.answer(query));
		metrics.gauge('cactusreach_chunk_bytes', 'Weights held in memory.', () => this.chunks.bytes);
		return {
			...createControlRoutes({
				rpc, metrics, isReady: () => true, dump: () => ({role: 'stager', ...this.base.dump(), staging: this.staging.dump()}),
			}),
			'GET /chunks/*': this.node.serveChunk,
		};
	}

	private transferOptions(): TransferOptions {
		const {links, random, log, settings, pauseDetector} = this.base;
		const {process, transfer} = settings;
		// An engine that serves no version sends no responses over the link.
		const rate = () => transfer.link_mbps * bytesPerMegabit * (this.staging.isServing ? transfer.link_share : idleLinkShare);
		return {
			self: {vm: process.vm, region: process.region},
			peers: () => this.stagers().others,
			links,
			chunks: this.chunks,
			upPacer: new TransferPacer(rate, uploadBurstMs),
			downPacer: new TransferPacer(rate),
			originUrl: '',
			originChunkUrl: chunk => this.originChunkUrl(chunk),
			sendNotice: (peer, manifest, notice) => this.notices.send(peer.address, manifest, notice),
			random,
			clock: pauseDetector,
			log,
			limits: () => transferLimits,
			maxOpenDownloads: isImporter => (isImporter || this.staging.hasDownloadPriority ? downloadLimits.early : downloadLimits.late),
			maxBackoffMs: maxSourceBackoffMs,
			maxOriginBackoffMs,
			memoryBytes: transfer.memory_bytes,
			...noticeLimits,
		};
	}

	/** Returns the stagers of the same service; the same object until the group changes. */
	private stagers(): StagerGroup {
		const {peers, settings} = this.base;
		if (this.stagerGroup?.processes !== peers.others) {
			const others = peers.others.filter(({role, service}) => role === 'stager' && service === settings.engine.service);
			this.stagerGroup = {processes: peers.others, others, vms: [settings.process.vm, ...others.map(({vm}) => vm)]};
		}

		return this.stagerGroup;
	}

	private originChunkUrl({manifest, position}: OriginChunk): string | undefined {
		const plan = findPlan(this.base.directory, this.base.settings.engine.service);
		const bytes = this.chunks.get(manifest);
		if (!plan?.origin || !bytes) {
			return undefined;
		}

		const {model, version} = parseManifest(bytes);
		return this.origin.chunkUrl(plan.origin.address, model, Number(version), position);
	}

	private async readManifest(model: string, version: number): Promise<Manifest | undefined> {
		const origin = findPlan(this.base.directory, this.base.settings.engine.service)?.origin;
		const manifest = origin && await this.origin.fetchManifest(origin.address, model, version);
		return manifest && this.requireSound(manifest, model, version);
	}

	/** Returns a manifest that fits the published weights, and throws for any other. */
	private requireSound(manifest: Manifest, model: string, version: number): Manifest {
		const engine = findPlan(this.base.directory, this.base.settings.engine.service)?.engine;
		const fault = findManifestFault(manifest, {
			model, version, chunkCount: engine?.chunkCount ?? 0, chunkBytes: engine?.chunkBytes ?? 0,
		});
		if (fault !== undefined) {
			throw new VError('the manifest is not that of %s, version %d: %s', model, version, fault);
		}

		return manifest;
	}

	private async askForManifest({address}: PeerInfo, query: ManifestQuery): Promise<Manifest | null> {
		const {links, log} = this.base;
		try {
			const call = {method: manifestGetMethod, params: query};
			const manifest = await links.rpc(address, call, manifestSchema.nullable(), {timeoutMs: peerManifestTimeoutMs});
			return manifest && this.requireSound(manifest, query.model, query.version);
		} catch (err) {
			log.debug({event: 'manifest_not_told', address, err}, 'failed to fetch a manifest from a peer');
			throw err;
		}
	}

	private scheduleServiceRead(waitMs: number): void {
		this.serviceReadTimer = setTimeout(() => {
			void this.readServices();
		}, waitMs);
	}

	/** Reads the published services from the source if no gateway has sent them yet. */
	private async readServices(): Promise<void> {
		const {directory, source, log} = this.base;
		if (directory.table) {
			return;
		}

		this.scheduleServiceRead(serviceReadIntervalMs);
		const deadline = new RequestDeadline(monotonicClock, {timeoutMs: serviceReadIntervalMs});
		deadline.start();
		try {
			directory.apply(await source.read('published', deadline.signal));
		} catch (err) {
			log.warn({event: 'services_unknown', err}, 'the published services are unknown: no gateway sent them, and reading the source failed');
		} finally {
			deadline.clear();
		}
	}
}

function findPlan(directory: Directory, service: string): {readonly engine: EngineTiming; readonly origin: OriginInfo | undefined} | undefined {
	const engine = directory.table?.findService(service)?.engine;
	const origin = directory.table?.configuration.services.find(item => item.origin)?.origin;
	return engine && {engine, origin};
}
