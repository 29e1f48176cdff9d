/** Random numbers from a seed, so that placement and jitter can be replayed. */
import {randomBytes} from 'node:crypto';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Draws random numbers from one seeded generator. */
export class RandomSource {
	private readonly generator;

	/** @param seed - any 32-bit whole number; the same seed gives the same numbers */
	constructor(seed: number) {
		this.generator = xoroshiro128plus(seed);
	}

	/**
	 * Returns a whole number from 0 up to, not including, `bound`.
	 *
	 * @param bound - a whole number of at least 1
	 */
	nextInt(bound: number): number {
		return uniformInt(this.generator, 0, bound - 1);
	}

	/**
	 * Returns a duration spread evenly over half to one and a half times `ms`, so that timers of many processes drift apart.
	 *
	 * @param ms - the mean, in milliseconds
	 */
	jitter(ms: number): number {
		return Math.round((ms / 2) + (this.nextInt(1001) / 1000 * ms));
	}

	/**
	 * Returns up to `count` distinct items in random order.
	 *
	 * @param items - the items to draw from
	 * @param count - how many to draw
	 */
	sample<T>(items: readonly T[], count: number): T[] {
		const pool = [...items];
		const chosen: T[] = [];
		while (chosen.length < count && pool.length > 0) {
			chosen.push(...pool.splice(this.nextInt(pool.length), 1));
		}

		return chosen;
	}
}

/** Returns a seed from the system's random source. */
export function randomSeed(): number {
	return randomBytes(4).readInt32LE();
}
