/** Sends orders to the engine; no other part of the agent does. */
import authorityChart from '../../charts/authority.json' with {type: 'json'};
import type {ConfigurationStore} from '../configuration/configuration-store.ts';
import type {PeerClient} from '../links/peer-client.ts';
import type {Logger} from '../runtime/logger.ts';
import {StateChart} from '../runtime/state-chart.ts';
import type {PauseDetector} from '../runtime/pause-detector.ts';
import {type EngineState, engineStateSchema} from './engine-state.ts';
import {createFencingToken, createTerm, hasLaterTerm} from './fencing-token.ts';
import {type EngineOrder, reconcileOrders, type VersionRef} from './reconcile-orders.ts';
import type {SelfCheckResult} from './self-check.ts';

/** The interval of polling the engine's state while an order or an identity check is outstanding, in milliseconds. */
export const busyPollIntervalMs = 250;

/** The same while nothing is outstanding; each poll costs about 1 ms of CPU time, and entries request reports only every 3 s. */
export const idlePollIntervalMs = 1500;

/** The timeout of requests to the engine, in milliseconds. */
const engineTimeoutMs = 5000;

/** The minimum interval between identical orders, in milliseconds, since the engine's report lags behind its work. */
export const orderRetryIntervalMs = 3000;

/** Dependencies of an order manager. */
export type OrderManagerOptions = {
	readonly store: ConfigurationStore;
	readonly links: PeerClient;
	readonly log: Logger;
	readonly pauseDetector: PauseDetector;
	/** The engine's address. */
	readonly engineUrl: string;
	/** This agent's control listener, `host:port`, from which the engine reads chunks. */
	readonly ownAddress: string;
	/** Checks whether this process is still the current agent of its VM. */
	readonly selfCheck: () => Promise<SelfCheckResult>;
	/** Wall-clock start of this process, in milliseconds since 1970. */
	readonly startedAtMs: number;
	/** Returns the number of running calls by `model/version`. */
	readonly runningByVersion: () => ReadonlyMap<string, number>;
};

/** Whether this process may send orders: not yet verified, yes, or never again. */
export type Authority = 'unverified' | 'holding' | 'superseded';

/** Polls the engine's state and sends the orders that reconcile it with the published configuration. */
export class OrderManager {
	private readonly authority = new StateChart<Authority, 'VERIFIED' | 'PAUSED' | 'OUTRANKED'>(authorityChart);
	private readonly heldManifests = new Set<string>();
	/** Manifests that are being unloaded; they accept no new calls. */
	private readonly unloadingManifests = new Set<string>();
	private lastOrder = {key: '', atMs: 0};
	private isReconciling = false;
	private engine: EngineState | undefined;
	private term: number | undefined;
	private timer: NodeJS.Timeout | undefined;
	private stopped = false;

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

	/** Whether this process may send orders. */
	get authorityState(): Authority {
		return this.authority.state;
	}

	/** Polls the engine's state now and periodically until stopped. */
	async start(): Promise<void> {
		await this.reconcile();
		this.schedule();
	}

	/** Stops polling the engine's state. */
	stop(): void {
		this.stopped = true;
		clearTimeout(this.timer);
	}

	/**
	 * Returns whether the engine reports a version as served with the published weights, and it is not being unloaded.
	 *
	 * @param adapter - an adapter that must be loaded too, or null for none
	 */
	isServed(model: string, version: string, adapter: string | null): boolean {
		const manifest = this.options.store.model(model)?.versions[version]?.manifest;
		const served = this.engine?.served ?? [];
		return served.some(item => item.model === model && item.version === version && item.manifest === manifest && !this.unloadingManifests.has(item.manifest)
			&& (adapter === null || item.adapters.includes(adapter)));
	}

	/**
	 * Records that every chunk of a version is held and verified, so that the engine may load it, and reconciles.
	 */
	async bringIntoService(ref: VersionRef): Promise<void> {
		if (!this.heldManifests.has(ref.manifest)) {
			this.heldManifests.add(ref.manifest);
			await this.reconcile();
		}
	}

	/**
	 * Records that chunks of a version were dropped, so that the engine can no longer load it.
	 *
	 * @param manifest - the digest of the version's manifest
	 */
	markDropped(manifest: string): void {
		this.heldManifests.delete(manifest);
	}

	/** Polls the engine's state, verifies the authority to send orders and sends the next order. */
	private async reconcile(): Promise<void> {
		if (this.isReconciling) {
			return;
		}

		this.isReconciling = true;
		try {
			await this.refreshState();
			await this.updateAuthority();
			await this.sendNextOrder();
		} finally {
			this.isReconciling = false;
		}
	}

	private async updateAuthority(): Promise<void> {
		if (!this.engine) {
			return;
		}

		this.term ??= createTerm(this.options.startedAtMs, this.engine.fence);
		if (hasLaterTerm(this.engine.fence, this.term)) {
			this.supersede('the engine has obeyed a later process');
		}

		if (this.authority.state === 'unverified') {
			await this.verifyIdentity();
		}
	}

	private async sendNextOrder(): Promise<void> {
		// The process may have been paused after it read the engine's state.
		this.options.pauseDetector.check();
		if (!this.engine || this.term === undefined || this.authority.state !== 'holding') {
			return;
		}

		const order = this.nextOrder();
		if (order && !this.isRecentRepeat(order)) {
			await this.sendOrder(order, this.term);
		}
	}

	private nextOrder(): EngineOrder | undefined {
		return this.engine && reconcileOrders({
			models: this.options.store.models(), held: this.heldManifests, engine: this.engine, running: this.options.runningByVersion(),
		});
	}

	private isRecentRepeat(order: EngineOrder): boolean {
		const key = JSON.stringify(order);
		if (key === this.lastOrder.key && performance.now() - this.lastOrder.atMs < orderRetryIntervalMs) {
			return true;
		}

		this.lastOrder = {key, atMs: performance.now()};
		return false;
	}

	/** With engines that ignore fencing tokens, this is the only protection after a pause. */
	private async verifyIdentity(): Promise<void> {
		const result = await this.options.selfCheck();
		if (result === 'current') {
			this.authority.send('VERIFIED');
		} else if (result === 'superseded') {
			this.supersede('another process answers at this VM\'s address');
		}
	}

	private supersede(reason: string): void {
		if (this.authority.state !== 'superseded') {
			this.authority.send('OUTRANKED');
			this.options.log.error({event: 'agent_superseded', reason}, 'agent is superseded and sends no more orders');
		}
	}

	private async sendOrder(order: EngineOrder, term: number): Promise<void> {
		const {links, store, engineUrl, ownAddress, log} = this.options;
		const isUnload = order.kind === 'unload';
		this.unloadingManifests[isUnload ? 'add' : 'delete'](order.manifest);
		const fence = createFencingToken(term, store.revision);
		const body = JSON.stringify({fence, ...order, source: `http://${ownAddress}`});
		log.info({
			event: 'engine_order', kind: order.kind, fence, model: order.model, version: order.version,
		}, 'sending an engine order');
		try {
			await links.json(`${engineUrl}/v1/orders`, {method: 'POST', body}, {timeoutMs: engineTimeoutMs});
		} catch (err) {
			log.warn({event: 'engine_order_failed', err, kind: order.kind}, 'engine did not accept the order; the next poll decides again');
		}
	}

	private async refreshState(): Promise<void> {
		const {links, engineUrl, log} = this.options;
		try {
			this.engine = engineStateSchema.parse(await links.json(`${engineUrl}/v1/state`, {method: 'GET'}, {timeoutMs: engineTimeoutMs}));
		} catch (err) {
			this.engine = undefined;
			log.warn({event: 'engine_state_failed', err}, 'reading the engine state failed');
		}
	}

	private isIdle(): boolean {
		return this.engine !== undefined && this.authority.state !== 'unverified' && this.engine.loading.length === 0 && this.nextOrder() === undefined;
	}

	private schedule(): void {
		if (this.stopped) {
			return;
		}

		this.timer = setTimeout(async () => {
			await this.reconcile();
			this.schedule();
		}, this.isIdle() ? idlePollIntervalMs : busyPollIntervalMs);
		this.timer.unref();
	}
}
