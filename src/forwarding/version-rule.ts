/** Tells which versions of weights may begin work: after a newer one was named, older ones only for a bounded time. */
import type {Directory} from '../directory/directory.ts';
import type {HeldModel} from '../directory/directory-types.ts';

/** Time before the bound at which older versions stop, in milliseconds; covers the way of a call and the wait at its upstream. */
const marginMs = 1500;

/** Decides by the age of the newest named version. */
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
		const newest = this.directory.versions.get(model);
		return !newest || version >= newest.version || performance.now() - newest.sinceMs < this.boundMs - marginMs;
	}
}
