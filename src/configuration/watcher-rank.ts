/** Decides which processes of a zone watch the configuration service. */
import {rankMembers} from '../runtime/rendezvous.ts';

/** How many processes of a zone hold a watch; the second one covers the death of the first. */
export const watchersPerZone = 2;

/** How many further processes of a zone check that the watchers are alive. */
export const standbysPerZone = 2;

/** A process that takes part in the exchange. */
export type Peer = {
	readonly vm: string;
	readonly zone: string;
	/** The control listener, `ip:port`. */
	readonly address: string;
};

/**
 * Ranks a zone's processes for the watch, best first.
 *
 * The own process always takes part, since the list may not name it yet.
 *
 * @param own - this process
 * @param peers - the processes that the platform lists
 */
export function rankWatchers(own: Pick<Peer, 'vm' | 'zone'>, peers: readonly Peer[]): string[] {
	const vms = peers.filter(peer => peer.zone === own.zone && peer.vm !== own.vm).map(peer => peer.vm);
	return rankMembers(`watch/${own.zone}`, [...vms, own.vm]);
}

/** What a process has to do for the watch. */
export type WatchAssignment = {
	readonly role: 'watcher' | 'standby' | 'none';
	/** For a standby: the watchers that it checks. */
	readonly watchers: readonly string[];
};

/**
 * Decides what a process has to do, passing over processes that it cannot reach.
 *
 * Only unreachable processes are passed over: watchers that the service does not answer stay watchers, since a replacement would fare no better.
 *
 * @param vm - this process
 * @param ranking - from {@link rankWatchers}
 * @param isUnreachable - whether exchanges with a process failed lately
 */
export function assignWatch(vm: string, ranking: readonly string[], isUnreachable: (vm: string) => boolean): WatchAssignment {
	const ahead = ranking.slice(0, ranking.indexOf(vm));
	if (ahead.length >= watchersPerZone + standbysPerZone) {
		return {role: 'none', watchers: []};
	}

	const reachable = ahead.filter(other => !isUnreachable(other));
	return {role: reachable.length < watchersPerZone ? 'watcher' : 'standby', watchers: ahead};
}
