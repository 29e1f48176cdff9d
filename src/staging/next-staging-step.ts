/** Decides what an agent does next to bring a version of weights into its engine. No I/O, no clock. */

/** What the engine reports of itself. */
export type EngineReport = {
	/** Wall-clock start, in milliseconds since 1970. */
	readonly startedAtMs: number;
	/** Whether an order is in progress. */
	readonly isBusy: boolean;
	/** Orders that the engine accepted since its start. */
	readonly orderCount: number;
	/** The version of the model that it serves whole; undefined when it serves none. */
	readonly servedVersion: number | undefined;
};

/** What the decision depends on. */
export type StagingInput = {
	readonly wantedVersion: number;
	readonly report: EngineReport | undefined;
	/** Whether all chunks of the wanted version are held and verified. */
	readonly isHeld: boolean;
	/** Whether every chunk was written beside the engine in this run of it. */
	readonly isStaged: boolean;
	/** Whether it is this agent's turn to take its engine out of service for the change. */
	readonly isSwitchoverDue: boolean;
};

/** What to do. */
export type StagingStep = 'ask-engine' | 'idle' | 'fetch' | 'stage' | 'wait' | 'start';

/**
 * Decides the next step.
 *
 * @param input - what is wanted, held and reported
 */
export function nextStagingStep(input: StagingInput): StagingStep {
	const {report} = input;
	if (!report) {
		return 'ask-engine';
	}

	if ((report.servedVersion ?? 0) >= input.wantedVersion) {
		return 'idle';
	}

	if (report.isBusy) {
		return 'wait';
	}

	if (!input.isHeld) {
		return 'fetch';
	}

	if (!input.isStaged) {
		return 'stage';
	}

	// An engine that serves nothing loses nothing by starting at once.
	return input.isSwitchoverDue || report.servedVersion === undefined ? 'start' : 'wait';
}

/** When an engine among others changes to a new version, in milliseconds after the version was named. */
export type SwitchoverInput = {
	/** The engine's rank among those of its service, from 0. */
	readonly rank: number;
	readonly groupSize: number;
	/** How long after the naming older versions may begin work, in milliseconds. */
	readonly versionBoundMs: number;
	/** When the chunks were staged, in milliseconds after the naming. */
	readonly stagedAtOffsetMs: number;
};

/** Time that an engine is out of service for the change, in milliseconds: running calls finish, then the layers load. */
const switchoverMs = 1200;

/**
 * Spreads the changes of all engines over the time that is left, so that capacity does not fall all at once.
 *
 * @param input - the engine's rank and the time
 * @returns the time of the engine's turn, in milliseconds after the naming
 */
export function switchoverOffsetMs({rank, groupSize, versionBoundMs, stagedAtOffsetMs}: SwitchoverInput): number {
	const lastMs = Math.max(stagedAtOffsetMs, versionBoundMs - switchoverMs);
	const firstMs = Math.min(stagedAtOffsetMs, lastMs);
	return firstMs + ((lastMs - firstMs) * rank / Math.max(1, groupSize));
}
