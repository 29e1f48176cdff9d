/**
 * Decides whether a call whose first byte is late is sent to a second instance. No I/O, no clock.
 *
 * It answers load that is uneven: few calls take far longer than others of their kind. Where all are slow, a second attempt only adds load.
 */
import type {LatencyQuantiles} from './latency-history.ts';

/**
 * For how long a call must be overdue before it counts as late, as a multiple of the usual time of its class. A second attempt that takes the
 * usual time, or up to a quarter more, then still comes earlier than what is expected of the first one.
 */
const overdueFactor = 1.25;

/** How long no late call is sent again after a refusal for lack of capacity, in milliseconds. */
const refusalMemoryMs = 2000;

/** How long a new instance gets no second attempts, in milliseconds, since its first calls are slow. */
const newInstanceMs = 5000;

/** Why a late call is not sent to a second instance. */
export type HedgeObstacle = 'overloaded' | 'version_changing' | 'hedge_limit' | 'retries_short' | 'no_free_slot' | 'instance_new' | 'not_earlier';

/** The state of the service at the time of the decision. */
export type HedgeConditions = {
	/** How long ago a call was last refused for lack of capacity, in milliseconds; infinite if none was. */
	readonly refusedBeforeMs: number;
	/** Whether instances are changing the version of their weights. */
	readonly isChangingVersion: boolean;
	/** Whether the limit of second attempts allows another one. */
	readonly isWithinLimit: boolean;
	/** Whether the retry budget has more left than failed calls may need. */
	readonly hasSpareRetry: boolean;
};

/** The instance that was selected for the second attempt. */
export type HedgeSelection = {
	/** How long the first attempt has waited, in milliseconds. */
	readonly waitedMs: number;
	/** How long the first attempt usually takes in all, in milliseconds. */
	readonly usualMs: number;
	/** How long the second attempt usually takes, in milliseconds. */
	readonly secondMs: number;
	/** Whether the second instance can begin at once. */
	readonly hasFreeSlot: boolean;
	/** How long ago the second instance started, in milliseconds. */
	readonly instanceAgeMs: number;
};

/**
 * Returns the time after which a call counts as late, as a multiple of its forecast, or in milliseconds if there is none.
 *
 * The slowest calls count as late, and of them only those that are overdue for longer than a second attempt takes.
 */
export function findLateAfter({usual, slow}: LatencyQuantiles): number {
	return Math.max(slow, usual * (1 + overdueFactor));
}

/** Returns what speaks against a second attempt of any late call of the service; undefined if nothing does. */
export function findObstacle({refusedBeforeMs, isChangingVersion, isWithinLimit, hasSpareRetry}: HedgeConditions): HedgeObstacle | undefined {
	if (refusedBeforeMs < refusalMemoryMs) {
		return 'overloaded';
	}

	if (isChangingVersion) {
		return 'version_changing';
	}

	if (!isWithinLimit) {
		return 'hedge_limit';
	}

	return hasSpareRetry ? undefined : 'retries_short';
}

/** Returns what speaks against the selected instance; undefined if nothing does. A late call is expected to take as long again as it is overdue. */
export function findSelectionObstacle({waitedMs, usualMs, secondMs, hasFreeSlot, instanceAgeMs}: HedgeSelection): HedgeObstacle | undefined {
	if (!hasFreeSlot) {
		return 'no_free_slot';
	}

	if (instanceAgeMs < newInstanceMs) {
		return 'instance_new';
	}

	return waitedMs - usualMs < secondMs ? 'not_earlier' : undefined;
}
