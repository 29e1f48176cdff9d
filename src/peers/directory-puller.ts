/** Fetches the newer parts of the directory from a gateway that has them. */
import {lacksEvacuations} from '../directory/directory-state.ts';
import type {Directory, DirectorySnapshot} from '../directory/directory.ts';
import {compareRevisions, type StoreRevision} from '../directory/store-revision.ts';
import type {PeerClient} from '../links/peer-client.ts';
import {directoryGetMethod, type DirectoryState} from '../messages/peers-exchange.ts';
import type {Logger} from '../runtime/logger.ts';
import {directorySnapshotSchema} from './directory-snapshot-schema.ts';

/** Timeout of a request, in milliseconds. */
const pullTimeoutMs = 900;

/** How long a request may take before another gateway is asked as well, in milliseconds. */
const hedgeDelayMs = 250;

/** Maximum number of requests at the same time; a request that a gateway leaves unanswered must not hold up what others offer. */
const maxRequests = 2;

/** Maximum number of gateways whose offers are kept for later. */
const maxOffers = 4;

/** Dependencies of {@link DirectoryPuller}. */
export type DirectoryPullerOptions = {
	readonly links: PeerClient;
	readonly directory: Directory;
	/** What this process fetches: the whole directory, or only the services. */
	readonly pulledParts: 'directory' | 'services';
	readonly log: Logger;
};

/** Runs few requests at a time; the newest offers that arrive meanwhile follow. */
export class DirectoryPuller {
	/** Start of each request that runs, by address of the gateway, in milliseconds of the monotonic clock. */
	private readonly requests = new Map<string, number>();
	private readonly offers = new Map<string, DirectoryState>();
	private hedgeTimer: NodeJS.Timeout | undefined;

	constructor(private readonly options: DirectoryPullerOptions) {}

	/**
	 * Fetches what a gateway has if it is newer than what this process knows.
	 *
	 * @param address - the control address of the gateway
	 * @param state - the state of its directory
	 * @returns whether this process now knows all of it
	 */
	async pull(address: string, state: DirectoryState): Promise<boolean> {
		if (!this.isNewer(state)) {
			return true;
		}

		if (this.canRequest(address)) {
			await this.request(address, state);
		} else {
			this.keepOffer(address, state);
		}

		return !this.isNewer(state);
	}

	private isNewer(state: DirectoryState): boolean {
		const {directory, pulledParts} = this.options;
		return state.configurationVersion > directory.configurationVersion || (pulledParts === 'directory' && (directory.lacksInstances(state) || lacksEvacuations(directory.evacuations, state)));
	}

	private canRequest(address: string): boolean {
		if (this.requests.has(address) || this.requests.size >= maxRequests) {
			return false;
		}

		return performance.now() - Math.max(...this.requests.values()) >= hedgeDelayMs;
	}

	private keepOffer(address: string, state: DirectoryState): void {
		this.offers.delete(address);
		this.offers.set(address, state);
		const [oldest] = this.offers.keys();
		if (this.offers.size > maxOffers) {
			this.offers.delete(oldest!);
		}
	}

	private async request(address: string, state: DirectoryState): Promise<void> {
		this.requests.set(address, performance.now());
		this.hedgeTimer ??= setTimeout(() => {
			this.hedgeTimer = undefined;
			this.requestNextOffer();
		}, hedgeDelayMs).unref();
		try {
			await this.fetch(address, state);
			if (this.isNewer(state)) {
				// The answer was a difference to what another request has replaced meanwhile.
				await this.fetch(address, state);
			}
		} catch (err) {
			// The checks and exchanges that follow offer the newer parts again.
			this.options.log.warn({
				event: 'directory_not_pulled', address, err, configuration: this.options.directory.configurationVersion, offered: state.configurationVersion,
			}, 'could not fetch newer parts of the directory from a peer');
		} finally {
			this.requests.delete(address);
		}

		this.requestNextOffer();
	}

	/** Turns to the newest offer that still has something new, of a gateway that is not being asked. */
	private requestNextOffer(): void {
		const newest = [...this.offers].filter(([address, state]) => this.isNewer(state) && this.canRequest(address))
			.toSorted(([, a], [, b]) => b.configurationVersion - a.configurationVersion || compareRevisions(lastChangeOf(b), lastChangeOf(a)))[0];
		if (newest) {
			this.offers.delete(newest[0]);
			void this.request(...newest);
		}
	}

	private async fetch(address: string, state: DirectoryState): Promise<void> {
		const {directory, links, pulledParts} = this.options;
		const params = {...directory.revisionsToRequest(state), servicesOnly: pulledParts === 'services'};
		const requestedAtMs = directory.clock.nowMs;
		const snapshot = await links.rpc(address, {method: directoryGetMethod, params}, directorySnapshotSchema, {timeoutMs: pullTimeoutMs});
		directory.mergeFromPeer(snapshot as DirectorySnapshot, requestedAtMs);
	}
}

function lastChangeOf({lastInstanceChange: revision, era}: DirectoryState): StoreRevision {
	return {revision, era};
}
