/** Brings the named version of one model into the engine beside this agent: transfer, staging, check and start. */
import {Buffer} from 'node:buffer';
import type {Directory} from '../directory/directory.ts';
import type {EngineTiming, OriginInfo} from '../directory/directory-types.ts';
import {createDigest, digestOf, type Digest} from '../ids/digest.ts';
import type {Manifest} from '../rollout/manifest.ts';
import type {ChunkStore} from '../rollout/chunk-store.ts';
import type {TransferNode, WantedVersion} from '../rollout/transfer-node.ts';
import {rankMembers} from '../runtime/rendezvous.ts';
import type {Logger} from '../runtime/logger.ts';
import {
	type EngineReport, nextStagingStep, type StagingStep, switchoverOffsetMs,
} from './next-staging-step.ts';
import {StagedChunks} from './staged-chunks.ts';
import type {LocalEngine} from './local-engine.ts';

/** Time between a step and the next look, in milliseconds; a newly named version is looked at without waiting. */
const pauseAfterMs: Readonly<Record<StagingStep, number>> = {
	'ask-engine': 400, idle: 400, fetch: 100, stage: 0, wait: 100, start: 100,
};

/** Time between two lines about a transfer that goes on, in milliseconds. */
const progressLogMs = 2000;

/** The version that engines hold when none was ever named. */
const firstVersion = 1;

/** What the manager works with. */
export type StagingManagerOptions = {
	readonly vm: string;
	/** The service's published engine and the origin of its weights. */
	readonly publishedService: () => {readonly engine: EngineTiming; readonly origin: OriginInfo | undefined} | undefined;
	readonly directory: Directory;
	readonly engine: LocalEngine;
	readonly chunks: ChunkStore;
	readonly node: TransferNode;
	/** Fetches the manifest of a version from a peer or the origin; undefined when neither has it yet. */
	readonly fetchManifest: (model: string, version: number) => Promise<Manifest | undefined>;
	/** VMs of the agents beside engines of the same service, the own one included. */
	readonly groupVms: () => readonly string[];
	readonly versionBoundMs: number;
	/** Is called when the engine took an order, and accepts no calls until it serves the new version. */
	readonly onLoadStarted: (startedAtMs: number) => void;
	/** Is called when the engine serves another version than at the last look. */
	readonly onVersionServed: (served: {readonly model: string; readonly version: number; readonly layers: number; readonly startedAtMs: number}) => void;
	readonly log: Logger;
};

/** What is wanted now. */
type Target = {readonly model: string; readonly version: number; readonly layers: number; readonly manifest: Manifest; readonly digest: Digest};

/** Runs the steps. */
export class StagingManager {
	private readonly manifests = new Map<string, {readonly manifest: Manifest; readonly digest: Digest}>();
	private readonly actions: Readonly<Record<StagingStep, (target: Target, report: EngineReport) => Promise<void>>>;
	private readonly staged: StagedChunks;
	private lastStep: StagingStep | undefined;
	private loggedAtMs = 0;
	private engineSilent = false;
	private servedVersion: number | undefined;
	private timer: NodeJS.Timeout | undefined;
	private stopped = false;
	/** The version that the last look was about. */
	private lookedFor: string | undefined;
	private isRunning = false;

	/** @param options - what the manager works with */
	constructor(private readonly options: StagingManagerOptions) {
		this.staged = new StagedChunks(options.engine, options.chunks, options.log);
		const nothing = async () => {
			// Something else has to happen first; the next look decides again.
		};

		this.actions = {
			'ask-engine': nothing,
			idle: nothing,
			wait: nothing,
			fetch: async ({manifest}) => this.staged.write(manifest),
			stage: async ({manifest}) => this.staged.write(manifest),
			start: async (target, report) => this.startEngine(target, report),
		};
	}

	/** Whether the engine serves a version. */
	get isServing(): boolean {
		return this.servedVersion !== undefined;
	}

	/**
	 * Whether the engine changes to the wanted version in the first half of its group, or serves none.
	 *
	 * Agents of the first half are served first, so that their engines serve the new version before the others stop serving the old one.
	 */
	get hasDownloadPriority(): boolean {
		const {rank, count} = this.turn();
		return !this.isServing || rank < count / 2;
	}

	/** Starts to follow the named versions. */
	start(): void {
		this.options.directory.onChange(() => {
			if (this.wanted() !== this.lookedFor && !this.isRunning) {
				this.schedule(0);
			}
		});
		this.schedule(0);
	}

	/** Stops. */
	stop(): void {
		this.stopped = true;
		clearTimeout(this.timer);
		this.options.node.stop();
	}

	/**
	 * Returns a manifest that is held.
	 *
	 * @param model - the model
	 * @param version - the version
	 */
	manifestOf(model: string, version: number): Manifest | undefined {
		return this.manifests.get(keyOf(model, version))?.manifest;
	}

	/** Returns the state for dumps. */
	dump(): Record<string, unknown> {
		return {step: this.lastStep, staged: this.staged.count, manifests: [...this.manifests.keys()]};
	}

	/** The model and version that the engine should serve, once the service is known. */
	private wanted(): string | undefined {
		const model = this.options.publishedService()?.engine.models[0];
		return model === undefined ? undefined : keyOf(model, this.wantedVersion(model));
	}

	private wantedVersion(model: string): number {
		return this.options.directory.versions.get(model)?.version ?? firstVersion;
	}

	private schedule(waitMs: number): void {
		clearTimeout(this.timer);
		if (!this.stopped) {
			this.timer = setTimeout(() => {
				void this.run();
			}, waitMs);
		}
	}

	private async run(): Promise<void> {
		let step: StagingStep = 'ask-engine';
		this.isRunning = true;
		this.lookedFor = this.wanted();
		try {
			step = await this.step();
		} catch (err) {
			this.options.log.warn({event: 'staging_failed', err, step: this.lastStep}, 'a step of staging failed; it is repeated');
		}

		this.isRunning = false;
		this.schedule(this.wanted() === this.lookedFor ? pauseAfterMs[step] : 0);
	}

	private async step(): Promise<StagingStep> {
		const service = this.options.publishedService();
		const model = service?.engine.models[0];
		if (!service || model === undefined) {
			return 'ask-engine';
		}

		const version = this.wantedVersion(model);
		const report = await this.askEngine(model, service.engine.layers);
		const known = await this.manifest(model, version);
		if (!known) {
			return 'fetch';
		}

		if (!report) {
			return 'ask-engine';
		}

		const target = {
			model, version, layers: service.engine.layers, ...known,
		};
		await this.staged.scan(known.manifest, report.startedAtMs);
		this.follow(target);
		const step = nextStagingStep({
			wantedVersion: version, report, isHeld: this.isHeld(target), isStaged: this.staged.isComplete(target.manifest), isSwitchoverDue: this.isTurn(target),
		});
		this.logStep(step, target, report);
		await this.actions[step](target, report);
		return step;
	}

	private async askEngine(model: string, layers: number): Promise<EngineReport | undefined> {
		const {engine, log} = this.options;
		try {
			const report = await engine.fetchReport(model, layers);
			if (this.engineSilent) {
				log.info({event: 'engine_regained', startedAtMs: report.startedAtMs}, 'the engine answers again');
			}

			this.engineSilent = false;
			if (report.servedVersion !== undefined && report.servedVersion !== this.servedVersion) {
				this.options.onVersionServed({
					model, version: report.servedVersion, layers, startedAtMs: report.startedAtMs,
				});
			}

			this.servedVersion = report.servedVersion;
			return report;
		} catch (err) {
			if (!this.engineSilent) {
				log.warn({event: 'engine_silent', err}, 'the engine does not answer');
			}

			this.engineSilent = true;
			return undefined;
		}
	}

	private async manifest(model: string, version: number): Promise<Pick<Target, 'manifest' | 'digest'> | undefined> {
		const key = keyOf(model, version);
		const known = this.manifests.get(key);
		if (known) {
			return known;
		}

		const manifest = await this.options.fetchManifest(model, version);
		if (!manifest) {
			return undefined;
		}

		const bytes = Buffer.from(JSON.stringify(manifest));
		const digest = digestOf(bytes);
		this.manifests.set(key, {manifest, digest});
		this.options.chunks.put(digest, bytes);
		this.options.log.info({
			event: 'manifest_taken', model, version, chunks: manifest.chunks.length,
		}, 'manifest taken');
		return {manifest, digest};
	}

	private follow({model, version, digest}: Target): void {
		const wanted: WantedVersion = {
			model, version: String(version), manifest: digest, objective: 'origin-bytes',
		};
		this.options.node.setWantedVersions([wanted], new Set());
	}

	private isHeld({manifest}: Target): boolean {
		return manifest.chunks.every(digest => this.options.chunks.has(createDigest(digest)));
	}

	/** The place of the engine in the order in which its group changes to the wanted version. */
	private turn(): {readonly rank: number; readonly count: number} {
		const {groupVms, vm} = this.options;
		const ranked = rankMembers(this.wanted() ?? '', groupVms());
		return {rank: ranked.indexOf(vm), count: ranked.length};
	}

	private isTurn({model}: Target): boolean {
		const {directory, versionBoundMs} = this.options;
		const named = directory.versions.get(model);
		const {writtenAtMs} = this.staged;
		if (!named || writtenAtMs === undefined) {
			return true;
		}

		const {rank, count} = this.turn();
		const afterMs = switchoverOffsetMs({
			rank, groupSize: count, versionBoundMs, stagedAtOffsetMs: writtenAtMs - named.sinceMs,
		});
		return performance.now() - named.sinceMs >= afterMs;
	}

	private async startEngine(target: Target, report: EngineReport): Promise<void> {
		const {engine, log} = this.options;
		const {model, version, manifest} = target;
		if (!this.staged.isChecked) {
			await this.staged.check(manifest);
			if (!this.staged.isComplete(manifest)) {
				return;
			}
		}

		const answer = await engine.loadStaged(model, version, report.orderCount);
		log.info({
			event: 'engine_ordered', model, version, before: report.servedVersion, orders: report.orderCount, answer,
		}, 'engine ordered to load');
		if (answer === 'begun') {
			this.options.onLoadStarted(report.startedAtMs);
		}

		// The next order, if one is needed, starts from chunks that were checked again.
		this.staged.expireCheck();
	}

	private logStep(step: StagingStep, {model, version, manifest}: Target, {servedVersion, isBusy}: EngineReport): void {
		const isDue = step === 'fetch' && performance.now() - this.loggedAtMs >= progressLogMs;
		if (step !== this.lastStep || isDue) {
			this.lastStep = step;
			this.loggedAtMs = performance.now();
			const held = manifest.chunks.filter(digest => this.options.chunks.has(createDigest(digest))).length;
			this.options.log.info({
				event: 'staging_step', step, model, version, servedVersion, isBusy, held, total: manifest.chunks.length, staged: this.staged.count, open: this.options.node.versions.flatMap(item => item.transfer.openSources),
			}, 'next step of staging');
		}
	}
}

function keyOf(model: string, version: number): string {
	return `${model}/${version}`;
}
