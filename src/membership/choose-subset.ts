/** Chooses the agents that an entry keeps links to. */
import {rankMembers} from '../runtime/rendezvous.ts';
import type {Member} from './member.ts';

/** Agents per service that an entry keeps links to in its own zone. */
export const subsetSize = 24;

/** Agents per service of all other zones that an entry keeps links to while the own zone is short. */
export const spilloverSubsetSize = 8;

/** Mean load of the own zone's subset at which agents of other zones are added; routing spills from 0.9 on and needs their reports by then. */
export const spilloverLinkThreshold = 0.75;

/** Who chooses. */
export type SubsetOwner = {readonly vm: string; readonly zone: string};

/**
 * Chooses an entry's agents of one service: up to 24 of its own zone, and some of other zones when the own zone is short.
 *
 * A member that is out keeps no place, so that the next one by rank takes it.
 *
 * @param owner - the entry
 * @param service - the service
 * @param members - all members
 */
export function chooseSubset(owner: SubsetOwner, service: string, members: readonly Member[]): Member[] {
	const agents = members.filter(member => member.role === 'upstream' && member.usable && member.services.includes(service));
	const ownZone = selectHighestRanked(owner, service, agents.filter(member => member.zone === owner.zone), subsetSize);
	return needsSpillover(ownZone) ? [...ownZone, ...selectHighestRanked(owner, service, agents.filter(member => member.zone !== owner.zone), spilloverSubsetSize)] : ownZone;
}

/**
 * Tells whether the own zone's agents are so loaded that other zones may be needed.
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
