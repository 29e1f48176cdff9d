/** A source of instances that comes back from older copies, instances that write to it, and what directories learn of both, for tests without I/O. */
import type {Directory} from '../../src/directory/directory.ts';
import type {DirectoryChange, DirectoryChanges} from '../../src/directory/directory-types.ts';
import {createStoreEra} from '../../src/ids/store-era.ts';
import {testInstance} from './direct-fixtures.ts';

/** The life of an instance: how often it has started, and what it does. */
export type Life = {readonly run: number; readonly phase: 'ready' | 'draining' | 'gone'};

type Entry = {readonly revision: number; readonly change: DirectoryChange};

const nextPhases = {ready: 'draining', draining: 'gone', gone: 'ready'} as const;

/** The source, and the instances as they are. */
export class ReturningSource {
	readonly lives = new Map<string, Life>();
	private era = 0;
	private revision = 1;
	private log: Array<Entry & {readonly id: string}> = [];

	constructor(readonly ids: readonly string[]) {}

	/** Lets an instance start, drain or leave, in turn, and write so. */
	advance(id: string): void {
		const {run, phase} = this.lives.get(id) ?? {run: 0, phase: 'gone'};
		this.lives.set(id, {run: phase === 'gone' ? run + 1 : run, phase: nextPhases[phase]});
		this.write(id);
	}

	/** Writes again what an instance is; one that has left is removed. */
	write(id: string): void {
		const {run, phase} = this.lives.get(id) ?? {run: 0, phase: 'gone'};
		const change: DirectoryChange = phase === 'gone'
			? {kind: 'instance-gone', id}
			: {
				kind: 'instance', instance: testInstance({
					id, address: `10.9.0.1:${1 + this.ids.indexOf(id)}`, startedAtMs: run, isDraining: phase === 'draining',
				}),
			};
		this.revision++;
		this.log.push({id, revision: this.revision, change});
	}

	/** Comes back from a copy that is some revisions old. */
	comeBack(ageInRevisions: number): void {
		this.revision = Math.max(1, this.revision - ageInRevisions);
		this.log = this.log.filter(({revision}) => revision <= this.revision);
		this.era++;
	}

	/** Returns what a full read gives now. */
	read(): DirectoryChanges {
		const last = new Map(this.log.map(entry => [entry.id, entry]));
		return {revision: this.revision, era: createStoreEra(this.era), changes: [...last.values()].filter(({change}) => change.kind === 'instance')};
	}

	/** Returns what a watch gives now to a directory that has read in this era; undefined to any other. */
	watch(directory: Directory): DirectoryChanges | undefined {
		const {instancesRevision, instancesEra} = directory;
		return instancesEra === this.era && instancesRevision > 0
			? {revision: this.revision, era: instancesEra, changes: this.log.filter(({revision}) => revision > instancesRevision)}
			: undefined;
	}
}

/** Applies a response as a watcher does, unless it is of an earlier era than one that the directory knows. */
export function deliver(directory: Directory, response: DirectoryChanges, isFullRead: boolean): void {
	if (response.era! < directory.era) {
		return;
	}

	if (isFullRead) {
		directory.replaceInstances(response);
	} else {
		directory.apply(response);
		directory.advanceInstancesRevision(response.revision, response.era);
	}
}

/** Returns the answer of one directory to another one, which lacks something; undefined if it lacks nothing. */
export function answerOf(from: Directory, to: Directory): ReturnType<Directory['snapshot']> | undefined {
	if (!to.lacksInstances(from.state)) {
		return undefined;
	}

	const {configurationVersion, instancesRevision, era} = to.revisionsToRequest(from.state);
	return structuredClone(from.snapshot(configurationVersion, instancesRevision, era));
}
