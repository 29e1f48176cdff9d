/** The commands `cactusreach gateway` and `cactusreach stager`. */
import {platformAdapter} from '../../platform/platform-adapter.ts';
import {gatewaySettingsSchema, stagerSettingsSchema} from '../settings/direct-settings.ts';
import {readSettings} from '../settings/parse-settings.ts';
import {startGateway} from './gateway-process.ts';
import {requireSettingsFile, runUntilSignal} from './run-until-signal.ts';
import {startStager} from './stager-process.ts';

/**
 * Runs a gateway until SIGTERM or SIGINT, then drains it.
 *
 * @param file - the settings file; defaults to the one that the platform adapter returns
 * @returns the exit code
 */
export async function runGatewayCommand(file: string | undefined): Promise<number> {
	const path = requireSettingsFile(file ?? platformAdapter.settingsFile());
	return runUntilSignal(async () => startGateway({file: path, read: () => readSettings(path, gatewaySettingsSchema)}, platformAdapter));
}

/**
 * Runs a stager until SIGTERM or SIGINT, then stops it.
 *
 * @param file - the settings file; defaults to the one that the platform adapter returns
 * @returns the exit code
 */
export async function runStagerCommand(file: string | undefined): Promise<number> {
	const path = requireSettingsFile(file ?? platformAdapter.settingsFile());
	return runUntilSignal(async () => startStager({file: path, read: () => readSettings(path, stagerSettingsSchema)}, platformAdapter));
}
