/** What all commands share that run a role until a signal ends it. */
import process from 'node:process';
import type {RunningProcess} from './entry-agent-base.ts';
import {UsageError} from './usage-error.ts';

/**
 * Returns the settings file that the command line names.
 *
 * @param file - the option's value
 * @throws UsageError when there is none
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
 * @param running - the started process
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
