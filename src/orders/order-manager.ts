/** The only writer of orders to the engine. */
import type {ConfigurationStore} from '../configuration/configuration-store.ts';
import type {Digest} from '../ids/digest.ts';
import type {PeerClient} from '../links/peer-client.ts';
import type {Logger} from '../runtime/logger.ts';
import {type EngineState, engineStateSchema} from './engine-state.ts';
import {createFence} from './fence.ts';

/** How often the engine's state is read, in milliseconds. */
export const engineStateIntervalMs = 250;

/** How long the engine may take to answer, in milliseconds. */
const engineTimeoutMs = 5000;

/** What the manager works with. */
export type OrderManagerOptions = {
	readonly store: ConfigurationStore;
	readonly links: PeerClient;
	readonly log: Logger;
	/** The engine's address. */
	readonly engineUrl: string;
	/** This agent's own listener, from which the engine reads chunks. */
	readonly sourceUrl: string;
	/** Wall-clock start of this process, in milliseconds since 1970. */
	readonly startedAtMs: number;
};

/** A version whose chunks are all held and verified. */
export type HeldVersion = {readonly model: string; readonly version: string; readonly manifest: Digest};

/** Gives orders and follows the engine's state. */
export class OrderManager {
	private state: EngineState | undefined;
	private timer: NodeJS.Timeout | undefined;
	private stopped = false;

	/** @param options - what the manager works with */
	constructor(private readonly options: OrderManagerOptions) {}

	/** The engine's last reported state. */
	get engineState(): EngineState | undefined {
		return this.state;
	}

	/** Reads the engine's state now and goes on until stopped. */
	async start(): Promise<void> {
		await this.refresh();
		this.schedule();
	}

	/** Stops reading the engine's state. */
	stop(): void {
		this.stopped = true;
		clearTimeout(this.timer);
	}

	/**
	 * Tells whether the engine itself reports a version as served, with the published weights.
	 *
	 * @param model - the model
	 * @param version - the version
	 * @param adapter - the adapter, or null for none
	 */
	isServed(model: string, version: string, adapter: string | null): boolean {
		const manifest = this.options.store.model(model)?.versions[version]?.manifest;
		return this.state?.served.some(item => item.model === model && item.version === version && item.manifest === manifest
			&& (adapter === null || item.adapters.includes(adapter))) ?? false;
	}

	/**
	 * Orders the engine to load and serve a version, unless it reports it as served or loading.
	 *
	 * @param held - the version
	 */
	async bringIntoService(held: HeldVersion): Promise<void> {
		const served = this.state?.served.some(item => item.manifest === held.manifest);
		const loading = this.state?.loading.includes(held.manifest);
		if (served === true || loading === true) {
			return;
		}

		await this.order('load', held);
		await this.refresh();
	}

	private async order(kind: 'load' | 'unload', held: HeldVersion): Promise<void> {
		const {links, store, engineUrl, sourceUrl, startedAtMs, log} = this.options;
		const fence = createFence(startedAtMs, store.revision);
		const body = JSON.stringify({
			fence, kind, ...held, adapters: store.model(held.model)?.versions[held.version]?.adapters ?? [], source: sourceUrl,
		});
		log.info({
			event: 'engine_order', kind, fence, model: held.model, version: held.version,
		}, 'engine order');
		await links.json(`${engineUrl}/v1/orders`, {method: 'POST', body}, {timeoutMs: engineTimeoutMs});
	}

	private async refresh(): Promise<void> {
		const {links, engineUrl, log} = this.options;
		try {
			this.state = engineStateSchema.parse(await links.json(`${engineUrl}/v1/state`, {method: 'GET'}, {timeoutMs: engineTimeoutMs}));
		} catch (err) {
			this.state = undefined;
			log.warn({event: 'engine_state_failed', err}, 'engine did not report its state');
		}
	}

	private schedule(): void {
		if (this.stopped) {
			return;
		}

		this.timer = setTimeout(async () => {
			await this.refresh();
			this.schedule();
		}, engineStateIntervalMs);
		this.timer.unref();
	}
}
