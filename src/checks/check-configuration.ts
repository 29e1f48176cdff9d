/** Checks a file that holds a published configuration, by itself and against the one in force. */
import type {Finding} from '../runtime/finding.ts';
import type {
	CheckedConfiguration, GroupedFinding, InspectedConfiguration, Locate,
} from './configuration-finding.ts';
import {findContradictions, type RetryLimit} from './find-contradictions.ts';
import {findDifferences} from './find-differences.ts';
import {findErrors} from './find-errors.ts';
import {findRegionContradictions, type KnownPlaces} from './find-region-contradictions.ts';
import {findUnmatchedEntries} from './find-unmatched-entries.ts';
import type {JsonLineIndex, JsonPath} from './parse-json-with-lines.ts';

/** What is known of the deployment that a configuration is for. */
export type DeploymentFacts = KnownPlaces & {
	/** The retry limit of the gateways. */
	readonly retryLimit?: RetryLimit;
	/** The configuration in force. */
	readonly inForce?: CheckedConfiguration;
};

/** A file that was read, and its content. */
export type ParsedFile = {readonly file: string; readonly lines: JsonLineIndex; readonly duplicates: readonly JsonPath[]; readonly inspected: InspectedConfiguration};

/** Returns the parts of a file that cannot be used, and keys that are given twice. */
export function findFaults({file, lines, duplicates, inspected}: ParsedFile): GroupedFinding[] {
	const faults = [...duplicates.map(path => ({path, reason: 'is given more than once'})), ...inspected.faults];
	return faults.map(({path, reason}) => ({group: 'error', ...locatePath(path, file, lines), reason}));
}

/** Returns the configuration of a file with the place of each part; undefined if processes refuse it as a whole. */
export function toCheckedConfiguration({file, lines, inspected}: ParsedFile): CheckedConfiguration | undefined {
	const {configuration, workspaces, pathOf, isGiven} = inspected;
	const locate: Locate = place => locatePath(pathOf(place), file, lines);
	return configuration && {
		configuration, workspaces, locate, isGiven,
	};
}

/** Returns all findings of a configuration that can be used, except for the parts of it that cannot. */
export function checkConfiguration(checked: CheckedConfiguration, {inForce, retryLimit, ...places}: DeploymentFacts): GroupedFinding[] {
	return [
		...findErrors(checked),
		...findUnmatchedEntries(checked),
		...findContradictions(checked, retryLimit),
		...findRegionContradictions(checked, places),
		...(inForce ? findDifferences(inForce, checked) : []),
	];
}

function locatePath(path: JsonPath, file: string, lines: JsonLineIndex): Pick<Finding, 'file' | 'line' | 'key'> {
	return {file, line: lines.get(path), key: path.length === 0 ? '(document)' : path.join('.')};
}
