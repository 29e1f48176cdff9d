/** Exit codes of all commands. */
export const exitCodes = {
	success: 0, failure: 1, usage: 2,
} as const;
