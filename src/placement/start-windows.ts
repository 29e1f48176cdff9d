/** Tells how long calls may still start at an instance, given the version that it holds and the delay of the path to it. */
import type {HeldModel, Instance} from '../directory/directory-types.ts';
import type {LoadSource} from './load-source.ts';
import type {PathDelays} from './path-delays.ts';
import type {VersionExpiry} from './version-expiry.ts';

/** The time left below which a path of unknown delay counts as long and the paths of waiting calls are measured, in milliseconds. */
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

	/**
	 * Returns the same for a call that waits for its start. Shortly before the expiry, the path is measured meanwhile: it may have become long
	 * after the call was written, so that the reset which takes the call back would be late.
	 *
	 * @param instance - the instance that the call was sent to
	 * @param held - as in {@link timeLeftMs}
	 * @param loads - measures the path
	 */
	watchTimeLeft(instance: Instance, held: HeldModel | undefined, loads: LoadSource): number {
		const leftMs = this.timeLeftMs(instance.id, held);
		if (leftMs > 0 && leftMs < shortWindowMs) {
			loads.probe?.(instance);
		}

		return leftMs;
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
