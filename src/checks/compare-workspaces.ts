/** Tells what the differences between the workspaces and keys of two configurations mean for calls. Names no key, since whoever reads it could use it. */
import type {KeyHolder} from '../directory/directory-types.ts';
import {compareHomeRegions, comparePriority} from './compare-routes.ts';
import type {
	CheckedConfiguration, Effect, GroupedFinding, Place,
} from './configuration-finding.ts';

type Keys = ReadonlyMap<string, KeyHolder>;

/** How many keys of a workspace the other configuration lacks, or gives to another workspace. */
type KeyCounts = {lost: number; passedOn: number; readonly holder: KeyHolder};

/** Compares the workspaces by name, and the keys by their holder. */
export function compareWorkspaces(before: CheckedConfiguration, after: CheckedConfiguration): GroupedFinding[] {
	const [old, next] = [before.configuration.keys, after.configuration.keys];
	if (!old || !next) {
		return old === next ? [] : [describeNeed(after, next !== undefined)];
	}

	const [oldKeys, nextKeys] = [new Map(Object.entries(old)), new Map(Object.entries(next))];
	const [oldCounts, nextCounts] = [countKeys(oldKeys, nextKeys), countKeys(nextKeys, oldKeys)];
	const [oldPlaces, nextPlaces] = [placesByName(before), placesByName(after)];
	return [...new Set([...oldCounts.keys(), ...nextCounts.keys()])].flatMap(name => {
		const [from, to] = [oldCounts.get(name), nextCounts.get(name)];
		const nextPlace = nextPlaces.get(name);
		const place = nextPlace ? after.locate(nextPlace) : before.locate(oldPlaces.get(name)!);
		const subject = `workspace ${name}${nextPlace ? '' : ' is removed, and'}`;
		return describeWorkspace(from, to).map(({effect, reason}): GroupedFinding => ({
			group: 'difference', effect, ...place, reason: `${subject} ${reason}`,
		}));
	});
}

function describeNeed({locate}: CheckedConfiguration, needsKeys: boolean): GroupedFinding {
	return {
		group: 'difference',
		...locate({part: 'workspace', at: 0}),
		effect: needsKeys ? 'refused' : 'served',
		reason: needsKeys ? 'calls need a key from now on; those without one are refused, except on public routes' : 'calls no longer need a key',
	};
}

/** Counts the keys of each workspace that the other configuration lacks, or gives to another workspace. */
function countKeys(keys: Keys, others: Keys): Map<string, KeyCounts> {
	const counts = new Map<string, KeyCounts>();
	for (const [key, holder] of keys) {
		const count = counts.get(holder.workspace) ?? {lost: 0, passedOn: 0, holder};
		counts.set(holder.workspace, count);
		const other = others.get(key);
		count.lost += other ? 0 : 1;
		count.passedOn += other && other.workspace !== holder.workspace ? 1 : 0;
	}

	return counts;
}

function describeWorkspace(from: KeyCounts | undefined, to: KeyCounts | undefined): Array<{effect: Effect; reason: string}> {
	const keys = (count: number) => `${count} ${count === 1 ? 'key' : 'keys'}`;
	const changes: Array<{effect: Effect; reason: string}> = [];
	if (!from) {
		changes.push({effect: 'served', reason: 'is new'});
	}

	if (from && from.lost > 0) {
		changes.push({effect: 'refused', reason: `loses ${keys(from.lost)}; calls with ${from.lost === 1 ? 'it' : 'them'} are refused`});
	}

	if (from && from.passedOn > 0) {
		changes.push({effect: 'moved', reason: `passes ${keys(from.passedOn)} on to another workspace, for which these calls count`});
	}

	if (from && to) {
		// Of the other configuration, "lost" keys are those that are new.
		changes.push(...(to.lost > 0 ? [{effect: 'served', reason: `gets ${keys(to.lost)} more`} as const] : []));
		const holderChanges = [comparePriority(from.holder.priority, to.holder.priority), compareHomeRegions(from.holder, to.holder)];
		changes.push(...holderChanges.filter(change => change !== undefined).map(({effect, reason}) => ({effect, reason: `changes: ${reason}`})));
	}

	return changes;
}

function placesByName({workspaces}: CheckedConfiguration): ReadonlyMap<string, Place> {
	return new Map(workspaces.map(({name}, at) => [name, {part: 'workspace', at}]));
}
