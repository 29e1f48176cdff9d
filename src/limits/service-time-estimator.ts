/** Estimates how long calls of a service take and how often a slot becomes free. */

/** Relative step by which an answered call moves the median estimate. */
const medianStep = 0.05;

/** Weight of a new interval in the exponentially weighted moving average. */
const intervalWeight = 0.05;

/** Upper bound of a recorded interval, in milliseconds; a longer pause says nothing about how fast the service is. */
const maxIntervalMs = 1000;

/** Running estimates of the service time and of the interval between admissions. */
export class ServiceTimeEstimator {
	/** Estimated median service time, in milliseconds; 0 before the first answered call. */
	medianMs = 0;
	/** Estimated mean time between two admissions while calls wait, in milliseconds; 0 before the first such interval. */
	admissionIntervalMs = 0;
	private lastAdmissionMs: number | undefined;

	/**
	 * Updates the median estimate with an answered call.
	 *
	 * @param ms - the call's service time, in milliseconds
	 */
	recordAnswer(ms: number): void {
		if (this.medianMs === 0) {
			this.medianMs = ms;
			return;
		}

		// Equal steps up and down converge to the median, where half of the calls take longer.
		this.medianMs *= ms > this.medianMs ? 1 + medianStep : 1 - medianStep;
	}

	/**
	 * Updates the interval estimate with an admission. Only intervals between admissions with waiting calls count.
	 *
	 * @param nowMs - monotonic time, in milliseconds
	 * @param backlogged - whether other calls wait
	 */
	recordAdmission(nowMs: number, backlogged: boolean): void {
		if (backlogged && this.lastAdmissionMs !== undefined) {
			const interval = Math.min(maxIntervalMs, nowMs - this.lastAdmissionMs);
			this.admissionIntervalMs = this.admissionIntervalMs === 0 ? interval : this.admissionIntervalMs + ((interval - this.admissionIntervalMs) * intervalWeight);
		}

		this.lastAdmissionMs = backlogged ? nowMs : undefined;
	}
}
