/**
 * The end of a process by an exception that no part of it owns: one line in the structured log with the cause and the state, the last
 * answers of open calls, and an exit code of its own.
 */
import process from 'node:process';
import VError from 'verror';
import {logSink, type Logger} from './logger.ts';

/** The exit code of a process that ends by an exception. */
export const processFailureExitCode = 70;

/** Maximum number of lines of a stack trace that are logged. */
const maxStackLines = 12;

const bytesPerMegabyte = 1_000_000;

/** What the log line says, and what is done, when the process fails. */
export type FailureHooks = {
	readonly log: Logger;
	/** Returns the state that the log line contains. */
	readonly state?: () => Record<string, unknown>;
	/** Gives open calls their last answers. */
	readonly endCalls?: () => void;
};

let hooks: FailureHooks | undefined;
let hasFailed = false;

/** Adds what is known of the running process; later values take the place of earlier ones. */
export function setFailureHooks(added: FailureHooks): void {
	hooks = {...hooks, ...added};
}

/** Reports exceptions that nothing catches, and promises whose rejection nothing handles, and ends the process. */
export function installFailureReport(): void {
	process.on('uncaughtException', (err: unknown, origin: string) => {
		void fail(err, origin);
	});
}

async function fail(thrown: unknown, origin: string): Promise<void> {
	if (hasFailed) {
		return;
	}

	hasFailed = true;
	process.exitCode = processFailureExitCode;
	const err = thrown instanceof Error ? thrown : new VError('%j was thrown', thrown);
	const stack = err.stack?.split('\n').slice(1, 1 + maxStackLines).map(line => line.trim());
	try {
		if (hooks) {
			hooks.log.fatal({
				event: 'process_failed', err, origin, stack, upS: Math.round(process.uptime()), residentMb: Math.round(process.memoryUsage.rss() / bytesPerMegabyte), ...hooks.state?.(),
			}, 'an exception that no part of the process owns; the process ends');
			hooks.endCalls?.();
		} else {
			console.error(`cactusreach: ${err.stack ?? err.message}`);
		}

		await logSink.drain();
	} finally {
		// The state of the process is unknown, so that nothing else may run.
		// eslint-disable-next-line unicorn/no-process-exit
		process.exit(processFailureExitCode);
	}
}
