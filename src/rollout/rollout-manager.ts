/** Brings the published versions to this VM and orders the engine to load and serve them. */
import type {ConfigurationStore} from '../configuration/configuration-store.ts';
import {createDigest, type Digest} from '../ids/digest.ts';
import {type PeerClient, readBytes} from '../links/peer-client.ts';
import type {OrderManager} from '../orders/order-manager.ts';
import type {Logger} from '../runtime/logger.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import type {ChunkStore} from './chunk-store.ts';
import {parseManifest} from './manifest.ts';

/** Mean time between two looks at what is still to be done, in milliseconds. */
const rolloutIntervalMs = 500;

/** How long one chunk may take, in milliseconds. */
const chunkTimeoutMs = 30_000;

/** What the manager works with. */
export type RolloutManagerOptions = {
	readonly store: ConfigurationStore;
	readonly chunks: ChunkStore;
	readonly orders: OrderManager;
	readonly links: PeerClient;
	readonly random: RandomSource;
	readonly log: Logger;
	/** The origin's address. */
	readonly originUrl: string;
};

/** Where one version stands. */
export type VersionProgress = {
	readonly model: string;
	readonly version: string;
	readonly held: number;
	readonly total: number;
	readonly state: 'transferring' | 'held';
};

/** Drives transfers and orders. */
export class RolloutManager {
	private readonly progressByManifest = new Map<Digest, VersionProgress>();
	private timer: NodeJS.Timeout | undefined;
	private stopped = false;
	private busy = false;

	/** @param options - what the manager works with */
	constructor(private readonly options: RolloutManagerOptions) {}

	/** Progress of each published version. */
	get progress(): readonly VersionProgress[] {
		return [...this.progressByManifest.values()];
	}

	/** Starts to follow the configuration. */
	start(): void {
		this.options.store.onChange(() => {
			void this.step();
		});
		this.schedule();
	}

	/** Stops transfers and orders. */
	stop(): void {
		this.stopped = true;
		clearTimeout(this.timer);
	}

	private schedule(): void {
		if (this.stopped) {
			return;
		}

		this.timer = setTimeout(async () => {
			await this.step();
			this.schedule();
		}, this.options.random.jitter(rolloutIntervalMs));
		this.timer.unref();
	}

	private async step(): Promise<void> {
		if (this.busy || this.stopped) {
			return;
		}

		this.busy = true;
		try {
			for (const [name, model] of this.options.store.models()) {
				const version = model.versions[model.serve];
				if (version) {
					await this.bring(name, model.serve, createDigest(version.manifest));
				}
			}
		} catch (err) {
			this.options.log.warn({event: 'rollout_step_failed', err}, 'rollout step failed; it is tried again');
		} finally {
			this.busy = false;
		}
	}

	private async bring(model: string, version: string, manifestDigest: Digest): Promise<void> {
		const {chunks, orders} = this.options;
		const manifest = parseManifest(await this.hold(manifestDigest));
		for (const digest of manifest.chunks) {
			await this.hold(digest);
			const held = manifest.chunks.filter(chunk => chunks.has(chunk)).length;
			this.progressByManifest.set(manifestDigest, {
				model, version, held, total: manifest.chunks.length, state: held === manifest.chunks.length ? 'held' : 'transferring',
			});
		}

		await orders.bringIntoService({model, version, manifest: manifestDigest});
	}

	private async hold(digest: Digest): Promise<Uint8Array> {
		const {chunks, links, originUrl} = this.options;
		const held = chunks.get(digest);
		if (held) {
			return held;
		}

		const signal = AbortSignal.timeout(chunkTimeoutMs);
		const res = await links.send(`${originUrl}/v1/chunks/${digest}`, {method: 'GET'}, {timeoutMs: chunkTimeoutMs, signal});
		const bytes = await readBytes(res.body);
		if (res.status !== 200) {
			throw new Error(`origin answered status ${res.status} for chunk ${digest}`);
		}

		chunks.put(digest, bytes);
		return bytes;
	}
}
