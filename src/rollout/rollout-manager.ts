/** Transfers the published versions to this VM and orders the engine to load and serve them. */
import type {ConfigurationStore} from '../configuration/configuration-store.ts';
import {createDigest} from '../ids/digest.ts';
import type {OrderManager} from '../orders/order-manager.ts';
import type {Finding} from '../runtime/finding.ts';
import type {Logger} from '../runtime/logger.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import type {TransferState} from './transfer-machine.ts';
import type {TransferNode, WantedVersion} from './transfer-node.ts';

/** The mean interval of reconciliation, in milliseconds. */
const reconcileIntervalMs = 500;

/** Dependencies of a rollout manager. */
export type RolloutManagerOptions = {
	readonly store: ConfigurationStore;
	readonly orders: OrderManager;
	readonly random: RandomSource;
	readonly log: Logger;
	/** Creates the transfer node, which calls `onHeld` when every chunk of a version is held and verified. */
	readonly createNode: (onHeld: (wanted: WantedVersion) => void) => TransferNode;
};

/** The progress of one version on this VM. */
export type VersionProgress = {
	readonly model: string;
	readonly version: string;
	readonly held: number;
	readonly total: number;
	readonly state: TransferState;
	/** Bytes of the version that this VM read from the origin. */
	readonly originBytes: number;
};

/** Reconciles the transfers and the engine's orders with the published configuration. */
export class RolloutManager {
	readonly node: TransferNode;
	private timer: NodeJS.Timeout | undefined;
	private stopped = false;
	private readonly ordersInProgress = new Set<string>();

	constructor(private readonly options: RolloutManagerOptions) {
		this.node = options.createNode(held => {
			void this.orderEngine(held);
		});
	}

	/** The progress of each version that is wanted or still in memory. */
	get progress(): readonly VersionProgress[] {
		return this.node.versions.map(({model, version, transfer}) => ({
			model, version, held: transfer.heldCount, total: transfer.manifest?.chunks.length ?? 0, state: transfer.state, originBytes: transfer.originBytes,
		}));
	}

	/** Findings about versions that do not fit into the memory for weights. */
	get findings(): readonly Finding[] {
		return this.node.versions.filter(({doesNotFit}) => doesNotFit)
			.map(({model, version}) => ({file: `/models/${model}`, key: `versions.${version}`, reason: 'does not fit into transfer.memory_bytes beside the versions that are served'}));
	}

	/** Starts to reconcile, on every configuration change and periodically. */
	start(): void {
		this.options.store.onChange(() => {
			this.reconcile();
		});
		this.reconcile();
		this.schedule();
	}

	/** Stops transfers and orders. */
	stop(): void {
		this.stopped = true;
		clearTimeout(this.timer);
		this.node.stop();
	}

	private schedule(): void {
		if (this.stopped) {
			return;
		}

		this.timer = setTimeout(() => {
			this.reconcile();
			this.schedule();
		}, this.options.random.jitter(reconcileIntervalMs));
		this.timer.unref();
	}

	private reconcile(): void {
		if (this.stopped) {
			return;
		}

		const wanted = this.wantedVersions();
		const served = new Set(this.options.orders.engineState?.served.map(({manifest}) => manifest));
		this.node.setWantedVersions(wanted, served);
		// Orders may fail and the engine may restart, so the order is repeated as long as the version is wanted.
		const wantedDigests = new Set(wanted.map(({manifest}) => manifest));
		for (const version of this.node.versions) {
			if (version.transfer.state === 'held' && wantedDigests.has(version.manifest)) {
				void this.orderEngine(version);
			}
		}
	}

	private wantedVersions(): WantedVersion[] {
		const wanted: WantedVersion[] = [];
		for (const [model, document] of this.options.store.models()) {
			const version = document.versions[document.serve];
			if (version) {
				wanted.push({
					model, version: document.serve, manifest: createDigest(version.manifest), objective: document.objective,
				});
			}
		}

		return wanted;
	}

	private async orderEngine({model, version, manifest}: WantedVersion): Promise<void> {
		if (this.ordersInProgress.has(manifest)) {
			return;
		}

		this.ordersInProgress.add(manifest);
		try {
			await this.options.orders.bringIntoService({model, version, manifest});
		} catch (err) {
			this.options.log.warn({event: 'engine_order_failed', err}, 'engine order failed; it will be retried');
		} finally {
			this.ordersInProgress.delete(manifest);
		}
	}
}
