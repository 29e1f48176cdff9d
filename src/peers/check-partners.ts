/**
 * Decides with which gateways a gateway compares its directory.
 *
 * The gateways of a zone form levels: the first ones by rank for the duty to watch, which compare with each other and with those of other
 * zones, then eight for each of them, and so on. Whatever the size of a zone, a gateway has two partners in the level above its own and answers
 * about sixteen below it, and the levels grow with the logarithm of the size.
 */
import type {PeerInfo} from '../messages/peers-exchange.ts';
import {rankForWatch, watchersPerZone} from './watch-duty.ts';

/** Minimum number of gateways in the first level of a zone; with one, its loss would leave all others without a partner. */
const minFirstLevel = 2;

/** How many times larger each level is than the one above it. */
const growth = 8;

/** The partners of a gateway. */
export type CheckPartners = {
	/** Level of the gateway in its zone; 0 is the first. */
	readonly level: number;
	/** Addresses of the partners in the own zone, which are asked in turn. */
	readonly near: readonly string[];
	/** Addresses of the first level of the other zones, nearest in the order of zones first. */
	readonly far: readonly string[];
};

/** Returns the partners of a gateway, given all known processes but itself. */
export function choosePartners(self: PeerInfo, others: readonly PeerInfo[]): CheckPartners {
	const gateways = [self, ...others].filter(({role}) => role === 'gateway');
	const addresses = new Map(gateways.map(({vm, address}) => [vm, address]));
	const zones = [...new Set(gateways.map(({zone}) => zone))].toSorted();
	const firstLevel = Math.max(minFirstLevel, watchersPerZone(zones.length));
	const ranking = rankForWatch(self.zone, gateways);
	const {level, partners} = findAbove(ranking.indexOf(self.vm), Math.min(firstLevel, ranking.length));
	const ownAt = zones.indexOf(self.zone);
	const otherZones = [...zones.slice(ownAt + 1), ...zones.slice(0, ownAt)];
	const far = otherZones.flatMap(zone => rankForWatch(zone, gateways).slice(0, firstLevel));
	const addressOf = (vm: string) => addresses.get(vm)!;
	const near = partners.map(position => ranking[position]!).filter(vm => vm !== self.vm);
	return {level, near: near.map(vm => addressOf(vm)), far: far.map(vm => addressOf(vm))};
}

/** Returns the level of a position in the ranking of a zone, and the positions that it compares with. */
function findAbove(position: number, firstLevel: number): {readonly level: number; readonly partners: readonly number[]} {
	if (position < firstLevel) {
		return {level: 0, partners: [(position + 1) % firstLevel]};
	}

	let level = 1;
	let aboveStart = 0;
	let start = firstLevel;
	for (let size = firstLevel * growth; position >= start + size; size *= growth) {
		level++;
		aboveStart = start;
		start += size;
	}

	const aboveSize = start - aboveStart;
	const offset = position - start;
	return {level, partners: [aboveStart + (offset % aboveSize), aboveStart + ((offset + 1) % aboveSize)]};
}
