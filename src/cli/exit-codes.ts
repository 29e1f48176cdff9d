/** The exit codes of all commands. `failure` includes findings of a check; `usage` means a wrong command line. */
export const exitCodes = {
	success: 0, failure: 1, usage: 2,
} as const;
