/** The commands that run a role until a signal ends it. */
import process from 'node:process';
import {readSettings} from '../settings/parse-settings.ts';
import {agentSettingsSchema, entrySettingsSchema} from '../settings/settings-schema.ts';
import {startAgent} from './agent-process.ts';
import type {RunningProcess} from './base-process.ts';
import {startEntry} from './entry-process.ts';
import {UsageError} from './usage-error.ts';

/**
 * Runs an entry until SIGTERM or SIGINT, then drains it.
 *
 * @param file - the settings file
 * @returns the exit code
 */
export async function runEntryCommand(file: string | undefined): Promise<number> {
	return runUntilSignal(await startEntry(readSettings(requireFile(file), entrySettingsSchema)));
}

/**
 * Runs an agent until SIGTERM or SIGINT, then drains it.
 *
 * @param file - the settings file
 * @returns the exit code
 */
export async function runAgentCommand(file: string | undefined): Promise<number> {
	return runUntilSignal(await startAgent(readSettings(requireFile(file), agentSettingsSchema)));
}

function requireFile(file: string | undefined): string {
	if (file === undefined) {
		throw new UsageError('option --settings FILE is required');
	}

	return file;
}

async function runUntilSignal(running: RunningProcess): Promise<number> {
	await new Promise<void>(resolve => {
		for (const signal of ['SIGTERM', 'SIGINT'] as const) {
			process.once(signal, () => {
				resolve();
			});
		}
	});
	await running.drain();
	return 0;
}
