/** Thrown for a wrong command line, which ends the program with exit code 2. */
export class UsageError extends Error {}
