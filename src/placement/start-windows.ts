/** Tells how long calls may still start at an instance, given the version that it holds and the delay of the path to it. */
import type {HeldModel, Instance} from '../directory/directory-types.ts';
import type {PathDelays} from './path-delays.ts';
import type {VersionExpiry} from './version-expiry.ts';

/** The time left below which a path of unknown delay counts as long, in milliseconds. */
const shortWindowMs = 3000;

/** The least delay that is assumed of a path while an answer is missing, in milliseconds. */
const unknownDelayMs = 500;

/** When a call was taken back, for the log; times in milliseconds. */
export type StartBound = {
	/** The delay that was assumed of the path. */
	readonly pathDelayMs: number;
	/** How long calls may still start on the version, without any margin; negative once they may not. */
	readonly leftMs: number;
};

/** Combines the expiry of versions with the delays of paths. */
export class StartWindows {
	constructor(private readonly expiry: VersionExpiry, private readonly paths: PathDelays) {}

	/**
	 * Returns how long calls may still be sent to an instance, in milliseconds: infinite unless a newer version was announced.
	 *
	 * @param id - the instance ID
	 * @param held - the model and version that it holds; undefined if it is no engine
	 */
	timeLeftMs(id: string, held: HeldModel | undefined): number {
		return held ? this.expiry.timeLeftMs(held, this.pathDelayMs(id, held)) : Number.POSITIVE_INFINITY;
	}

	/** Describes the time left of a call to an instance, in whole milliseconds. */
	describe(id: string, held: HeldModel | undefined): StartBound | undefined {
		return held && {pathDelayMs: Math.round(this.pathDelayMs(id, held)), leftMs: Math.round(this.expiry.boundLeftMs(held))};
	}

	private pathDelayMs(id: string, held: HeldModel): number {
		const delayMs = this.paths.delayMs(id);
		const isShort = this.expiry.timeLeftMs(held, delayMs) < shortWindowMs;
		return isShort && this.paths.isUnknown(id) ? Math.max(unknownDelayMs, delayMs) : delayMs;
	}
}

/** Returns what an instance holds of a model. */
export function findHeldModel(instance: Instance, model: string | undefined): HeldModel | undefined {
	return instance.held.find(held => held.model === model);
}
