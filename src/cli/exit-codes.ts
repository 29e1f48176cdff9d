import {processFailureExitCode} from '../runtime/process-failure.ts';

/** The exit codes of all commands. `failure` includes findings of a check; `usage` means a wrong command line, `exception` a fault of the program. */
export const exitCodes = {
	success: 0, failure: 1, usage: 2, exception: processFailureExitCode,
} as const;
