/** Tells how old something is, also across a suspension of the VM, during which the monotonic clock stands still. */
export class Stopwatch {
	private readonly startedMs = performance.now();
	private readonly startedWallMs = Date.now();

	/** Time since the creation, in milliseconds: too long if the wall clock was set forward meanwhile, never too short. */
	get elapsedMs(): number {
		return Math.max(performance.now() - this.startedMs, Date.now() - this.startedWallMs);
	}
}
