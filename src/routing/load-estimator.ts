/** Estimates the load of upstreams from their delayed reports and from this entry's own calls in flight. */
import type {Member} from '../membership/member.ts';

/** Reports older than this are ignored, in milliseconds. */
export const maxReportAgeMs = 10_000;

/** Assumed mean call duration before the first call is answered, in milliseconds. */
const initialMeanCallMs = 500;

/** Weight of a new call duration in the exponentially weighted moving average. */
const durationWeight = 0.05;

type OwnCalls = {
	/** Own calls in flight now. */
	current: number;
	/** Own calls in flight when the last report arrived. */
	atReport: number;
	reportAtMs: number | undefined;
};

/** The estimated load of an upstream, in calls. */
export type LoadEstimate = {
	/** Calls that this entry has in flight at the upstream; exact. */
	readonly ownCalls: number;
	/** Own calls plus the estimated calls of other entries. */
	readonly totalCalls: number;
};

/** Inputs of a candidate's load estimate. */
type LoadInputs = {
	readonly ownCalls: number;
	/** Calls of other entries according to the last report. */
	readonly othersCalls: number;
	/** Weight of the report in the estimate: 1 for a new report, falling towards 0 with its age; 0 without a usable report. */
	readonly reportWeight: number;
};

/** Tracks own calls in flight per VM and combines them with the VMs' reports into load estimates. */
export class LoadEstimator {
	private readonly ownCallsByVm = new Map<string, OwnCalls>();
	private meanCallMs = initialMeanCallMs;

	/**
	 * Estimates the load of each candidate: own calls in flight plus calls of other entries.
	 *
	 * The calls of other entries are the reported calls minus the own calls in flight when the report arrived. This value
	 * becomes outdated: the calls end after about one call duration, and other entries act on the same report. The weight of
	 * the reported value therefore decays with the report's age, and the candidates' mean load per capacity replaces it.
	 * Candidates without a recent report get the mean alone.
	 *
	 * @param members - the candidates
	 * @param nowMs - monotonic time, in milliseconds
	 */
	estimateLoads(members: readonly Member[], nowMs: number): LoadEstimate[] {
		const inputs = members.map(member => this.loadInputsOf(member, nowMs));
		let othersCalls = 0;
		let capacity = 0;
		for (const [index, input] of inputs.entries()) {
			if (input.reportWeight > 0) {
				othersCalls += input.othersCalls;
				capacity += members[index]?.sight.report?.capacity ?? 0;
			}
		}

		const meanPerCapacity = capacity > 0 ? othersCalls / capacity : 0;
		return inputs.map(({ownCalls, othersCalls: reported, reportWeight}, index) => {
			const mean = meanPerCapacity * (members[index]?.sight.report?.capacity ?? 1);
			return {ownCalls, totalCalls: ownCalls + (reported * reportWeight) + (mean * (1 - reportWeight))};
		});
	}

	/**
	 * Adds the duration of an answered call to the moving average.
	 *
	 * @param ms - the duration, in milliseconds
	 */
	recordDuration(ms: number): void {
		this.meanCallMs = Math.max(1, this.meanCallMs + ((ms - this.meanCallMs) * durationWeight));
	}

	/**
	 * Adjusts the number of own calls in flight when a call starts or ends.
	 *
	 * @param vm - the upstream's VM
	 * @param delta - 1 at the start, -1 at the end
	 * @param reportAtMs - arrival of the VM's last report; undefined without one
	 */
	adjustInFlight(vm: string, delta: 1 | -1, reportAtMs: number | undefined): void {
		this.snapshotAtNewReport(vm, reportAtMs);
		const own = this.ownCallsByVm.get(vm) ?? {current: 0, atReport: 0, reportAtMs};
		own.current += delta;
		this.ownCallsByVm.set(vm, own);
		if (own.current === 0 && own.atReport === 0) {
			this.ownCallsByVm.delete(vm);
		}
	}

	/** Own calls in flight by VM; VMs without any are left out. */
	get inFlight(): Record<string, number> {
		return Object.fromEntries([...this.ownCallsByVm].filter(([, {current}]) => current > 0).map(([vm, {current}]) => [vm, current]));
	}

	private loadInputsOf(member: Member, nowMs: number): LoadInputs {
		const {report, reportAtMs} = member.sight;
		this.snapshotAtNewReport(member.vm, reportAtMs);
		const own = this.ownCallsByVm.get(member.vm);
		const current = own?.current ?? 0;
		if (!report || reportAtMs === undefined || nowMs - reportAtMs > maxReportAgeMs) {
			return {ownCalls: current, othersCalls: 0, reportWeight: 0};
		}

		const othersCalls = Math.max(0, report.running + report.queued - (own?.atReport ?? 0));
		return {ownCalls: current, othersCalls, reportWeight: Math.exp((reportAtMs - nowMs) / this.meanCallMs)};
	}

	/**
	 * Stores the number of own calls in flight when the VM has sent a new report.
	 *
	 * Each change of the count and each estimate calls this first, so the count is still the one at the report's arrival.
	 */
	private snapshotAtNewReport(vm: string, reportAtMs: number | undefined): void {
		const own = this.ownCallsByVm.get(vm);
		if (own && own.reportAtMs !== reportAtMs) {
			own.reportAtMs = reportAtMs;
			own.atReport = own.current;
			if (own.current === 0) {
				this.ownCallsByVm.delete(vm);
			}
		}
	}
}
