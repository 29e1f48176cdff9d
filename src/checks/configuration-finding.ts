/** The types of the checks of a published configuration: what is checked, where its parts stand in the file, and what is found. */
import type {
	CallerLimits, KeyHolder, PublishedConfiguration, Route, ServiceInfo,
} from '../directory/directory-types.ts';
import type {WorkspaceId} from '../ids/workspace-id.ts';
import type {Finding} from '../runtime/finding.ts';
import type {JsonPath} from './parse-json-with-lines.ts';

/** The regions in which the calls of a route or of the holder of a key may run; all regions if there is none. */
export type RegionRestriction = Pick<Route, 'homeRegions'>;

/** A part of a configuration, and one field of it. */
export type Place =
	| {readonly part: 'version'}
	| {readonly part: 'limit'; readonly field: keyof CallerLimits}
	| {readonly part: 'route'; readonly at: number; readonly field?: keyof Route}
	| {readonly part: 'service'; readonly at: number; readonly field?: keyof ServiceInfo}
	| {readonly part: 'workspace'; readonly at: number; readonly field?: 'keys' | keyof KeyHolder};

/** A workspace as published, with its keys. */
export type CheckedWorkspace = {readonly name: WorkspaceId; readonly keys: readonly string[]};

/** What the platform adapter makes of a file that holds a published configuration. */
export type InspectedConfiguration = {
	/** Undefined if processes refuse the configuration as a whole. */
	readonly configuration: PublishedConfiguration | undefined;
	/** The parts that cannot be used, or are not used as written. */
	readonly faults: ReadonlyArray<{readonly path: JsonPath; readonly reason: string}>;
	/** The workspaces at their index in the file; empty if calls need no key. */
	readonly workspaces: readonly CheckedWorkspace[];
	/** Returns the path of a part in the file. */
	readonly pathOf: (place: Place) => JsonPath;
	/** Whether the file gives a value for a field; if not, the field has its default. */
	readonly isGiven: (place: Place) => boolean;
};

/** Decodes the content of a file; undefined if it is no published configuration. Implemented by the platform adapter. */
export type InspectConfiguration = (value: unknown) => InspectedConfiguration | undefined;

/** Returns where a part stands. */
export type Locate = (place: Place) => Pick<Finding, 'file' | 'line' | 'key'>;

/** A configuration to be checked or compared. */
export type CheckedConfiguration = {
	readonly configuration: PublishedConfiguration;
	readonly workspaces: readonly CheckedWorkspace[];
	readonly locate: Locate;
	readonly isGiven: (place: Place) => boolean;
};

/** What a difference means for calls: `ignored` if processes do not take the configuration, `none` if the same calls are served by the same services. */
export type Effect = 'refused' | 'moved' | 'limited' | 'repeated' | 'ignored' | 'served' | 'none';

/** What a finding is about. */
export type FindingGroup = 'error' | 'never-matches' | 'contradiction' | 'difference';

/** A finding and its group; differences have an effect. */
export type GroupedFinding = Finding & {readonly group: FindingGroup; readonly effect?: Effect};

/** Effects that no caller notices as a loss: such differences are reported, but are no findings. */
const harmlessEffects: ReadonlySet<Effect | undefined> = new Set(['served', 'none']);

/** Whether something reported is only for information, and does not change the exit code. */
export function isNote({effect}: GroupedFinding): boolean {
	return harmlessEffects.has(effect);
}
