/** Fetches the newer parts of the directory from a gateway that has them. */
import type {Directory, DirectorySnapshot} from '../directory/directory.ts';
import type {PeerClient} from '../links/peer-client.ts';
import {directoryGetMethod, type DirectoryState} from '../messages/peers-exchange.ts';
import type {Logger} from '../runtime/logger.ts';
import {directorySnapshotSchema} from './directory-snapshot-schema.ts';

/** Timeout of a request, in milliseconds. */
const pullTimeoutMs = 900;

/** Dependencies of a {@link DirectoryPuller}. */
export type DirectoryPullerOptions = {
	readonly links: PeerClient;
	readonly directory: Directory;
	/** What this process fetches: the whole directory, or only the services. */
	readonly pulledParts: 'directory' | 'services';
	readonly log: Logger;
};

/** Runs one request at a time; the latest offer of newer parts that arrives meanwhile follows it. */
export class DirectoryPuller {
	private isPulling = false;
	private next: {readonly address: string; readonly state: DirectoryState} | undefined;

	constructor(private readonly options: DirectoryPullerOptions) {}

	/**
	 * Fetches what a gateway has if it is newer than what this process knows.
	 *
	 * @param address - the control address of the gateway
	 * @param state - the state of its directory
	 */
	async pull(address: string, state: DirectoryState): Promise<void> {
		if (!this.isNewer(state)) {
			return;
		}

		if (this.isPulling) {
			this.next = {address, state};
			return;
		}

		this.isPulling = true;
		try {
			await this.fetch(address);
		} catch (err) {
			// The periodic exchanges offer the newer parts again.
			this.options.log.warn({event: 'directory_not_pulled', address, err}, 'could not fetch newer parts of the directory from a peer');
		} finally {
			this.isPulling = false;
		}

		const {next} = this;
		this.next = undefined;
		if (next) {
			await this.pull(next.address, next.state);
		}
	}

	private isNewer({configurationVersion, lastInstanceChange}: DirectoryState): boolean {
		const {directory, pulledParts} = this.options;
		return configurationVersion > directory.configurationVersion || (pulledParts === 'directory' && lastInstanceChange > directory.instancesRevision);
	}

	private async fetch(address: string): Promise<void> {
		const {directory, links, pulledParts} = this.options;
		const {configurationVersion, instancesRevision} = directory;
		const params = {configurationVersion, instancesRevision, servicesOnly: pulledParts === 'services'};
		const requestedAtMs = directory.clock.nowMs;
		const snapshot = await links.rpc(address, {method: directoryGetMethod, params}, directorySnapshotSchema, {timeoutMs: pullTimeoutMs});
		directory.mergeFromPeer(snapshot as DirectorySnapshot, requestedAtMs);
	}
}
