/** Joins the lagging load reports with the entry's own calls in flight. */
import type {Member} from '../membership/member.ts';

/** A report older than this counts as absent, in milliseconds. */
export const maxReportAgeMs = 10_000;

type OwnCalls = {
	now: number;
	/** Own calls in flight when the last report arrived. */
	atReport: number;
	reportAtMs: number | undefined;
};

/** Keeps own calls in flight per VM, and what they were when the VM's last report arrived. */
export class LoadView {
	private readonly calls = new Map<string, OwnCalls>();

	/**
	 * Returns the load: reported calls plus the change of own calls since the report; own calls alone without a recent report.
	 *
	 * @param member - the upstream
	 * @param nowMs - monotonic time, in milliseconds
	 */
	loadOf(member: Member, nowMs: number): number {
		const {report, reportAtMs} = member.sight;
		this.notice(member.vm, reportAtMs);
		const own = this.calls.get(member.vm);
		const now = own?.now ?? 0;
		if (!report || reportAtMs === undefined || nowMs - reportAtMs > maxReportAgeMs) {
			return now;
		}

		return Math.max(now, report.running + report.queued + now - (own?.atReport ?? 0));
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
