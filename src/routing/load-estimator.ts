/** Joins the lagging load reports with the entry's own calls in flight. */
import type {Member} from '../membership/member.ts';

/** A report older than this counts as absent, in milliseconds. */
export const maxReportAgeMs = 10_000;

/** The mean duration of calls until one was seen, in milliseconds. */
const initialCallMs = 500;

/** The weight of a new duration in the moving average. */
const durationWeight = 0.05;

type OwnCalls = {
	now: number;
	/** Own calls in flight when the last report arrived. */
	atReport: number;
	reportAtMs: number | undefined;
};

/** The load of an upstream as far as the entry knows, in calls. */
export type Load = {
	/** Own calls in flight: exact. */
	readonly own: number;
	/** Own calls and the estimated calls of others. */
	readonly total: number;
};

/** What a candidate runs, in two parts. */
type Parts = {readonly own: number; readonly others: number; readonly trust: number};

/** Keeps own calls in flight per VM, and what they were when the VM's last report arrived. */
export class LoadView {
	private readonly calls = new Map<string, OwnCalls>();
	private meanCallMs = initialCallMs;

	/**
	 * Returns the loads of candidates: own calls in flight plus those of others.
	 *
	 * The calls of others are known from the report, minus own calls at that time. They end within about the duration of a
	 * call, and other entries see the same report and act on it. So with the report's age the reported value gives way to
	 * the mean of the candidates; without a recent report only the mean is left.
	 *
	 * @param members - the candidates
	 * @param nowMs - monotonic time, in milliseconds
	 */
	loadsOf(members: readonly Member[], nowMs: number): Load[] {
		const parts = members.map(member => this.partsOf(member, nowMs));
		let others = 0;
		let capacity = 0;
		for (const [index, part] of parts.entries()) {
			if (part.trust > 0) {
				others += part.others;
				capacity += members[index]?.sight.report?.capacity ?? 0;
			}
		}

		const meanPerCapacity = capacity > 0 ? others / capacity : 0;
		return parts.map(({own, others: reported, trust}, index) => {
			const mean = meanPerCapacity * (members[index]?.sight.report?.capacity ?? 1);
			return {own, total: own + (reported * trust) + (mean * (1 - trust))};
		});
	}

	/**
	 * Records how long an answered call took.
	 *
	 * @param ms - its duration, in milliseconds
	 */
	recordDuration(ms: number): void {
		this.meanCallMs = Math.max(1, this.meanCallMs + ((ms - this.meanCallMs) * durationWeight));
	}

	/**
	 * Changes the number of own calls in flight.
	 *
	 * @param vm - the upstream's VM
	 * @param change - 1 or -1
	 * @param reportAtMs - arrival of the VM's last report; undefined when it has none
	 */
	change(vm: string, change: 1 | -1, reportAtMs: number | undefined): void {
		this.notice(vm, reportAtMs);
		const own = this.calls.get(vm) ?? {now: 0, atReport: 0, reportAtMs};
		own.now += change;
		this.calls.set(vm, own);
		if (own.now === 0 && own.atReport === 0) {
			this.calls.delete(vm);
		}
	}

	/** Own calls in flight by VM. */
	get inFlight(): Record<string, number> {
		return Object.fromEntries([...this.calls].filter(([, {now}]) => now > 0).map(([vm, {now}]) => [vm, now]));
	}

	private partsOf(member: Member, nowMs: number): Parts {
		const {report, reportAtMs} = member.sight;
		this.notice(member.vm, reportAtMs);
		const own = this.calls.get(member.vm);
		const now = own?.now ?? 0;
		if (!report || reportAtMs === undefined || nowMs - reportAtMs > maxReportAgeMs) {
			return {own: now, others: 0, trust: 0};
		}

		const others = Math.max(0, report.running + report.queued - (own?.atReport ?? 0));
		return {own: now, others, trust: Math.exp((reportAtMs - nowMs) / this.meanCallMs)};
	}

	/** Own calls do not change between the arrival of a report and the first look after it. */
	private notice(vm: string, reportAtMs: number | undefined): void {
		const own = this.calls.get(vm);
		if (own && own.reportAtMs !== reportAtMs) {
			own.reportAtMs = reportAtMs;
			own.atReport = own.now;
			if (own.now === 0) {
				this.calls.delete(vm);
			}
		}
	}
}
