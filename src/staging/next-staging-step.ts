/** Pure decisions about staging: the agent's next step and the time of the engine's switchover. No I/O, no clock. */

/** The state that an engine reports. */
export type EngineReport = {
	/** Wall-clock start, in milliseconds since 1970. */
	readonly startedAtMs: number;
	/** Whether an order is in progress. */
	readonly isBusy: boolean;
	/** The number of orders that the engine accepted since its start. */
	readonly orderCount: number;
	/** The version of which the engine serves all layers; undefined when it serves none. */
	readonly servedVersion: number | undefined;
};

/** Input of {@link nextStagingStep}. */
export type StagingInput = {
	readonly wantedVersion: number;
	readonly report: EngineReport | undefined;
	/** Whether all chunks of the wanted version are held and verified. */
	readonly isHeld: boolean;
	/** Whether every chunk is known to be staged at the running engine process. */
	readonly isStaged: boolean;
	/** Whether the time of this engine's switchover has come; the engine is out of service while it loads. */
	readonly isSwitchoverDue: boolean;
};

/** What the agent does next. The values are logged. */
export type StagingStep = 'ask-engine' | 'idle' | 'fetch' | 'stage' | 'wait' | 'start';

/** Returns the next step towards serving the wanted version. */
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

	// An engine that serves nothing loads at once, since no capacity is lost.
	return input.isSwitchoverDue || report.servedVersion === undefined ? 'start' : 'wait';
}

/** Input of {@link switchoverAtMs}. */
export type SwitchoverInput = {
	/** The engine's rank among the engines of its service, from 0. */
	readonly rank: number;
	readonly groupSize: number;
	/** The monotonic time from which the served version may start no more calls; `-Infinity` while it is unknown. */
	readonly expiresAtMs: number;
	/** The monotonic time at which the last chunk was staged. */
	readonly stagedAtMs: number;
};

/** How long a switchover takes an engine out of service, in milliseconds: running calls finish, then the layers load. */
const switchoverMs = 1200;

/**
 * Staggers the switchovers of all engines over the remaining time, so that they do not all lose capacity at once. While it is unknown
 * when the served version expires, the time of one switchover counts as remaining: gateways may know that the old version has expired, and
 * those that do not know place no calls on it.
 *
 * @returns the monotonic time at which the engine's switchover starts
 */
export function switchoverAtMs({rank, groupSize, expiresAtMs, stagedAtMs}: SwitchoverInput): number {
	const remainingMs = Number.isFinite(expiresAtMs) ? Math.max(0, expiresAtMs - switchoverMs - stagedAtMs) : switchoverMs;
	return stagedAtMs + (remainingMs * rank / Math.max(1, groupSize));
}
