/**
 * Tells from the answers of the counters whether the engines of this gateway's zone are full while others are not, so that more engines of
 * other zones are sampled. Answers demand that moves from zone to zone or gathers at one gateway. No I/O, no clock.
 */
import type {SampleSizes} from './sample-instances.ts';

/** Weight of one answer in the smoothed shares of full engines; the shares change over some ten calls, so that sampling does not swing. */
const answerWeight = 0.1;

/** Differences of the shares of full engines, here and elsewhere, from which the zone counts as crowded, and below which no longer. */
const crowdedDifference = {from: 0.3, until: 0.2};

/** Compares the engines of the own zone with those of other zones, for one service at one gateway. */
export class ZoneCrowding {
	/** Whether engines here are full clearly more often than elsewhere. */
	isCrowded = false;
	private localFullShare = 0;
	private remoteFullShare = 0;

	/**
	 * Records what a counter has answered; returns whether that changed {@link isCrowded}.
	 *
	 * @param isLocal - whether the engine is in the own zone
	 * @param isFull - whether all of its slots are used
	 */
	record(isLocal: boolean, isFull: boolean): boolean {
		const target = isFull ? 1 : 0;
		if (isLocal) {
			this.localFullShare += answerWeight * (target - this.localFullShare);
		} else {
			this.remoteFullShare += answerWeight * (target - this.remoteFullShare);
		}

		const wasCrowded = this.isCrowded;
		this.isCrowded = this.localFullShare - this.remoteFullShare >= (wasCrowded ? crowdedDifference.until : crowdedDifference.from);
		return this.isCrowded !== wasCrowded;
	}

	/** Returns the sizes of a sample; the larger one is for other zones while the own one is crowded. */
	adjust(sizes: SampleSizes): SampleSizes {
		return this.isCrowded
			? {local: Math.min(sizes.local, sizes.remote), remote: Math.max(sizes.local, sizes.remote)}
			: sizes;
	}
}
