/** Keeps the configuration in force up to date. */
import type {PeerClient} from '../links/peer-client.ts';
import type {Logger} from '../runtime/logger.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import {noRevision} from '../ids/revision.ts';
import {acceptTree, type ConfigurationUpdate} from './accept-tree.ts';
import {ConfigurationService} from './configuration-service.ts';
import type {ConfigurationStore} from './configuration-store.ts';

/** How long one watch waits at the service, in milliseconds. */
export const watchWaitMs = 20_000;

/** Mean pause after a failed watch, in milliseconds. */
export const watchRetryMs = 1000;

/** What the manager works with. */
export type ConfigurationManagerOptions = {
	readonly store: ConfigurationStore;
	readonly links: PeerClient;
	readonly random: RandomSource;
	readonly log: Logger;
	/** The configuration service's address. */
	readonly serviceUrl: string;
};

/** Watches the configuration service and puts accepted revisions in force. */
export class ConfigurationManager {
	private readonly service: ConfigurationService;
	private readonly stopping = new AbortController();

	/** @param options - what the manager works with */
	constructor(private readonly options: ConfigurationManagerOptions) {
		this.service = new ConfigurationService(options.links, options.serviceUrl);
	}

	/** Starts the watch. */
	start(): void {
		void this.watch();
	}

	/** Ends the watch. */
	stop(): void {
		this.stopping.abort();
	}

	private async watch(): Promise<void> {
		while (!this.stopping.signal.aborted) {
			try {
				const {revision} = this.options.store;
				const answer = await this.service.read(revision, revision === noRevision ? 0 : watchWaitMs, this.stopping.signal);
				this.apply({...answer, whole: revision === noRevision});
				if (answer.revision <= revision && answer.revision !== revision) {
					await this.pause();
				}
			} catch (err) {
				this.options.log.warn({event: 'configuration_watch_failed', err}, 'configuration service did not answer');
				await this.pause();
			}
		}
	}

	private apply(update: ConfigurationUpdate): void {
		const {store, log} = this.options;
		const decision = acceptTree(store.current, update);
		for (const finding of decision.findings) {
			log.warn({event: 'configuration_finding', ...finding}, 'configuration finding');
		}

		if (decision.accepted) {
			store.replace(decision.tree, decision.findings);
			log.info({event: 'configuration_in_force', revision: update.revision}, 'configuration in force');
		}
	}

	private async pause(): Promise<void> {
		const {random} = this.options;
		await new Promise(resolve => {
			setTimeout(resolve, random.jitter(watchRetryMs)).unref();
		});
	}
}
