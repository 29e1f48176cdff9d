/** The seeds that failed once, with the groups of faults and the cause; `--seeds regressions` runs them. */
export const regressions: ReadonlyArray<{readonly seed: number; readonly groups: string; readonly cause: string}> = [
	{seed: 4, groups: 'signals,workers,machine', cause: 'six sets of busy processes at once; then a SIGHUP before the first statement of a gateway'},
];
