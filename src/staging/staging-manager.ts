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
	type EngineReport, nextStagingStep, type StagingStep, turnAfterMs,
} from './next-staging-step.ts';
import type {StagedEngine} from './staged-engine.ts';

/** Time between two looks, in milliseconds: while something is to be done, and while the engine serves what is named. */
const stepIntervalMs = {working: 100, idle: 400};

/** Chunks that are written or read back at once. */
const chunksAtOnce = 4;

/** A check of the staged chunks counts for this long, in milliseconds; they may go bad while they lie there. */
const checkedMs = 1200;

/** Time between two lines about a transfer that goes on, in milliseconds. */
const progressLogMs = 2000;

/** The version that engines hold when none was ever named. */
const firstVersion = 1;

/** What the manager works with. */
export type StagingManagerOptions = {
	readonly vm: string;
	/** The service's published engine and the origin of its weights. */
	readonly plan: () => {readonly engine: EngineTiming; readonly origin: OriginInfo | undefined} | undefined;
	readonly directory: Directory;
	readonly engine: StagedEngine;
	readonly chunks: ChunkStore;
	readonly node: TransferNode;
	/** Fetches the manifest of a version from a peer or the origin; undefined when neither has it yet. */
	readonly fetchManifest: (model: string, version: number) => Promise<Manifest | undefined>;
	/** VMs of the agents beside engines of the same service, the own one included. */
	readonly group: () => readonly string[];
	readonly versionBoundMs: number;
	/** Is called when the engine serves another version than at the last look. */
	readonly onServed: (served: {readonly model: string; readonly version: number; readonly layers: number; readonly startedAtMs: number}) => void;
	readonly log: Logger;
};

/** What is wanted now. */
type Target = {readonly model: string; readonly version: number; readonly layers: number; readonly manifest: Manifest; readonly digest: Digest};

/** Runs the steps. */
export class StagingManager {
	private readonly manifests = new Map<string, Manifest>();
	private readonly actions: Readonly<Record<StagingStep, (target: Target, report: EngineReport) => Promise<void>>>;
	/** Digests that lie beside the engine, by position, as far as this process wrote or checked them. */
	private staged = new Map<number, Digest>();
	private checkedAtMs = Number.NEGATIVE_INFINITY;
	private stagedSinceMs: number | undefined;
	private scannedRun: number | undefined;
	private lastStep: StagingStep | undefined;
	private loggedAtMs = 0;
	private engineSilent = false;
	private servedVersion: number | undefined;
	private timer: NodeJS.Timeout | undefined;
	private stopped = false;

	/** @param options - what the manager works with */
	constructor(private readonly options: StagingManagerOptions) {
		const nothing = async () => {
			// Something else has to happen first; the next look decides again.
		};

		this.actions = {
			'ask-engine': nothing,
			idle: nothing,
			wait: nothing,
			fetch: nothing,
			stage: async target => this.stage(target),
			start: async (target, report) => this.startEngine(target, report),
		};
	}

	/** Whether the engine serves a version. */
	get isServing(): boolean {
		return this.servedVersion !== undefined;
	}

	/** Starts to follow the named versions. */
	start(): void {
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
		return this.manifests.get(keyOf(model, version));
	}

	/** Returns the state for dumps. */
	dump(): Record<string, unknown> {
		return {step: this.lastStep, staged: this.staged.size, manifests: [...this.manifests.keys()]};
	}

	private schedule(waitMs: number): void {
		if (!this.stopped) {
			this.timer = setTimeout(() => {
				void this.run();
			}, waitMs);
		}
	}

	private async run(): Promise<void> {
		let step: StagingStep = 'ask-engine';
		try {
			step = await this.step();
		} catch (err) {
			this.options.log.warn({event: 'staging_failed', err, step: this.lastStep}, 'a step of staging failed; it is repeated');
		}

		this.schedule(step === 'idle' || step === 'ask-engine' ? stepIntervalMs.idle : stepIntervalMs.working);
	}

	private async step(): Promise<StagingStep> {
		const plan = this.options.plan();
		const model = plan?.engine.models[0];
		if (!plan || model === undefined) {
			return 'ask-engine';
		}

		const version = this.options.directory.versions.get(model)?.version ?? firstVersion;
		const report = await this.askEngine(model, plan.engine.layers);
		const manifest = await this.manifest(model, version);
		if (!manifest) {
			return 'fetch';
		}

		if (!report) {
			return 'ask-engine';
		}

		const target = {
			model, version, layers: plan.engine.layers, manifest, digest: digestOf(encode(manifest)),
		};
		await this.scan(target, report);
		this.follow(target);
		const step = nextStagingStep({
			wantedVersion: version, report, isHeld: this.isHeld(target), isStaged: this.isStaged(target), isTurn: this.isTurn(target),
		});
		this.logStep(step, target, report);
		await this.actions[step](target, report);
		return step;
	}

	private async askEngine(model: string, layers: number): Promise<EngineReport | undefined> {
		const {engine, log} = this.options;
		try {
			const report = await engine.report(model, layers);
			if (this.engineSilent) {
				log.info({event: 'engine_regained', startedAtMs: report.startedAtMs}, 'the engine answers again');
			}

			this.engineSilent = false;
			if (report.servedVersion !== undefined && report.servedVersion !== this.servedVersion) {
				this.options.onServed({
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

	private async manifest(model: string, version: number): Promise<Manifest | undefined> {
		const key = keyOf(model, version);
		const known = this.manifests.get(key);
		if (known) {
			return known;
		}

		const manifest = await this.options.fetchManifest(model, version);
		if (manifest) {
			this.manifests.set(key, manifest);
			const bytes = encode(manifest);
			this.options.chunks.put(digestOf(bytes), bytes);
			this.options.log.info({
				event: 'manifest_taken', model, version, chunks: manifest.chunks.length,
			}, 'manifest taken');
		}

		return manifest;
	}

	/** Reads what lies beside an engine of which this process has seen no start: it survives a crash, and peers may need it. */
	private async scan({model, manifest}: Target, {startedAtMs}: EngineReport): Promise<void> {
		if (this.scannedRun === startedAtMs) {
			return;
		}

		this.staged = new Map();
		this.stagedSinceMs = undefined;
		const listed = await this.options.engine.listChunks(model);
		const present = listed && new Set(listed);
		await this.forChunks(manifest, async (digest, number) => {
			const bytes = present?.has(number) === false ? undefined : await this.options.engine.getChunk(model, number);
			if (bytes && digestOf(bytes) === digest) {
				this.staged.set(number, digest);
				this.options.chunks.put(digest, bytes);
			}
		});
		this.scannedRun = startedAtMs;
		this.checkedAtMs = performance.now();
		this.options.log.info({
			event: 'staged_scanned', model, intact: this.staged.size, startedAtMs,
		}, 'staged chunks read back');
	}

	private follow({model, version, digest}: Target): void {
		const wanted: WantedVersion = {
			model, version: String(version), manifest: digest, objective: 'origin-bytes',
		};
		this.options.node.follow([wanted], new Set());
	}

	private isHeld({manifest}: Target): boolean {
		return manifest.chunks.every(digest => this.options.chunks.has(createDigest(digest)));
	}

	private isStaged({manifest}: Target): boolean {
		return manifest.chunks.every((digest, number) => this.staged.get(number) === digest);
	}

	private isTurn({model, version}: Target): boolean {
		const {directory, group, vm, versionBoundMs} = this.options;
		const named = directory.versions.get(model);
		if (!named || this.stagedSinceMs === undefined) {
			return true;
		}

		const ranked = rankMembers(`${model}/${version}`, group());
		const afterMs = turnAfterMs({
			rank: ranked.indexOf(vm), count: ranked.length, boundMs: versionBoundMs, stagedAfterMs: this.stagedSinceMs - named.sinceMs,
		});
		return performance.now() - named.sinceMs >= afterMs;
	}

	private async stage({model, manifest}: Target): Promise<void> {
		const {engine, chunks} = this.options;
		await this.forChunks(manifest, async (digest, number) => {
			if (this.staged.get(number) !== digest) {
				await engine.putChunk(model, number, chunks.get(digest)!);
				this.staged.set(number, digest);
			}
		});
		this.stagedSinceMs = performance.now();
		this.checkedAtMs = Number.NEGATIVE_INFINITY;
	}

	/** Forgets staged chunks that went bad, so that they are written again. */
	private async check({model, manifest}: Target): Promise<void> {
		const {engine, log} = this.options;
		await this.forChunks(manifest, async (digest, number) => {
			const bytes = await engine.getChunk(model, number);
			if (!bytes || digestOf(bytes) !== digest) {
				this.staged.delete(number);
				log.warn({
					event: 'staged_chunk_bad', model, number, isMissing: bytes === undefined,
				}, 'a staged chunk went bad');
			}
		});
		this.checkedAtMs = performance.now();
	}

	private async startEngine(target: Target, report: EngineReport): Promise<void> {
		const {engine, log} = this.options;
		const {model, version} = target;
		if (performance.now() - this.checkedAtMs > checkedMs) {
			await this.check(target);
			return;
		}

		const answer = await engine.start(model, version, report.orderCount);
		log.info({
			event: 'engine_ordered', model, version, before: report.servedVersion, orders: report.orderCount, answer,
		}, 'engine ordered to load');
		// The next order, if one is needed, starts from chunks that were checked again.
		this.checkedAtMs = Number.NEGATIVE_INFINITY;
	}

	private async forChunks(manifest: Manifest, act: (digest: Digest, number: number) => Promise<void>): Promise<void> {
		let next = 0;
		const work = async (): Promise<void> => {
			while (next < manifest.chunks.length) {
				const number = next++;
				await act(createDigest(manifest.chunks[number]!), number);
			}
		};

		await Promise.all(Array.from({length: chunksAtOnce}, async () => work()));
	}

	private logStep(step: StagingStep, {model, version, manifest}: Target, {servedVersion, isBusy}: EngineReport): void {
		const isDue = step === 'fetch' && performance.now() - this.loggedAtMs >= progressLogMs;
		if (step !== this.lastStep || isDue) {
			this.lastStep = step;
			this.loggedAtMs = performance.now();
			const held = manifest.chunks.filter(digest => this.options.chunks.has(createDigest(digest))).length;
			this.options.log.info({
				event: 'staging_step', step, model, version, servedVersion, isBusy, held, total: manifest.chunks.length, staged: this.staged.size, open: this.options.node.versions.flatMap(item => item.transfer.openSources),
			}, 'next step of staging');
		}
	}
}

function keyOf(model: string, version: number): string {
	return `${model}/${version}`;
}

function encode(manifest: Manifest): Buffer {
	return Buffer.from(JSON.stringify(manifest));
}
