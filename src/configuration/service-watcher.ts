/** Reads and watches the configuration service for one process. */
import type {PeerClient} from '../links/peer-client.ts';
import type {Logger} from '../runtime/logger.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import type {ConfigurationReplica} from './configuration-replica.ts';
import {ConfigurationServiceClient} from './configuration-service-client.ts';

/** How long one watch waits at the service, in milliseconds; a quiet watch renews the service's word this often. */
export const longPollMs = 5000;

/** Mean pause after a failed read, in milliseconds; it doubles with each failure. */
export const watchRetryMs = 500;

/** Longest mean pause after a failed read, in milliseconds. */
export const maxWatchRetryMs = 5000;

/** Shortest time between two watches, in milliseconds: a burst of changes costs each watcher at most 8 calls per second. */
export const minWatchIntervalMs = 250;

/** What the watch works with. */
export type ServiceWatcherOptions = {
	readonly replica: ConfigurationReplica;
	readonly links: PeerClient;
	readonly random: RandomSource;
	readonly log: Logger;
	/** The configuration service's address. */
	readonly serviceUrl: string;
	/** Is called after each answer of the service. */
	readonly onResponse: () => void;
};

/** Asks the service what the replica wants to know. */
export class ServiceWatcher {
	private readonly service: ConfigurationServiceClient;
	private readonly stopping = new AbortController();
	private failures = 0;
	private isWatching = false;

	/** @param options - what the watch works with */
	constructor(private readonly options: ServiceWatcherOptions) {
		this.service = new ConfigurationServiceClient(options.links, options.serviceUrl);
	}

	/**
	 * Watches until told otherwise; a second call while a watch runs does nothing.
	 *
	 * @param isNeeded - is asked before each read
	 */
	watchWhile(isNeeded: () => boolean): void {
		if (!this.isWatching) {
			this.isWatching = true;
			void this.watch(isNeeded);
		}
	}

	/**
	 * Reads the service without waiting for a change.
	 *
	 * @returns whether the service answered
	 */
	async readOnce(): Promise<boolean> {
		const {replica} = this.options;
		const question = replica.nextServiceRequest(performance.now());
		// A question that follows from the first answer, such as a whole read, is asked too.
		const isAnswered = await this.ask();
		if (isAnswered && question.kind !== 'whole' && replica.nextServiceRequest(performance.now()).kind !== 'watch') {
			return this.ask();
		}

		return isAnswered;
	}

	/** Ends the watch. */
	stop(): void {
		this.stopping.abort();
	}

	// A loop instead of a stream that unfolds: `most` keeps a chain of all earlier promises of an unfolding stream.
	private async watch(isNeeded: () => boolean): Promise<void> {
		try {
			while (!this.stopping.signal.aborted && isNeeded()) {
				await this.askPaced();
			}
		} finally {
			this.isWatching = false;
		}
	}

	private async askPaced(): Promise<void> {
		const isAnswered = await this.ask(longPollMs);
		if (!isAnswered) {
			await this.pause(this.options.random.jitter(Math.min(maxWatchRetryMs, watchRetryMs * (2 ** this.failures))));
		} else if (this.options.replica.nextServiceRequest(performance.now()).kind === 'watch') {
			await this.pause(minWatchIntervalMs);
		}
	}

	private async ask(waitMs = 0): Promise<boolean> {
		const {replica, log, onResponse: onAnswer} = this.options;
		const question = replica.nextServiceRequest(performance.now());
		try {
			const answer = await this.service.read(question.after, question.kind === 'watch' ? waitMs : 0, this.stopping.signal);
			replica.handleServiceResponse(question, answer, performance.now());
			this.failures = 0;
			onAnswer();
			return true;
		} catch (err) {
			if (!this.stopping.signal.aborted) {
				this.failures++;
				replica.handleServiceFailure();
				log.warn({event: 'configuration_read_failed', kind: question.kind, err}, 'configuration service did not answer');
			}

			return false;
		}
	}

	private async pause(ms: number): Promise<void> {
		await new Promise(resolve => {
			setTimeout(resolve, ms).unref();
		});
	}
}
