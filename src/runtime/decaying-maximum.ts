/** A maximum that counts less the older it is. */

/** Keeps the largest recent value. */
export class DecayingMaximum {
	private largest = 0;
	private atMs = performance.now();

	/** @param halfLifeMs - the time after which a value counts by half, in milliseconds */
	constructor(private readonly halfLifeMs: number) {}

	/** The largest recent value, less the older it is; 0 before the first one. */
	get value(): number {
		return this.largest * (0.5 ** ((performance.now() - this.atMs) / this.halfLifeMs));
	}

	/** Takes a value that was measured now, unless an earlier one still counts more. */
	record(value: number): void {
		if (value >= this.value) {
			this.largest = value;
			this.atMs = performance.now();
		}
	}
}
