/** Reads a published configuration from a file or from a running process, to check it or to compare others with it. */
import {readFileSync} from 'node:fs';
import type {DirectorySnapshot} from '../directory/directory.ts';
import type {Instance, PublishedConfiguration} from '../directory/directory-types.ts';
import type {PeerClient} from '../links/peer-client.ts';
import {directoryGetMethod} from '../messages/peers-exchange.ts';
import {directorySnapshotSchema} from '../peers/directory-snapshot-schema.ts';
import type {Finding} from '../runtime/finding.ts';
import {type ParsedFile, toCheckedConfiguration} from './check-configuration.ts';
import type {
	CheckedConfiguration, CheckedWorkspace, InspectConfiguration, Place,
} from './configuration-finding.ts';
import {parseJsonWithLines} from './parse-json-with-lines.ts';

/** Time limit of the request to a process, in milliseconds. */
const requestTimeoutMs = 5000;

/** The configuration in force, and the instances if a process told them; or why it could not be read. */
export type InForce =
	| {readonly ok: true; readonly inForce: CheckedConfiguration; readonly instances?: readonly Instance[]}
	| {readonly ok: false; readonly finding: Finding};

/**
 * Reads a file that may hold a published configuration.
 *
 * @returns undefined if the file cannot be read, is no JSON, or holds something else
 */
export function readPublishedFile(file: string, inspect: InspectConfiguration): ParsedFile | undefined {
	const text = tryRead(file);
	const parsed = text === undefined ? undefined : parseJsonWithLines(text);
	if (!parsed?.ok) {
		return undefined;
	}

	const inspected = inspect(parsed.value);
	return inspected && {
		file, lines: parsed.lines, duplicates: parsed.duplicates, inspected,
	};
}

/** Reads the configuration to compare with from a file; one with parts that cannot be used is compared without them, as processes use it. */
export function readInForceFile(file: string, inspect: InspectConfiguration): InForce {
	const parsed = readPublishedFile(file, inspect);
	const inForce = parsed && toCheckedConfiguration(parsed);
	return inForce ? {ok: true, inForce} : {ok: false, finding: {file, key: '(file)', reason: 'holds no configuration that processes take; nothing is compared with it'}};
}

/**
 * Reads the configuration in force and the instances from a gateway.
 *
 * @param address - its control listener, `host:port`
 */
export async function readInForceProcess(links: PeerClient, address: string): Promise<InForce> {
	try {
		const call = {method: directoryGetMethod, params: {configurationVersion: 0, instancesRevision: 0}};
		// As for `DirectoryPuller`, other processes of this program are trusted to send valid names.
		const {configuration, instances} = await links.rpc(address, call, directorySnapshotSchema, {timeoutMs: requestTimeoutMs}) as DirectorySnapshot;
		if (!configuration) {
			return {ok: false, finding: {file: address, key: '(process)', reason: 'has no configuration in force'}};
		}

		return {ok: true, inForce: describeProcess(address, configuration), ...(instances ? {instances: instances.instances} : {})};
	} catch (err) {
		return {ok: false, finding: {file: address, key: '(process)', reason: `cannot be asked for its configuration: ${(err as Error).message}`}};
	}
}

function describeProcess(address: string, configuration: PublishedConfiguration): CheckedConfiguration {
	const workspaces = listWorkspaces(configuration);
	const lists = {route: configuration.routes, service: configuration.services, workspace: workspaces};
	const describe = (place: Place) => ('at' in place ? `${place.part} ${lists[place.part][place.at]?.name ?? place.at}` : place.part);
	return {
		configuration, workspaces, locate: place => ({file: address, key: describe(place)}), isGiven: () => true,
	};
}

function listWorkspaces({keys = {}}: PublishedConfiguration): CheckedWorkspace[] {
	const workspaces = new Map<CheckedWorkspace['name'], string[]>();
	for (const [key, {workspace}] of Object.entries(keys)) {
		const held = workspaces.get(workspace) ?? [];
		held.push(key);
		workspaces.set(workspace, held);
	}

	return [...workspaces].map(([name, held]) => ({name, keys: held}));
}

function tryRead(file: string): string | undefined {
	try {
		return readFileSync(file, 'utf8');
	} catch {
		// `checkFile` reports why it cannot be read.
		return undefined;
	}
}
