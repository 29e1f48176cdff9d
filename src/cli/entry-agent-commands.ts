/** The commands `cactusreach entry` and `cactusreach agent`. */
import {readSettings} from '../settings/parse-settings.ts';
import {agentSettingsSchema, entrySettingsSchema} from '../settings/settings-schema.ts';
import {startAgent} from './agent-process.ts';
import {startEntry} from './entry-process.ts';
import {requireSettingsFile, runUntilSignal} from './run-until-signal.ts';

/**
 * Runs an entry until SIGTERM or SIGINT, then drains it.
 *
 * @param file - the value of the option `--settings`
 * @returns the exit code
 */
export async function runEntryCommand(file: string | undefined): Promise<number> {
	const path = requireSettingsFile(file);
	return runUntilSignal(async () => startEntry(readSettings(path, entrySettingsSchema)));
}

/**
 * Runs an agent until SIGTERM or SIGINT, then drains it.
 *
 * @param file - the value of the option `--settings`
 * @returns the exit code
 */
export async function runAgentCommand(file: string | undefined): Promise<number> {
	const path = requireSettingsFile(file);
	return runUntilSignal(async () => startAgent(readSettings(path, agentSettingsSchema)));
}
