/** Long-polls and reads the configuration service for one process. */
import type {PeerClient} from '../links/peer-client.ts';
import type {Logger} from '../runtime/logger.ts';
import type {RandomSource} from '../runtime/random-source.ts';
import type {ConfigurationReplica} from './configuration-replica.ts';
import {ConfigurationServiceClient} from './configuration-service-client.ts';

/** Wait of one long poll, in milliseconds; without changes, this is how often the service confirms its revision. */
export const longPollMs = 5000;

/** Base of the mean retry delay after a failed read, in milliseconds; the delay doubles with each failure. */
export const watchRetryMs = 500;

/** Upper limit of the mean retry delay, in milliseconds. */
export const maxWatchRetryMs = 5000;

/** Pause between two long polls, in milliseconds: a burst of changes costs each watcher at most 8 calls per second. */
export const minWatchIntervalMs = 250;

/** Dependencies of {@link ServiceWatcher}. */
export type ServiceWatcherOptions = {
	readonly replica: ConfigurationReplica;
	readonly links: PeerClient;
	readonly random: RandomSource;
	readonly log: Logger;
	/** The configuration service's address. */
	readonly serviceUrl: string;
	/** Called after each response of the service. */
	readonly onResponse: () => void;
};

/** Sends the replica's requests to the service and passes the responses back to it. */
export class ServiceWatcher {
	private readonly client: ConfigurationServiceClient;
	private readonly abortController = new AbortController();
	private failures = 0;
	private isWatching = false;

	constructor(private readonly options: ServiceWatcherOptions) {
		this.client = new ConfigurationServiceClient(options.links, options.serviceUrl);
	}

	/**
	 * Watches the service as long as the condition holds. Does nothing when a watch is already running.
	 *
	 * @param isNeeded - the condition, evaluated before each read
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
		const request = replica.nextServiceRequest(performance.now());
		// Sends the follow-up request too when the first response requires one, such as a full read.
		const hasResponse = await this.sendRequest();
		if (hasResponse && request.kind !== 'whole' && replica.nextServiceRequest(performance.now()).kind !== 'watch') {
			return this.sendRequest();
		}

		return hasResponse;
	}

	/** Stops the watch and aborts a running request. */
	stop(): void {
		this.abortController.abort();
	}

	// A loop instead of `unfold` from `most`, which keeps all earlier promises of the stream in memory.
	private async watch(isNeeded: () => boolean): Promise<void> {
		try {
			while (!this.abortController.signal.aborted && isNeeded()) {
				await this.readAndPause();
			}
		} finally {
			this.isWatching = false;
		}
	}

	private async readAndPause(): Promise<void> {
		const hasResponse = await this.sendRequest(longPollMs);
		if (!hasResponse) {
			await this.pause(this.options.random.jitter(Math.min(maxWatchRetryMs, watchRetryMs * (2 ** this.failures))));
		} else if (this.options.replica.nextServiceRequest(performance.now()).kind === 'watch') {
			await this.pause(minWatchIntervalMs);
		}
	}

	private async sendRequest(waitMs = 0): Promise<boolean> {
		const {replica, log, onResponse} = this.options;
		const request = replica.nextServiceRequest(performance.now());
		try {
			const response = await this.client.read(request.after, request.kind === 'watch' ? waitMs : 0, this.abortController.signal);
			replica.handleServiceResponse(request, response, performance.now());
			this.failures = 0;
			onResponse();
			return true;
		} catch (err) {
			if (!this.abortController.signal.aborted) {
				this.failures++;
				replica.handleServiceFailure();
				log.warn({event: 'configuration_read_failed', kind: request.kind, err}, 'reading the configuration service failed');
			}

			return false;
		}
	}

	private async pause(durationMs: number): Promise<void> {
		await new Promise(resolve => {
			setTimeout(resolve, durationMs).unref();
		});
	}
}
