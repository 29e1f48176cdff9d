/** Exit codes of all commands. */
export const exitCodes = {
	fine: 0, findings: 1, usage: 2,
} as const;
