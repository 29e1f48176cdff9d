/**
 * An order to load weights whose answer did not arrive. The engine may still obey it, and it loads what is staged in that moment. Chunks of
 * another version that were written by then would be mixed with those that the order was about.
 */
import {type ListeningClock, monotonicClock} from '../runtime/pause-detector.ts';
import type {EngineReport} from './next-staging-step.ts';

/**
 * How long an engine must have been seen at work before an order that it has not counted is taken for lost, in milliseconds. An engine that
 * was paused reads what has waited in its connections when it goes on.
 */
const settleMs = 500;

/** The version is unknown if an earlier process sent the order; the report is that of the first poll then. */
type OpenOrder = {readonly version: number | undefined; report: EngineReport | undefined; engineAtWorkSinceMs: number | undefined};

/** Keeps track of the last order of one stager. A stager that starts may be the next process of one whose order has had no answer. */
export class OrderDoubt {
	private open: OpenOrder | undefined = {version: undefined, report: undefined, engineAtWorkSinceMs: undefined};

	/** @param clock - a clock that stands still in a pause of this VM, in which the engine does no work either; without it, pauses count as work */
	constructor(private readonly clock: ListeningClock = monotonicClock) {}

	/**
	 * Records an order that is about to be sent.
	 *
	 * @param version - the version that the engine was to load
	 * @param report - the state of the engine that the order was conditional on
	 */
	record(version: number, report: EngineReport): void {
		this.open = {version, report, engineAtWorkSinceMs: undefined};
	}

	/** Records that the order has been answered. */
	clear(): void {
		this.open = undefined;
	}

	/**
	 * Returns whether chunks of a version may not be written now. Asked with each report, since the doubt ends some time after the first one.
	 *
	 * @param report - a report that was fetched after the order
	 */
	blocksWrites(version: number, report: EngineReport): boolean {
		if (!this.open || this.isSettled(this.open, report)) {
			this.open = undefined;
			return false;
		}

		this.open.report ??= report;
		this.open.engineAtWorkSinceMs ??= this.clock.listeningMs;
		return version !== this.open.version;
	}

	/** An engine that has restarted or counted an order does not obey this one any more. */
	private isSettled({report: before, engineAtWorkSinceMs}: OpenOrder, report: EngineReport): boolean {
		const hasMoved = before !== undefined && (report.startedAtMs !== before.startedAtMs || report.orderCount !== before.orderCount);
		return hasMoved || (engineAtWorkSinceMs !== undefined && this.clock.listeningMs - engineAtWorkSinceMs >= settleMs);
	}
}
