/** Estimates how long calls of a service take and how fast slots become free. */

/** The step of the median estimate, relative to the estimate. */
const medianStep = 0.05;

/** The weight of a new interval in the moving average. */
const intervalWeight = 0.05;

/** Longest interval that counts, in milliseconds; a pause without waiting calls is no measure of the service. */
const maxIntervalMs = 1000;

/** Running estimates from observed calls. */
export class ServiceTime {
	/** The median service time in milliseconds; 0 until a call was answered. */
	medianMs = 0;
	/** The mean time between two admissions while calls wait, in milliseconds; 0 until it was seen. */
	intervalMs = 0;
	private lastAdmitMs: number | undefined;

	/**
	 * Records an answered call.
	 *
	 * @param ms - its service time, in milliseconds
	 */
	recordAnswer(ms: number): void {
		if (this.medianMs === 0) {
			this.medianMs = ms;
			return;
		}

		// Equal steps up and down settle where half of the calls are longer.
		this.medianMs *= ms > this.medianMs ? 1 + medianStep : 1 - medianStep;
	}

	/**
	 * Records an admission.
	 *
	 * @param nowMs - monotonic time, in milliseconds
	 * @param backlogged - whether calls wait
	 */
	recordAdmission(nowMs: number, backlogged: boolean): void {
		if (backlogged && this.lastAdmitMs !== undefined) {
			const interval = Math.min(maxIntervalMs, nowMs - this.lastAdmitMs);
			this.intervalMs = this.intervalMs === 0 ? interval : this.intervalMs + ((interval - this.intervalMs) * intervalWeight);
		}

		this.lastAdmitMs = backlogged ? nowMs : undefined;
	}
}
