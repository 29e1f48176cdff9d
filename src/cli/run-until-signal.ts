/** Functions shared by the commands that run a role until a signal stops it. */
import process from 'node:process';
import type {RunningProcess} from './entry-agent-base.ts';
import {UsageError} from './usage-error.ts';

/**
 * Returns the settings file, or throws if there is none.
 *
 * @param file - the value of the option `--settings`, or its default
 * @throws UsageError if there is no file
 */
export function requireSettingsFile(file: string | undefined): string {
	if (file === undefined) {
		throw new UsageError('option --settings FILE is required');
	}

	return file;
}

/**
 * Waits for SIGTERM or SIGINT, then drains the process.
 *
 * @returns the exit code
 */
export async function runUntilSignal(running: RunningProcess): Promise<number> {
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
