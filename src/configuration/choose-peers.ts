/** Chooses the peers of an exchange. */
import type {RandomSource} from '../runtime/random-source.ts';
import type {Peer} from './watcher-rank.ts';

/** How many peers of the own zone are offered a new revision. */
export const zoneOfferFanout = 4;

/** How many peers are asked at start. */
export const startupPeerCount = 5;

/** Every how many exchanges one goes to another zone; in zones of fewer than three peers every second one does. */
export const crossZoneExchangePeriod = 4;

/** What the choice depends on. */
export type PeerCandidates = {
	readonly zone: string;
	/** All other processes. */
	readonly peers: readonly Peer[];
	readonly isUnreachable: (vm: string) => boolean;
};

/**
 * Chooses who is offered a new revision: random peers of the own zone, and from a watcher one of each other zone.
 *
 * @param choice - the peers
 * @param isWatcher - whether this process watches the service
 * @param random - draws the peers
 */
export function chooseOfferPeers(choice: PeerCandidates, isWatcher: boolean, random: RandomSource): Peer[] {
	const {own, foreign} = split(choice);
	const chosen = random.sample(own, zoneOfferFanout);
	if (isWatcher) {
		for (const zone of new Set(foreign.map(peer => peer.zone))) {
			chosen.push(...random.sample(foreign.filter(peer => peer.zone === zone), 1));
		}
	}

	return chosen;
}

/**
 * Chooses the peer of one exchange; every fourth one is in another zone.
 *
 * @param choice - the peers
 * @param count - how many exchanges there were before
 * @param random - draws the peer
 * @returns undefined when there is no other process
 */
export function chooseExchangePeer(choice: PeerCandidates, count: number, random: RandomSource): Peer | undefined {
	const {own, foreign} = split(choice);
	const period = own.length < 3 ? 2 : crossZoneExchangePeriod;
	const isForeign = count % period === period - 1;
	const [first, second] = isForeign ? [foreign, own] : [own, foreign];
	return random.sample(first.length > 0 ? first : second, 1)[0];
}

/**
 * Chooses whom a starting process asks, the own zone first.
 *
 * @param choice - the peers
 * @param random - draws the peers
 */
export function chooseStartupPeers(choice: PeerCandidates, random: RandomSource): Peer[] {
	const {own, foreign} = split(choice);
	// One peer of another zone, since the own zone may be cut off with an older revision.
	const far = random.sample(foreign, own.length < startupPeerCount ? startupPeerCount - own.length : 1);
	return [...random.sample(own, startupPeerCount - far.length), ...far];
}

/** When all peers look unreachable, the fault may be over: all of them are tried again. */
function split({zone, peers, isUnreachable}: PeerCandidates): {own: Peer[]; foreign: Peer[]} {
	const reachable = peers.filter(peer => !isUnreachable(peer.vm));
	const usable = reachable.length > 0 ? reachable : peers;
	return {own: usable.filter(peer => peer.zone === zone), foreign: usable.filter(peer => peer.zone !== zone)};
}
