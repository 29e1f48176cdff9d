/** What processes tell each other of the state of their directories, and what one requests of another. */
import {noEra} from '../ids/store-era.ts';
import type {DirectoryRevisions, DirectoryState} from '../messages/peers-exchange.ts';
import type {EraHistory} from './era-history.ts';
import type {Evacuations} from './evacuations.ts';
import {createStoreRevision, eraOf, type StoreRevision} from './store-revision.ts';

/** Returns the state that others compare with theirs. */
export function describeState(configurationVersion: number, {lastChange, earlier}: EraHistory, evacuationChange: StoreRevision | undefined): DirectoryState {
	return {
		configurationVersion,
		lastInstanceChange: lastChange.revision,
		...(lastChange.era === undefined ? {} : {era: lastChange.era}),
		...(evacuationChange ? {lastEvacuationChange: evacuationChange.revision} : {}),
		...(evacuationChange?.era === undefined ? {} : {evacuationEra: evacuationChange.era}),
		...(earlier.length > 0 ? {earlier: earlier.map(record => [record.era, record.lastChange])} : {}),
	};
}

/** Returns whether a process lacks a change of the instances that another one knows, in the present era or in an earlier one. */
export function lacksChanges(eras: EraHistory, state: DirectoryState): boolean {
	return listChanges(state).some(at => !eras.covers(at));
}

/** Returns whether a process lacks a begin or an end of an evacuation that another one knows. */
export function lacksEvacuations(evacuations: Evacuations, {lastEvacuationChange, evacuationEra = noEra}: DirectoryState): boolean {
	return lastEvacuationChange !== undefined && evacuations.lacks(createStoreRevision(evacuationEra, lastEvacuationChange));
}

/** Returns what a process requests of another one: the differences, or all if the other one knows of an earlier era what this one lacks. */
export function chooseRevisions(configurationVersion: number, eras: EraHistory, state: DirectoryState): DirectoryRevisions {
	const lacksEarlier = listChanges(state).some(at => eraOf(at) < eras.era && !eras.covers(at));
	return {configurationVersion, instancesRevision: lacksEarlier ? 0 : eras.revision.revision, ...(eras.era === noEra ? {} : {era: eras.era})};
}

/** The last change of each era that a state tells of. */
function listChanges({lastInstanceChange, era = noEra, earlier = []}: DirectoryState): StoreRevision[] {
	return [createStoreRevision(era, lastInstanceChange), ...earlier.map(([earlierEra, revision]) => createStoreRevision(earlierEra, revision))];
}
