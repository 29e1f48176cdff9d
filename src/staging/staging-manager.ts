/** Rolls out the published version of one model to the engine on this VM: transfer, staging, verification and the load order. */
import {Buffer} from 'node:buffer';
import VError from 'verror';
import {createDigest, digestOf, type Digest} from '../ids/digest.ts';
import type {Manifest} from '../rollout/manifest.ts';
import type {WantedVersion} from '../rollout/transfer-node.ts';
import {rankMembers} from '../runtime/rendezvous.ts';
import {
	type EngineReport, nextStagingStep, type StagingStep, switchoverAtMs,
} from './next-staging-step.ts';
import type {OrderResult} from './local-engine.ts';
import {OrderDoubt} from './order-doubt.ts';
import {StagedChunks} from './staged-chunks.ts';
import type {StagingManagerOptions} from './staging-options.ts';

/** The delay until the next poll after each step, in milliseconds; a newly published version is handled without delay. */
const pollDelayMs: Readonly<Record<StagingStep, number>> = {
	'ask-engine': 400, idle: 400, fetch: 100, stage: 0, wait: 100, start: 100,
};

/** The steps that write chunks to the engine. */
const writingSteps: ReadonlySet<StagingStep> = new Set(['fetch', 'stage']);

/** The interval of log lines about a transfer in progress, in milliseconds. */
const progressLogIntervalMs = 2000;

/** The version that engines hold before any version is published. */
const defaultVersion = 1;

/** The version to roll out, with its manifest. */
type Target = {readonly model: string; readonly version: number; readonly layers: number; readonly manifest: Manifest; readonly digest: Digest};

/** Polls the engine, decides the next step of staging and runs it. */
export class StagingManager {
	private readonly manifests = new Map<string, {readonly manifest: Manifest; readonly digest: Digest}>();
	private readonly stepActions: Readonly<Record<StagingStep, (target: Target, report: EngineReport) => Promise<void>>>;
	private readonly stagedChunks: StagedChunks;
	private readonly doubt: OrderDoubt;
	private lastStep: StagingStep | undefined;
	private lastLoggedAtMs = 0;
	private isEngineUnreachable = false;
	private servedVersion: number | undefined;
	private timer: NodeJS.Timeout | undefined;
	private stopped = false;
	/** The model and version that the last reconciliation was about. */
	private reconciledKey: string | undefined;
	private isReconciling = false;
	/** The last computed rank, and what it was computed for. */
	private switchover: {readonly key: string; readonly vms: readonly string[]; readonly rank: number; readonly count: number} | undefined;

	constructor(private readonly options: StagingManagerOptions) {
		this.stagedChunks = new StagedChunks(options.engine, options.chunks, options.log);
		this.doubt = new OrderDoubt(options.clock);
		const waitForNextPoll = async () => undefined;
		this.stepActions = {
			'ask-engine': waitForNextPoll,
			idle: waitForNextPoll,
			wait: waitForNextPoll,
			fetch: async ({manifest}) => this.stagedChunks.stageHeld(manifest),
			stage: async ({manifest}) => this.stagedChunks.stageHeld(manifest),
			start: async (target, report) => this.orderLoad(target, report),
		};
	}

	/** Whether the engine serves any version. */
	get isServing(): boolean {
		return this.servedVersion !== undefined;
	}

	/**
	 * Whether this agent may open more concurrent downloads: its engine switches over in the first half of its group or serves nothing, or half
	 * of the time for which the served version may still start calls has passed.
	 *
	 * The first half downloads first, so that its engines serve the new version before the others stop serving the old one. When the weights
	 * come late, there is no time for one half after the other.
	 */
	get hasDownloadPriority(): boolean {
		const {rank, count} = this.switchoverRank();
		return !this.isServing || rank < count / 2 || this.isHalfBoundOver();
	}

	/** Starts to reconcile, periodically and when another version is published. */
	start(): void {
		this.options.directory.onChange(() => {
			if (this.wantedKey() !== this.reconciledKey && !this.isReconciling) {
				this.schedule(0);
			}
		});
		this.schedule(0);
	}

	/** Stops reconciliation and transfers. */
	stop(): void {
		this.stopped = true;
		clearTimeout(this.timer);
		this.options.node.stop();
	}

	/** Returns the manifest of a version, if it is held. */
	manifestOf(model: string, version: number): Manifest | undefined {
		return this.manifests.get(versionKey(model, version))?.manifest;
	}

	/** Returns the state for the state dump. */
	dump(): Record<string, unknown> {
		return {step: this.lastStep, staged: this.stagedChunks.count, manifests: [...this.manifests.keys()]};
	}

	/** The key of the model and version that the engine should serve; undefined until the service is known. */
	private wantedKey(): string | undefined {
		const model = this.options.publishedService()?.engine.models[0];
		return model === undefined ? undefined : versionKey(model, this.wantedVersion(model));
	}

	private wantedVersion(model: string): number {
		return this.options.directory.versions.get(model)?.version ?? defaultVersion;
	}

	private schedule(waitMs: number): void {
		clearTimeout(this.timer);
		if (!this.stopped) {
			this.timer = setTimeout(() => {
				void this.reconcile();
			}, waitMs);
		}
	}

	private async reconcile(): Promise<void> {
		let delayMs = pollDelayMs['ask-engine'];
		this.isReconciling = true;
		this.reconciledKey = this.wantedKey();
		try {
			delayMs = await this.runStep();
		} catch (err) {
			this.options.log.warn({event: 'staging_failed', err, step: this.lastStep}, 'staging step failed; it will be retried');
		}

		this.isReconciling = false;
		this.schedule(this.wantedKey() === this.reconciledKey ? delayMs : 0);
	}

	/** Runs the next step; returns the delay until the next poll, in milliseconds. */
	private async runStep(): Promise<number> {
		const service = this.options.publishedService();
		const model = service?.engine.models[0];
		if (!service || model === undefined) {
			return pollDelayMs['ask-engine'];
		}

		const version = this.wantedVersion(model);
		const report = await this.pollEngine(model, service.engine.layers);
		const known = await this.loadManifest(model, version);
		if (!known) {
			return pollDelayMs.fetch;
		}

		if (!report) {
			return pollDelayMs['ask-engine'];
		}

		const isBlocked = this.doubt.blocksWrites(version, report);
		const target = {
			model, version, layers: service.engine.layers, ...known,
		};
		await this.stagedChunks.readBack(known.manifest, report.startedAtMs);
		this.startTransfer(target);
		const switchoverInMs = this.switchoverInMs(target);
		const step = nextStagingStep({
			wantedVersion: version, report, isHeld: this.isHeld(target), isStaged: this.stagedChunks.isComplete(target.manifest), isSwitchoverDue: switchoverInMs <= 0,
		});
		this.logStep(step, target, report);
		if (writingSteps.has(step) && isBlocked) {
			return pollDelayMs.wait;
		}

		await this.stepActions[step](target, report);
		// While the engine only waits for its turn, its state is polled no more often than when it is idle.
		return step === 'wait' && !report.isBusy ? Math.min(pollDelayMs.idle, Math.max(1, switchoverInMs)) : pollDelayMs[step];
	}

	private async pollEngine(model: string, layers: number): Promise<EngineReport | undefined> {
		const {engine, log} = this.options;
		try {
			const report = await engine.fetchReport(model, layers);
			if (this.isEngineUnreachable) {
				log.info({event: 'engine_regained', startedAtMs: report.startedAtMs}, 'engine responds again');
			}

			this.isEngineUnreachable = false;
			if (report.servedVersion !== undefined && report.servedVersion !== this.servedVersion) {
				this.options.onVersionServed({
					model, version: report.servedVersion, layers, startedAtMs: report.startedAtMs,
				});
			}

			this.servedVersion = report.servedVersion;
			return report;
		} catch (err) {
			if (!this.isEngineUnreachable) {
				log.warn({event: 'engine_silent', err}, 'engine does not respond');
			}

			this.isEngineUnreachable = true;
			return undefined;
		}
	}

	private async loadManifest(model: string, version: number): Promise<Pick<Target, 'manifest' | 'digest'> | undefined> {
		const key = versionKey(model, version);
		const known = this.manifests.get(key);
		if (known) {
			return known;
		}

		// Chunks of an older version would only delay the manifest and the chunks of this one.
		this.options.node.setWantedVersions([], new Set());
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
		}, 'manifest stored');
		return {manifest, digest};
	}

	private startTransfer({model, version, digest}: Target): void {
		const wanted: WantedVersion = {
			model, version: String(version), manifest: digest, objective: 'origin-bytes',
		};
		this.options.node.setWantedVersions([wanted], new Set());
	}

	private isHeld({manifest}: Target): boolean {
		return manifest.chunks.every(digest => this.options.chunks.has(createDigest(digest)));
	}

	/** The engine's rank in the switchover order of its group for the wanted version. */
	private switchoverRank(): {readonly rank: number; readonly count: number} {
		const {groupVms, vm} = this.options;
		const key = this.wantedKey() ?? '';
		const vms = groupVms();
		// The transfer asks for it with each plan, and ranking takes as long as the group is large.
		if (this.switchover?.key !== key || this.switchover.vms !== vms) {
			this.switchover = {
				key, vms, rank: rankMembers(key, vms).indexOf(vm), count: vms.length,
			};
		}

		return this.switchover;
	}

	private isHalfBoundOver(): boolean {
		const model = this.options.publishedService()?.engine.models[0];
		return model !== undefined && performance.now() >= this.servedUntilMs(model) - (this.options.versionBoundMs / 2);
	}

	/** When the version that the engine serves may start no more calls, in milliseconds: infinite while it is the newest one, `-Infinity` while it is unknown. */
	private servedUntilMs(model: string): number {
		const {directory, versionBoundMs} = this.options;
		const newer = directory.versionsOf(model).filter(({version}) => version > (this.servedVersion ?? defaultVersion));
		return versionBoundMs + Math.min(...newer.map(({earliestMs}) => earliestMs));
	}

	/** Time until the engine's switchover to the wanted version is due, in milliseconds; 0 or less once it is. */
	private switchoverInMs({model}: Target): number {
		const servedUntilMs = this.servedUntilMs(model);
		const {lastWriteAtMs} = this.stagedChunks;
		if (servedUntilMs === Number.POSITIVE_INFINITY || lastWriteAtMs === undefined) {
			return 0;
		}

		const {rank, count} = this.switchoverRank();
		return switchoverAtMs({
			rank, groupSize: count, expiresAtMs: servedUntilMs, stagedAtMs: lastWriteAtMs,
		}) - performance.now();
	}

	private async orderLoad(target: Target, report: EngineReport): Promise<void> {
		const {engine, log} = this.options;
		const {model, version, layers, manifest} = target;
		if (!this.stagedChunks.isRecentlyVerified) {
			await this.stagedChunks.verify(manifest);
			if (!this.stagedChunks.isComplete(manifest)) {
				return;
			}
		}

		// The engine may have restarted meanwhile, with or without its staged chunks.
		const latest = await engine.fetchReport(model, layers);
		const isSameRun = latest.startedAtMs === report.startedAtMs && latest.orderCount === report.orderCount;
		if (!isSameRun || !this.stagedChunks.isRecentlyVerified) {
			log.warn({
				event: 'order_withheld', model, version, isSameRun, isVerified: this.stagedChunks.isRecentlyVerified,
			}, 'no order, because what was verified may have changed');
			return;
		}

		const answer = await this.sendOrder(target, report);
		log.info({
			event: 'engine_ordered', model, version, before: report.servedVersion, orders: report.orderCount, answer,
		}, 'engine ordered to load the staged version');
		if (answer === 'begun') {
			this.options.onLoadStarted(report.startedAtMs);
		}
	}

	private async sendOrder({model, version}: Target, report: EngineReport): Promise<OrderResult> {
		const {stagedChunks, doubt} = this;
		try {
			const answer = await this.options.engine.loadStaged(model, version, report.orderCount, () => {
				if (!stagedChunks.isRecentlyVerified) {
					throw new VError('the verification of the staged chunks is too old');
				}

				doubt.record(version, report);
			});
			doubt.clear();
			return answer;
		} finally {
			// Chunks are verified again before another order, if one is needed.
			stagedChunks.expireVerification();
		}
	}

	private logStep(step: StagingStep, {model, version, manifest}: Target, {servedVersion, isBusy}: EngineReport): void {
		const isProgressDue = step === 'fetch' && performance.now() - this.lastLoggedAtMs >= progressLogIntervalMs;
		if (step !== this.lastStep || isProgressDue) {
			this.lastStep = step;
			this.lastLoggedAtMs = performance.now();
			const held = manifest.chunks.filter(digest => this.options.chunks.has(createDigest(digest))).length;
			this.options.log.info({
				event: 'staging_step', step, model, version, servedVersion, isBusy, held,
				total: manifest.chunks.length, staged: this.stagedChunks.count,
				open: this.options.node.versions.flatMap(item => item.transfer.openSources),
			}, 'staging step');
		}
	}
}

function versionKey(model: string, version: number): string {
	return `${model}/${version}`;
}
