/** The only writer of orders to the engine. */
import authorityChart from '../../charts/authority.json' with {type: 'json'};
import type {ConfigurationStore} from '../configuration/configuration-store.ts';
import type {PeerClient} from '../links/peer-client.ts';
import type {Logger} from '../runtime/logger.ts';
import {StateChart} from '../runtime/state-chart.ts';
import type {PauseDetector} from '../runtime/pause-detector.ts';
import {type EngineState, engineStateSchema} from './engine-state.ts';
import {createFence, createTerm, isOutranked} from './fence.ts';
import {type EngineOrder, reconcileOrders, type VersionRef} from './reconcile-orders.ts';
import type {SelfCheckResult} from './self-check.ts';

/** Time between two reads of the engine's state while an order or a check is outstanding, in milliseconds. */
export const busyStateIntervalMs = 250;

/** The same while nothing is outstanding; each read costs about 1 ms of processor time, and entries ask for reports every 3 s only. */
export const quietStateIntervalMs = 1500;

/** How long the engine may take to answer, in milliseconds. */
const engineTimeoutMs = 5000;

/** How long the same order is not repeated, in milliseconds: the engine's report lags behind its work. */
export const orderRepeatMs = 3000;

/** What the manager works with. */
export type OrderManagerOptions = {
	readonly store: ConfigurationStore;
	readonly links: PeerClient;
	readonly log: Logger;
	readonly pauseDetector: PauseDetector;
	/** The engine's address. */
	readonly engineUrl: string;
	/** This agent's control listener, `host:port`, from which the engine reads chunks. */
	readonly ownAddress: string;
	/** Tells whether this process is still the one at its VM. */
	readonly selfCheck: () => Promise<SelfCheckResult>;
	/** Wall-clock start of this process, in milliseconds since 1970. */
	readonly startedAtMs: number;
	/** Calls that run now, by `model/version`. */
	readonly runningByVersion: () => ReadonlyMap<string, number>;
};

/** Whether this process may give orders: not yet checked, yes, or never again. */
export type Authority = 'unverified' | 'holding' | 'superseded';

/** Gives orders and follows the engine's state. */
export class OrderManager {
	private readonly authority = new StateChart<Authority, 'VERIFIED' | 'PAUSED' | 'OUTRANKED'>(authorityChart);
	private readonly held = new Set<string>();
	/** Manifests that are being unloaded; they take no new calls. */
	private readonly retiring = new Set<string>();
	private lastOrder = {key: '', atMs: 0};
	private busy = false;
	private engine: EngineState | undefined;
	private term: number | undefined;
	private timer: NodeJS.Timeout | undefined;
	private stopped = false;

	/** @param options - what the manager works with */
	constructor(private readonly options: OrderManagerOptions) {
		options.pauseDetector.onResume(() => {
			this.authority.send('PAUSED');
			this.engine = undefined;
		});
	}

	/** The engine's last reported state; undefined when the last read failed. */
	get engineState(): EngineState | undefined {
		return this.engine;
	}

	/** Whether this process may give orders. */
	get authorityState(): Authority {
		return this.authority.state;
	}

	/** Reads the engine's state now and goes on until stopped. */
	async start(): Promise<void> {
		await this.step();
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
		const served = this.engine?.served ?? [];
		return served.some(item => item.model === model && item.version === version && item.manifest === manifest && !this.retiring.has(item.manifest)
			&& (adapter === null || item.adapters.includes(adapter)));
	}

	/**
	 * Notes that every chunk of a version is held and verified, so that the engine may load it.
	 *
	 * @param ref - the version
	 */
	async bringIntoService(ref: VersionRef): Promise<void> {
		if (!this.held.has(ref.manifest)) {
			this.held.add(ref.manifest);
			await this.step();
		}
	}

	/**
	 * Notes that chunks of a version were dropped, so that the engine can't load it any more.
	 *
	 * @param manifest - the digest of the version's manifest
	 */
	forget(manifest: string): void {
		this.held.delete(manifest);
	}

	/** Reads the engine's state, verifies the right to give orders, and gives the next order. */
	private async step(): Promise<void> {
		if (this.busy) {
			return;
		}

		this.busy = true;
		try {
			await this.refresh();
			await this.updateAuthority();
			await this.giveNext();
		} finally {
			this.busy = false;
		}
	}

	private async updateAuthority(): Promise<void> {
		if (!this.engine) {
			return;
		}

		this.term ??= createTerm(this.options.startedAtMs, this.engine.fence);
		if (isOutranked(this.engine.fence, this.term)) {
			this.supersede('the engine has obeyed a later process');
		}

		if (this.authority.state === 'unverified') {
			await this.verify();
		}
	}

	private async giveNext(): Promise<void> {
		// The pause may have been between the read of the engine's state and here.
		this.options.pauseDetector.check();
		if (!this.engine || this.term === undefined || this.authority.state !== 'holding') {
			return;
		}

		const order = this.nextOrder();
		if (order && !this.isRepeat(order)) {
			await this.give(order, this.term);
		}
	}

	private nextOrder(): EngineOrder | undefined {
		return this.engine && reconcileOrders({
			models: this.options.store.models(), held: this.held, engine: this.engine, running: this.options.runningByVersion(),
		});
	}

	private isRepeat(order: EngineOrder): boolean {
		const key = JSON.stringify(order);
		if (key === this.lastOrder.key && performance.now() - this.lastOrder.atMs < orderRepeatMs) {
			return true;
		}

		this.lastOrder = {key, atMs: performance.now()};
		return false;
	}

	/** At engines that ignore fencing numbers this is the only check after a pause. */
	private async verify(): Promise<void> {
		const found = await this.options.selfCheck();
		if (found === 'current') {
			this.authority.send('VERIFIED');
		} else if (found === 'superseded') {
			this.supersede('another process answers at this VM\'s address');
		}
	}

	private supersede(reason: string): void {
		if (this.authority.state !== 'superseded') {
			this.authority.send('OUTRANKED');
			this.options.log.error({event: 'agent_superseded', reason}, 'agent gives no more orders');
		}
	}

	private async give(order: EngineOrder, term: number): Promise<void> {
		const {links, store, engineUrl, ownAddress, log} = this.options;
		const retires = order.kind === 'unload';
		this.retiring[retires ? 'add' : 'delete'](order.manifest);
		const fence = createFence(term, store.revision);
		const body = JSON.stringify({fence, ...order, source: `http://${ownAddress}`});
		log.info({
			event: 'engine_order', kind: order.kind, fence, model: order.model, version: order.version,
		}, 'engine order');
		try {
			await links.json(`${engineUrl}/v1/orders`, {method: 'POST', body}, {timeoutMs: engineTimeoutMs});
		} catch (err) {
			log.warn({event: 'engine_order_failed', err, kind: order.kind}, 'engine did not take the order; it is decided anew');
		}
	}

	private async refresh(): Promise<void> {
		const {links, engineUrl, log} = this.options;
		try {
			this.engine = engineStateSchema.parse(await links.json(`${engineUrl}/v1/state`, {method: 'GET'}, {timeoutMs: engineTimeoutMs}));
		} catch (err) {
			this.engine = undefined;
			log.warn({event: 'engine_state_failed', err}, 'engine did not report its state');
		}
	}

	private isQuiet(): boolean {
		return this.engine !== undefined && this.authority.state !== 'unverified' && this.engine.loading.length === 0 && this.nextOrder() === undefined;
	}

	private schedule(): void {
		if (this.stopped) {
			return;
		}

		this.timer = setTimeout(async () => {
			await this.step();
			this.schedule();
		}, this.isQuiet() ? quietStateIntervalMs : busyStateIntervalMs);
		this.timer.unref();
	}
}
