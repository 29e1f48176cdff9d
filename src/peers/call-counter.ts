/** Counts the calls that all gateways have in flight at one engine. No I/O. */
import type {InFlightCounts} from '../placement/engine-forecast.ts';
import {type ListeningClock, monotonicClock} from '../runtime/pause-detector.ts';

/** How long the counts of a gateway stay valid after it last reported them, in milliseconds; it may have been killed or cut off. */
export const reportTtlMs = 1500;

type GatewayReport = {readonly sequence: number; readonly counts: InFlightCounts; readonly atMs: number};

/** Keeps the last report of each gateway that has calls in flight, and their sum. */
export class CallCounter {
	private readonly reports = new Map<string, GatewayReport>();
	private total: InFlightCounts = {calls: 0, unreadTokens: 0};

	/** @param clock - tells for how long this process could hear reports; without it, pauses count as such time */
	constructor(private readonly clock: ListeningClock = monotonicClock) {}

	/**
	 * Records the calls that a gateway has in flight; a report that is older than the last one is ignored.
	 *
	 * @param gateway - VM of the gateway
	 * @param sequence - increases with each report of the gateway
	 */
	report(gateway: string, sequence: number, counts: InFlightCounts): void {
		const nowMs = this.clock.listeningMs;
		this.dropExpired(nowMs);
		const last = this.reports.get(gateway);
		if (last && sequence <= last.sequence) {
			return;
		}

		// Reports are kept in the order of their arrival, so that the oldest ones expire first.
		this.drop(gateway);
		this.reports.set(gateway, {sequence, counts, atMs: nowMs});
		this.addToTotal(counts, 1);
	}

	/**
	 * Returns the calls of all gateways but one.
	 *
	 * @param gateway - VM of the gateway whose own calls are left out
	 */
	othersThan(gateway: string): InFlightCounts {
		this.dropExpired(this.clock.listeningMs);
		const own = this.reports.get(gateway)?.counts;
		return {calls: this.total.calls - (own?.calls ?? 0), unreadTokens: this.total.unreadTokens - (own?.unreadTokens ?? 0)};
	}

	private dropExpired(nowMs: number): void {
		for (const [gateway, {atMs}] of this.reports) {
			if (nowMs - atMs < reportTtlMs) {
				return;
			}

			this.drop(gateway);
		}
	}

	private drop(gateway: string): void {
		const report = this.reports.get(gateway);
		if (report) {
			this.reports.delete(gateway);
			this.addToTotal(report.counts, -1);
		}
	}

	private addToTotal({calls, unreadTokens}: InFlightCounts, sign: 1 | -1): void {
		this.total = {calls: this.total.calls + (sign * calls), unreadTokens: this.total.unreadTokens + (sign * unreadTokens)};
	}
}
