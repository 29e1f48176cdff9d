/** Tells which versions of weights may begin work: after a newer one was named, older ones only for a bounded time. */
import type {Directory} from '../directory/directory.ts';
import type {HeldModel} from '../directory/directory-types.ts';

/** Time before the bound at which older versions stop, in milliseconds; covers the way of a call and the wait at its upstream. */
const marginMs = 700;

/** Decides by the age of every newer version. */
export class VersionRule {
	/**
	 * @param directory - knows the named versions
	 * @param boundMs - how long an older version may begin work, in milliseconds
	 */
	constructor(private readonly directory: Directory, private readonly boundMs: number) {}

	/**
	 * Tells whether held weights may begin work now.
	 *
	 * @param held - what an instance holds
	 */
	mayBegin({model, version}: HeldModel): boolean {
		const nowMs = performance.now();
		// A still newer version does not extend the time of those before it.
		return this.directory.versionsOf(model).every(named => version >= named.version || nowMs - named.sinceMs < this.boundMs - marginMs);
	}
}
