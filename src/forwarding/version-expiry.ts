/** Tells which versions of weights may begin work: after a newer one was named, older ones only for a bounded time. */
import type {Directory} from '../directory/directory.ts';
import type {HeldModel} from '../directory/directory-types.ts';

/** Time before the bound at which older versions stop, in milliseconds; covers the way of a call and an error of its forecast. */
const safetyMarginMs = 250;

/** Decides by the age of every newer version. */
export class VersionExpiry {
	/**
	 * @param directory - knows the named versions
	 * @param versionBoundMs - how long an older version may begin work, in milliseconds
	 */
	constructor(private readonly directory: Directory, private readonly versionBoundMs: number) {}

	/**
	 * Tells whether held weights may begin work now.
	 *
	 * @param held - what an instance holds
	 */
	mayStart(held: HeldModel): boolean {
		return this.timeLeftMs(held) > 0;
	}

	/**
	 * Returns how long held weights may still begin work, in milliseconds; without end while no newer version is named.
	 *
	 * @param held - what an instance holds
	 */
	timeLeftMs({model, version}: HeldModel): number {
		const nowMs = performance.now();
		// A still newer version does not extend the time of those before it.
		const newer = this.directory.versionsOf(model).filter(named => named.version > version);
		return Math.min(...newer.map(({sinceMs}) => this.versionBoundMs - safetyMarginMs - (nowMs - sinceMs)));
	}
}
