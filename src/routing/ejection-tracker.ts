/** Owns the ejections: takes upstreams that fail in a row out of the choice for a while, and lets them return slowly. */

/** Failures in a row that eject an upstream. */
export const failureLimit = 5;

/** The largest share of a group that may be ejected at once. */
export const maxEjectedShare = 0.3;

/** Length of the first ejection, in milliseconds; each further one in a row is twice as long. */
export const ejectionMs = 5000;

/** Longest ejection, in milliseconds. */
export const maxEjectionMs = 60_000;

/** How long a returned upstream takes to get its full share, in milliseconds. */
export const slowStartMs = 10_000;

/** The share that an upstream starts with, and that a failing one keeps when no more of its group may be ejected. */
export const lowestShare = 0.1;

/** How an attempt ended, as far as the upstream's health is concerned. */
export type HealthSign = 'good' | 'failed' | 'silent';

type Health = {
	failures: number;
	/** Ejections since the last good answer. */
	ejections: number;
	ejectedUntilMs: number;
};

/** Decides which upstreams are ejected. It holds no timers. */
export class EjectionTracker {
	/** Ejections so far. */
	total = 0;
	private readonly states = new Map<string, Health>();

	/**
	 * Records how an attempt ended.
	 *
	 * @param vm - the upstream's VM
	 * @param sign - how it ended; `silent` is a missed progress deadline
	 * @param group - all VMs of the service, this one included
	 * @param nowMs - monotonic time, in milliseconds
	 */
	record(vm: string, sign: HealthSign, group: readonly string[], nowMs: number): void {
		const health = this.states.get(vm) ?? {failures: 0, ejections: 0, ejectedUntilMs: Number.NEGATIVE_INFINITY};
		if (sign === 'good') {
			health.failures = 0;
			if (nowMs >= health.ejectedUntilMs + slowStartMs) {
				this.states.delete(vm);
			}

			return;
		}

		this.states.set(vm, health);
		health.failures = sign === 'silent' ? Math.max(failureLimit, health.failures + 1) : health.failures + 1;
		if (health.failures >= failureLimit && nowMs >= health.ejectedUntilMs && this.hasRoom(group, nowMs)) {
			health.ejectedUntilMs = nowMs + Math.min(maxEjectionMs, ejectionMs * (2 ** health.ejections));
			health.ejections++;
			this.total++;
			// One more failure after the return ejects again.
			health.failures = failureLimit - 1;
		}
	}

	/**
	 * Tells whether an upstream is ejected.
	 *
	 * @param vm - the upstream's VM
	 * @param nowMs - monotonic time, in milliseconds
	 */
	isEjected(vm: string, nowMs: number): boolean {
		const health = this.states.get(vm);
		return health !== undefined && nowMs < health.ejectedUntilMs;
	}

	/**
	 * Returns the share of its capacity that an upstream should get, from {@link lowestShare} to 1.
	 *
	 * @param vm - the upstream's VM
	 * @param nowMs - monotonic time, in milliseconds
	 */
	shareOf(vm: string, nowMs: number): number {
		const health = this.states.get(vm);
		if (!health) {
			return 1;
		}

		if (health.failures >= failureLimit) {
			return lowestShare;
		}

		const sinceReturnMs = nowMs - health.ejectedUntilMs;
		return Math.min(1, Math.max(lowestShare, sinceReturnMs / slowStartMs));
	}

	/** Forgets VMs that are no longer members. */
	keepOnly(vms: Pick<ReadonlySet<string>, 'has'>): void {
		for (const vm of this.states.keys()) {
			if (!vms.has(vm)) {
				this.states.delete(vm);
			}
		}
	}

	/** Returns the VMs with failures or ejections, for dumps. */
	dump(nowMs: number): unknown {
		return [...this.states].map(([vm, {failures, ejections}]) => ({
			vm, failures, ejections, ejected: this.isEjected(vm, nowMs), share: this.shareOf(vm, nowMs),
		}));
	}

	private hasRoom(group: readonly string[], nowMs: number): boolean {
		const ejected = group.filter(vm => this.isEjected(vm, nowMs)).length;
		return ejected + 1 <= Math.floor((group.length * maxEjectedShare) + 1e-9);
	}
}
