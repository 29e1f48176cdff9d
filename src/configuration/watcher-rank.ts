/** Assigns the watch on the configuration service to processes of a zone. */
import {rankMembers} from '../runtime/rendezvous.ts';

/** Number of processes per zone that watch the service; the second one covers a failure of the first. */
export const watchersPerZone = 2;

/** Number of further processes per zone that check whether the watchers are alive. */
export const standbysPerZone = 2;

/** A process that takes part in the configuration exchange. */
export type Peer = {
	readonly vm: string;
	readonly zone: string;
	/** Address of the control listener, `ip:port`. */
	readonly address: string;
};

/**
 * Ranks the VMs of this process's zone for the watch, highest rank first.
 *
 * This process is always included, since the VM list may not contain it yet.
 *
 * @param peers - the processes on the listed VMs
 */
export function rankWatchers(self: Pick<Peer, 'vm' | 'zone'>, peers: readonly Peer[]): string[] {
	const vms = peers.filter(peer => peer.zone === self.zone && peer.vm !== self.vm).map(peer => peer.vm);
	return rankMembers(`watch/${self.zone}`, [...vms, self.vm]);
}

/** The role of a process in the watch. */
export type WatchAssignment = {
	readonly role: 'watcher' | 'standby' | 'none';
	/** The VMs of higher rank, whose processes a standby checks; empty for the role `none`. */
	readonly watchers: readonly string[];
};

/**
 * Assigns a role to a process by its rank. A standby becomes a watcher when too few processes of higher rank are reachable.
 *
 * A watcher that gets no answer from the service remains a watcher, since a replacement would most likely get none either.
 *
 * @param vm - the VM of this process
 * @param ranking - the result of {@link rankWatchers}
 * @param isUnreachable - whether requests to a VM's process failed recently
 */
export function assignWatch(vm: string, ranking: readonly string[], isUnreachable: (vm: string) => boolean): WatchAssignment {
	const higherRanked = ranking.slice(0, ranking.indexOf(vm));
	if (higherRanked.length >= watchersPerZone + standbysPerZone) {
		return {role: 'none', watchers: []};
	}

	const reachable = higherRanked.filter(other => !isUnreachable(other));
	return {role: reachable.length < watchersPerZone ? 'watcher' : 'standby', watchers: higherRanked};
}
