/** Selects the peers for configuration offers and exchanges. */
import type {RandomSource} from '../runtime/random-source.ts';
import type {Peer} from './watcher-rank.ts';

/** Number of peers in the same zone that receive an offer of a new revision. */
export const zoneOfferFanout = 4;

/** Number of peers that a process exchanges versions with at startup. */
export const startupPeerCount = 5;

/** One in this many exchanges goes to another zone; every second one does when the zone has fewer than three peers. */
export const crossZoneExchangePeriod = 4;

/** The peers to select from. */
export type PeerCandidates = {
	/** This process's zone. */
	readonly zone: string;
	/** All other processes. */
	readonly peers: readonly Peer[];
	readonly isUnreachable: (vm: string) => boolean;
};

/**
 * Selects the peers that are offered a new revision: random peers in the same zone and, from a watcher, one in each other zone.
 *
 * @param isWatcher - whether this process watches the configuration service
 */
export function chooseOfferPeers(candidates: PeerCandidates, isWatcher: boolean, random: RandomSource): Peer[] {
	const {sameZone, otherZones} = splitByZone(candidates);
	const selected = random.sample(sameZone, zoneOfferFanout);
	if (isWatcher) {
		for (const zone of new Set(otherZones.map(peer => peer.zone))) {
			selected.push(...random.sample(otherZones.filter(peer => peer.zone === zone), 1));
		}
	}

	return selected;
}

/**
 * Selects the peer for one exchange, in another zone once per {@link crossZoneExchangePeriod}.
 *
 * @param count - number of earlier exchanges
 * @returns undefined when there is no other process
 */
export function chooseExchangePeer(candidates: PeerCandidates, count: number, random: RandomSource): Peer | undefined {
	const {sameZone, otherZones} = splitByZone(candidates);
	const period = sameZone.length < 3 ? 2 : crossZoneExchangePeriod;
	const isCrossZone = count % period === period - 1;
	const [preferred, alternative] = isCrossZone ? [otherZones, sameZone] : [sameZone, otherZones];
	return random.sample(preferred.length > 0 ? preferred : alternative, 1)[0];
}

/** Selects the peers that a starting process exchanges versions with, mostly in the same zone. */
export function chooseStartupPeers(candidates: PeerCandidates, random: RandomSource): Peer[] {
	const {sameZone, otherZones} = splitByZone(candidates);
	// At least one peer is in another zone, since this zone may be partitioned and hold an older revision.
	const crossZonePeers = random.sample(otherZones, sameZone.length < startupPeerCount ? startupPeerCount - sameZone.length : 1);
	return [...random.sample(sameZone, startupPeerCount - crossZonePeers.length), ...crossZonePeers];
}

/** Splits the reachable peers by zone. When all of them are marked unreachable, all are tried again, since the fault may be over. */
function splitByZone({zone, peers, isUnreachable}: PeerCandidates): {sameZone: Peer[]; otherZones: Peer[]} {
	const reachable = peers.filter(peer => !isUnreachable(peer.vm));
	const usable = reachable.length > 0 ? reachable : peers;
	return {sameZone: usable.filter(peer => peer.zone === zone), otherZones: usable.filter(peer => peer.zone !== zone)};
}
