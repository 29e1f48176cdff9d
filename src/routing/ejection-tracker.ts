/** Outlier ejection: excludes upstreams with consecutive failures from selection, then ramps their capacity up again. */

/** Consecutive failures after which an upstream is ejected. */
export const consecutiveFailureThreshold = 5;

/** Maximum fraction of a group that may be ejected at the same time. */
export const maxEjectedFraction = 0.3;

/** Duration of the first ejection, in milliseconds. It doubles with each ejection that follows without a recovery. */
export const baseEjectionMs = 5000;

/** Maximum duration of an ejection, in milliseconds. */
export const maxEjectionMs = 60_000;

/** Time from the end of an ejection until the upstream has its full capacity again, in milliseconds. */
export const slowStartMs = 10_000;

/**
 * Fraction of its capacity with which an upstream starts after an ejection.
 *
 * A failing upstream that cannot be ejected, because its group has reached {@link maxEjectedFraction}, gets this fraction too.
 */
export const minCapacityFraction = 0.1;

/** The outcome of an attempt as it counts for the upstream's health; `silent` is a missed progress deadline. */
export type HealthOutcome = 'good' | 'failed' | 'silent';

type HealthState = {
	/** Consecutive failures. */
	failures: number;
	/** Ejections since the state was last cleared by a good answer after slow start. */
	ejections: number;
	ejectedUntilMs: number;
};

/** Tracks failures per upstream and decides which upstreams are ejected. Uses no timers: callers pass the time. */
export class EjectionTracker {
	/** Number of ejections so far. */
	total = 0;
	private readonly states = new Map<string, HealthState>();

	/**
	 * Records the outcome of an attempt, and ejects the upstream when it reaches the failure threshold.
	 *
	 * @param vm - the upstream's VM
	 * @param outcome - the outcome; `silent` reaches the threshold at once
	 * @param group - all VMs of the service, including this one
	 * @param nowMs - monotonic time, in milliseconds
	 */
	record(vm: string, outcome: HealthOutcome, group: readonly string[], nowMs: number): void {
		const health = this.states.get(vm) ?? {failures: 0, ejections: 0, ejectedUntilMs: Number.NEGATIVE_INFINITY};
		if (outcome === 'good') {
			health.failures = 0;
			if (nowMs >= health.ejectedUntilMs + slowStartMs) {
				this.states.delete(vm);
			}

			return;
		}

		this.states.set(vm, health);
		health.failures = outcome === 'silent' ? Math.max(consecutiveFailureThreshold, health.failures + 1) : health.failures + 1;
		if (health.failures >= consecutiveFailureThreshold && nowMs >= health.ejectedUntilMs && this.canEjectOneMore(group, nowMs)) {
			health.ejectedUntilMs = nowMs + Math.min(maxEjectionMs, baseEjectionMs * (2 ** health.ejections));
			health.ejections++;
			this.total++;
			// A single failure after the ejection ends is enough to eject the upstream again.
			health.failures = consecutiveFailureThreshold - 1;
		}
	}

	/**
	 * Returns whether an upstream is ejected.
	 *
	 * @param vm - the upstream's VM
	 * @param nowMs - monotonic time, in milliseconds
	 */
	isEjected(vm: string, nowMs: number): boolean {
		const health = this.states.get(vm);
		return health !== undefined && nowMs < health.ejectedUntilMs;
	}

	/**
	 * Returns the fraction of its capacity that an upstream may use, from {@link minCapacityFraction} to 1.
	 *
	 * @param vm - the upstream's VM
	 * @param nowMs - monotonic time, in milliseconds
	 */
	capacityFraction(vm: string, nowMs: number): number {
		const health = this.states.get(vm);
		if (!health) {
			return 1;
		}

		if (health.failures >= consecutiveFailureThreshold) {
			return minCapacityFraction;
		}

		const sinceReturnMs = nowMs - health.ejectedUntilMs;
		return Math.min(1, Math.max(minCapacityFraction, sinceReturnMs / slowStartMs));
	}

	/** Removes the state of VMs that are not in the set. */
	keepOnly(vms: Pick<ReadonlySet<string>, 'has'>): void {
		for (const vm of this.states.keys()) {
			if (!vms.has(vm)) {
				this.states.delete(vm);
			}
		}
	}

	/** Returns the health state of each VM that has one, for state dumps. */
	dump(nowMs: number): unknown {
		return [...this.states].map(([vm, {failures, ejections}]) => ({
			vm, failures, ejections, ejected: this.isEjected(vm, nowMs), share: this.capacityFraction(vm, nowMs),
		}));
	}

	private canEjectOneMore(group: readonly string[], nowMs: number): boolean {
		const ejected = group.filter(vm => this.isEjected(vm, nowMs)).length;
		return ejected + 1 <= Math.floor((group.length * maxEjectedFraction) + 1e-9);
	}
}
