/** Functions shared by the commands that run a role until a signal stops it. */
import {onSignal} from '../runtime/held-signals.ts';
import {logSink} from '../runtime/logger.ts';
import {installFailureReport} from '../runtime/process-failure.ts';
import type {RunningProcess} from './entry-agent-base.ts';
import {exitCodes} from './exit-codes.ts';
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
 * Starts a role, waits for SIGTERM or SIGINT, then drains the process. Further signals do not end it before that.
 *
 * @param start - starts the role
 * @returns the exit code
 */
export async function runUntilSignal(start: () => Promise<RunningProcess>): Promise<number> {
	installFailureReport();
	const running = await start();
	await new Promise<void>(resolve => {
		for (const signal of ['SIGTERM', 'SIGINT'] as const) {
			onSignal(signal, resolve);
		}
	});
	await running.drain();
	// The timer of the log does not keep the process alive, so that the last lines would be lost.
	await logSink.close();
	return exitCodes.success;
}
