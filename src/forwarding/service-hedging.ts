/** What one gateway knows about late calls of one service: how long its calls take, recent refusals, and the limit of second attempts. */
import type {Instance, Route} from '../directory/directory-types.ts';
import type {SelectedInstance} from '../placement/instance-query.ts';
import {
	findLateAfter, findObstacle, findSelectionObstacle, type HedgeObstacle,
} from './decide-hedge.ts';
import {HedgeLimit} from './hedge-limit.ts';
import {findSizeClass, type LatencyHistory, type LatencyQuantiles} from './latency-history.ts';
import type {WindowedRetryBudget} from './windowed-retry-budget.ts';

/** Dependencies and settings of a {@link ServiceHedging}. */
export type ServiceHedgingOptions = {
	readonly service: string;
	/** Shared by all services, so that its size is bounded. */
	readonly history: LatencyHistory;
	readonly retryBudget: Pick<WindowedRetryBudget, 'hasSpareRetry' | 'tryTake'>;
	readonly windowMs: number;
	/** Returns the second attempts of late calls that are allowed per call; 0 turns them off. */
	readonly ratio: () => number;
	/** Returns whether instances are changing the version of a model. */
	readonly isChangingVersion: (model: string) => boolean;
};

/** What an attempt is compared with. */
export type AttemptClass = {
	readonly route: Route;
	readonly promptTokens: number;
	/** The forecast of the attempt, in milliseconds; 0 if there is none. */
	readonly predictedMs: number;
};

/** The instance that was selected for a second attempt: its wall-clock start, in milliseconds since 1970, and the selection. */
export type SecondInstance = Pick<Instance, 'startedAtMs'> & Pick<SelectedInstance, 'predictedMs' | 'hasFreeSlot'>;

/** Decides on second attempts of late calls. */
export class ServiceHedging {
	private readonly limit: HedgeLimit;
	private refusedAtMs = Number.NEGATIVE_INFINITY;

	/** @param options - dependencies and settings */
	constructor(private readonly options: ServiceHedgingOptions) {
		this.limit = new HedgeLimit(options.windowMs);
	}

	/** Whether second attempts of late calls are turned on. */
	get isOn(): boolean {
		return this.options.ratio() > 0;
	}

	/** Counts a call of the service. */
	recordCall(nowMs: number): void {
		if (this.isOn) {
			this.limit.recordCall(nowMs);
		}
	}

	/** Records that a call was refused for lack of capacity, by the selection or by an instance. */
	recordRefusal(nowMs: number): void {
		this.refusedAtMs = nowMs;
	}

	/**
	 * Records how long an attempt took to its first byte. For a late one that was ended before, that is at least the time until then.
	 *
	 * @param attemptClass - the class of the attempt
	 * @param ms - the time, in milliseconds
	 */
	recordFirstByte(attemptClass: AttemptClass, ms: number, nowMs: number): void {
		for (const key of this.keysOf(attemptClass)) {
			this.options.history.record(key, ms / unitMs(attemptClass), nowMs);
		}
	}

	/** Returns after what time an attempt is late, in milliseconds; undefined if that is not known, or second attempts are off. */
	findLateAfterMs(attemptClass: AttemptClass, nowMs: number): number | undefined {
		const quantiles = this.isOn ? this.findQuantiles(attemptClass, nowMs) : undefined;
		return quantiles && unitMs(attemptClass) * findLateAfter(quantiles);
	}

	/** Returns what speaks against a second attempt of a late call now; undefined if nothing does. */
	findObstacle(model: string | undefined, nowMs: number): HedgeObstacle | undefined {
		const {ratio, retryBudget, isChangingVersion} = this.options;
		return findObstacle({
			refusedBeforeMs: nowMs - this.refusedAtMs,
			isChangingVersion: model !== undefined && isChangingVersion(model),
			isWithinLimit: this.limit.allows(ratio(), nowMs),
			hasSpareRetry: retryBudget.hasSpareRetry,
		});
	}

	/**
	 * Returns what speaks against the instance that was selected for the second attempt; undefined if nothing does.
	 *
	 * @param first - the class of the attempt that is late
	 * @param waitedMs - how long it has waited, in milliseconds
	 * @param second - the selected instance
	 * @param nowMs - the time, in milliseconds of the monotonic clock
	 */
	findSelectionObstacle(first: AttemptClass, waitedMs: number, second: SecondInstance, nowMs: number): HedgeObstacle | undefined {
		return findSelectionObstacle({
			waitedMs,
			usualMs: this.findUsualMs(first, nowMs),
			secondMs: this.findUsualMs({...first, predictedMs: second.predictedMs}, nowMs),
			hasFreeSlot: second.hasFreeSlot,
			// The clocks of two VMs may differ by seconds.
			instanceAgeMs: Date.now() - second.startedAtMs,
		});
	}

	/** Takes one second attempt, also from the retry budget; returns false if that has run out. */
	tryTake(nowMs: number): boolean {
		const isTaken = this.options.retryBudget.tryTake();
		if (isTaken) {
			this.limit.recordSent(nowMs);
		}

		return isTaken;
	}

	private findUsualMs(attemptClass: AttemptClass, nowMs: number): number {
		return unitMs(attemptClass) * (this.findQuantiles(attemptClass, nowMs)?.usual ?? 1);
	}

	private findQuantiles(attemptClass: AttemptClass, nowMs: number): LatencyQuantiles | undefined {
		for (const key of this.keysOf(attemptClass)) {
			const quantiles = this.options.history.quantilesOf(key, nowMs);
			if (quantiles) {
				return quantiles;
			}
		}

		return undefined;
	}

	/** Returns the classes that an attempt belongs to: its own, and that of all sizes, for sizes of which few calls are known. */
	private keysOf({route, promptTokens, predictedMs}: AttemptClass): string[] {
		const all = `${this.options.service}\n${route.host}${route.prefix}\n${predictedMs > 0 ? 'ratio' : 'ms'}`;
		return promptTokens > 0 ? [`${all}\n${findSizeClass(promptTokens)}`, all] : [all];
	}
}

/** Returns what the times of an attempt are divided by: its forecast, or a millisecond. */
function unitMs({predictedMs}: AttemptClass): number {
	return predictedMs > 0 ? predictedMs : 1;
}
