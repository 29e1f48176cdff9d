/** Deterministic subsetting: selects the agents of a service that an entry keeps connections to. */
import {rankMembers} from '../runtime/rendezvous.ts';
import type {Member} from './member.ts';

/** Maximum number of agents per service in the own zone that an entry connects to. */
export const subsetSize = 24;

/** Maximum number of agents per service in all other zones that an entry connects to while its own zone needs spillover. */
export const spilloverSubsetSize = 8;

/** Mean load of the own zone's subset at which agents of other zones are added. Routing spills over above 0.9 and needs their reports by then. */
export const spilloverLinkThreshold = 0.75;

/** The entry that a subset is selected for. */
export type SubsetOwner = {readonly vm: string; readonly zone: string};

/**
 * Selects the agents of one service for an entry: up to 24 in its own zone, and up to 8 in other zones when the own zone needs spillover.
 *
 * Members are ranked by rendezvous hashing. An unusable member is left out, and the member with the next rank replaces it.
 */
export function chooseSubset(owner: SubsetOwner, service: string, members: readonly Member[]): Member[] {
	const agents = members.filter(member => member.role === 'upstream' && member.usable && member.services.includes(service));
	const ownZone = selectHighestRanked(owner, service, agents.filter(member => member.zone === owner.zone), subsetSize);
	return needsSpillover(ownZone) ? [...ownZone, ...selectHighestRanked(owner, service, agents.filter(member => member.zone !== owner.zone), spilloverSubsetSize)] : ownZone;
}

/**
 * Returns whether the own zone's subset is empty or so loaded that agents of other zones may be needed.
 *
 * @param ownZone - the own zone's subset
 */
export function needsSpillover(ownZone: readonly Member[]): boolean {
	const reports = ownZone.flatMap(({sight}) => sight.report ? [sight.report] : []);
	const loads = reports.map(({running, queued, capacity}) => (running + queued) / Math.max(1, capacity));
	return ownZone.length === 0 || (loads.length > 0 && loads.reduce((sum, load) => sum + load, 0) / loads.length >= spilloverLinkThreshold);
}

function selectHighestRanked(owner: SubsetOwner, service: string, members: readonly Member[], count: number): Member[] {
	if (members.length <= count) {
		return [...members];
	}

	const byVm = new Map(members.map(member => [member.vm, member]));
	return rankMembers(`subset/${service}/${owner.vm}`, [...byVm.keys()]).slice(0, count).flatMap(vm => byVm.get(vm) ?? []);
}
