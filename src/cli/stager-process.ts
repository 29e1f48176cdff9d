/** The stager role: brings named versions of weights into the engine on the same VM. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Directory} from '../directory/directory.ts';
import type {EngineTiming, OriginInfo} from '../directory/directory-types.ts';
import {createServiceId} from '../ids/service-id.ts';
import {formatAddress, HttpListener} from '../links/http-listener.ts';
import type {PeerClient} from '../links/peer-client.ts';
import {manifestGetMethod, manifestGetParamsSchema} from '../messages/peers-exchange.ts';
import {rolloutHaveMethod, rolloutHaveParamsSchema} from '../messages/rollout-have.ts';
import {EngineStateSender} from '../peers/engine-state-sender.ts';
import {createControlRoutes} from '../reports/control-routes.ts';
import {ChunkStore} from '../rollout/chunk-store.ts';
import {type Manifest, manifestSchema, parseManifest} from '../rollout/manifest.ts';
import {TransferNode} from '../rollout/transfer-node.ts';
import type {OriginChunk, TransferOptions} from '../rollout/transfer-options.ts';
import {TransferPacer} from '../rollout/transfer-pacer.ts';
import {rankMembers} from '../runtime/rendezvous.ts';
import type {StagerSettings} from '../settings/direct-settings.ts';
import type {StagedEngine, WeightOrigin} from '../staging/staged-engine.ts';
import {StagingManager} from '../staging/staging-manager.ts';
import type {RunningProcess} from './base-process.ts';
import {type CreateSource, DirectBase, type SettingsSource} from './direct-base.ts';

/** Bytes per second of a megabit per second. */
const bytesPerMegabit = 125_000;

/** Limits of transfers of a few megabytes within seconds, in milliseconds and copies. */
const transferLimits = {chunk_timeout_ms: 1500, step_in_ms: 900, upload_copies: 4};

/** The longest pause after failures of a source, in milliseconds; the whole rollout has a few seconds. */
const maxSourcePauseMs = 200;

/** Notices between agents: the least time between two about common chunks, in milliseconds, and bytes per second. */
const notices = {noticeIntervalMs: 100, noticeBytesPerSecond: 40_000};

/** Unused upload rate that may be caught up on, in milliseconds; a longer burst delays live answers. */
const uploadBurstMs = 12;

/** Downloads that are open at once: at importers and agents whose engines change to the new version in the first half, and at the others. */
const openDownloads = {early: 6, late: 2};

/** Share of the link that transfers may use while no answers need it; headers take the rest. */
const wholeLink = 0.97;

/** How long a manifest may take from a peer, in milliseconds. */
const manifestTimeoutMs = 700;

/** Agents that ask the origin for a manifest at once; its link is the bottleneck of a rollout, and the others ask them. */
const firstReaders = 3;

/** How long after the first look an agent that is no first reader asks the origin, in milliseconds. */
const patienceMs = 500;

/** How long a first reader that has no manifest yet keeps an asking agent waiting, and how often it looks, in milliseconds. */
const manifestWait = {mostMs: 300, stepMs: 15};

/** Time between two readings of the published services from the source while no gateway tells them, in milliseconds. */
const ownReadingMs = 2500;

/** How long a starting process may be told the published services before it reads them itself, in milliseconds. */
const firstReadingMs = 60;

/** What the platform's adapter supplies. */
export type StagerAdapter = {
	readonly createSource: CreateSource;
	readonly createEngine: (links: PeerClient, address: string) => StagedEngine;
	readonly createOrigin: (links: PeerClient) => WeightOrigin;
};

/**
 * Starts a stager.
 *
 * @param settingsSource - where settings are read from
 * @param adapter - the platform's adapter
 */
export async function startStager(settingsSource: SettingsSource<StagerSettings>, adapter: StagerAdapter): Promise<RunningProcess> {
	const stager = new StagerProcess(settingsSource, adapter);
	await stager.start();
	return stager;
}

/** The parts of a stager. */
class StagerProcess implements RunningProcess {
	private readonly base: DirectBase<StagerSettings>;
	private readonly chunks = new ChunkStore();
	private readonly origin: WeightOrigin;
	private readonly node: TransferNode;
	private readonly staging: StagingManager;
	private readonly control: HttpListener;
	private readonly manifestSince = new Map<string, number>();
	private readingTimer: NodeJS.Timeout | undefined;

	constructor(settingsSource: SettingsSource<StagerSettings>, adapter: StagerAdapter) {
		this.base = new DirectBase(settingsSource, ({listen, engine}) => ({
			role: 'stager', control: listen.control, service: engine.service, parts: ['versions'], pulledParts: 'services',
		}), adapter.createSource);
		const {links, log, directory, settings, wake, group} = this.base;
		this.origin = adapter.createOrigin(links);
		this.node = new TransferNode(this.transferOptions(), held => {
			log.info({event: 'version_held', model: held.model, version: held.version}, 'every chunk of a version is held');
		});
		const sender = new EngineStateSender(() => group.others.filter(({role}) => role === 'gateway'), settings.peers.datagram_port, log);
		wake.onWake(() => {
			this.node.wake();
		});
		this.staging = new StagingManager({
			vm: settings.process.vm,
			plan: () => planOf(directory, settings.engine.service),
			directory,
			engine: adapter.createEngine(links, formatAddress(settings.engine.address)),
			chunks: this.chunks,
			node: this.node,
			fetchManifest: async (model, version) => this.fetchManifest(model, version),
			group: () => [settings.process.vm, ...this.neighbours().map(({vm}) => vm)],
			versionBoundMs: settings.limits.version_bound_ms,
			onChanging(startedAtMs) {
				sender.send(['changing', formatAddress(settings.engine.address), startedAtMs]);
			},
			onServed({model, version, layers, startedAtMs}) {
				sender.send(['held', formatAddress(settings.engine.address), startedAtMs, {
					model, version, fromLayer: 0, toLayer: layers,
				}]);
			},
			log,
		});
		this.control = new HttpListener(this.createRoutes(), log);
	}

	async start(): Promise<void> {
		const {base, control, staging} = this;
		await control.start(base.settings.listen.control);
		base.start();
		staging.start();
		// After a loss of power no gateway may be there to tell them yet.
		this.scheduleReading(firstReadingMs);
		base.log.info({event: 'stager_started', control: formatAddress(base.settings.listen.control)}, 'stager started');
	}

	async drain(): Promise<void> {
		clearTimeout(this.readingTimer);
		this.staging.stop();
		this.control.destroy();
		await this.base.stop();
	}

	private createRoutes() {
		const {rpc, metrics} = this.base;
		rpc.method(rolloutHaveMethod, rolloutHaveParamsSchema, params => this.node.handleNotice(params));
		rpc.method(manifestGetMethod, manifestGetParamsSchema, async ({model, version}) => this.awaitManifest(model, version));
		metrics.gauge('cactusreach_chunk_bytes', 'Weights held in memory.', () => this.chunks.bytes);
		return {
			...createControlRoutes({
				rpc, metrics, isReady: () => true, dump: () => ({role: 'stager', ...this.base.dump(), staging: this.staging.dump()}),
			}),
			'GET /chunks/*': this.node.serveChunk,
		};
	}

	private transferOptions(): TransferOptions {
		const {links, random, log, settings} = this.base;
		const {process, transfer} = settings;
		// An engine that serves nothing has no answers on the link.
		const rate = () => transfer.link_mbps * bytesPerMegabit * (this.staging.isServing ? transfer.link_share : wholeLink);
		return {
			self: {vm: process.vm, region: process.region},
			peers: () => this.neighbours(),
			links,
			chunks: this.chunks,
			upPacer: new TransferPacer(rate, uploadBurstMs),
			downPacer: new TransferPacer(rate),
			originUrl: '',
			originChunkUrl: chunk => this.originChunkUrl(chunk),
			random,
			log,
			limits: () => transferLimits,
			maxOpenDownloads: isImporter => (isImporter || this.staging.isEarly ? openDownloads.early : openDownloads.late),
			maxBackoffMs: maxSourcePauseMs,
			memoryBytes: transfer.memory_bytes,
			...notices,
		};
	}

	/** The other agents beside engines of the same service. */
	private neighbours() {
		const {group, settings} = this.base;
		return group.others.filter(({role, service}) => role === 'stager' && service === settings.engine.service);
	}

	private originChunkUrl({manifest, position}: OriginChunk): string | undefined {
		const plan = planOf(this.base.directory, this.base.settings.engine.service);
		const bytes = this.chunks.get(manifest);
		if (!plan?.origin || !bytes) {
			return undefined;
		}

		const {model, version} = parseManifest(bytes);
		return this.origin.chunkUrl(plan.origin.address, model, Number(version), position);
	}

	/** Asks a peer for a manifest, and the origin when it is this agent's turn or peers had none for a while. */
	private async fetchManifest(model: string, version: number): Promise<Manifest | undefined> {
		const {random, settings, directory} = this.base;
		const key = `${model}/${version}`;
		const sinceMs = this.manifestSince.get(key) ?? performance.now();
		this.manifestSince.set(key, sinceMs);
		const neighbours = this.neighbours();
		const ranked = rankMembers(key, [settings.process.vm, ...neighbours.map(({vm}) => vm)]);
		const rank = ranked.indexOf(settings.process.vm);
		const isPatient = performance.now() - sinceMs < patienceMs;
		const asked = neighbours.filter(({vm}) => !isPatient || ranked.indexOf(vm) < firstReaders);
		for (const {address} of random.sample(asked, rank < firstReaders && isPatient ? 0 : 1)) {
			const manifest = await this.manifestFromPeer(address, model, version);
			if (manifest) {
				return manifest;
			}
		}

		const origin = planOf(directory, settings.engine.service)?.origin;
		const isTurn = rank < firstReaders || performance.now() - sinceMs >= patienceMs;
		if (!origin || !isTurn) {
			return undefined;
		}

		const manifest = await this.origin.manifest(origin.address, model, version);
		return manifest.version === String(version) ? manifest : undefined;
	}

	/** Answers a peer; a first reader is asked while it still reads the manifest itself. */
	private async awaitManifest(model: string, version: number): Promise<Manifest | null> {
		const untilMs = performance.now() + manifestWait.mostMs;
		let manifest = this.staging.manifestOf(model, version);
		while (!manifest && performance.now() < untilMs) {
			await sleep(manifestWait.stepMs);
			manifest = this.staging.manifestOf(model, version);
		}

		return manifest ?? null;
	}

	private async manifestFromPeer(address: string, model: string, version: number): Promise<Manifest | undefined> {
		const {links, log} = this.base;
		try {
			const call = {method: manifestGetMethod, params: {model, version}};
			return await links.rpc(address, call, manifestSchema.nullable(), {timeoutMs: manifestTimeoutMs}) ?? undefined;
		} catch (err) {
			log.debug({event: 'manifest_not_told', address, err}, 'a peer did not tell a manifest');
			return undefined;
		}
	}

	private scheduleReading(waitMs: number): void {
		this.readingTimer = setTimeout(() => {
			void this.readServices();
		}, waitMs);
	}

	/** Reads what is published itself when no gateway tells it. */
	private async readServices(): Promise<void> {
		const {directory, source, log} = this.base;
		if (directory.table) {
			return;
		}

		this.scheduleReading(ownReadingMs);
		try {
			directory.apply(await source.read('published', AbortSignal.timeout(ownReadingMs)));
		} catch (err) {
			log.warn({event: 'services_unknown', err}, 'neither a gateway nor the source tells the published services');
		}
	}
}

function planOf(directory: Directory, service: string): {readonly engine: EngineTiming; readonly origin: OriginInfo | undefined} | undefined {
	const engine = directory.table?.findService(createServiceId(service))?.engine;
	const origin = directory.table?.configuration.services.find(item => item.origin)?.origin;
	return engine && {engine, origin};
}
