/** A seeded random number generator, so that placement and jitter can be reproduced. */
import {randomBytes} from 'node:crypto';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Draws random numbers from one seeded xoroshiro128+ generator. */
export class RandomSource {
	private readonly generator;

	/** @param seed - any 32-bit integer; the same seed gives the same sequence */
	constructor(seed: number) {
		this.generator = xoroshiro128plus(seed);
	}

	/**
	 * Returns a uniformly distributed integer from 0 to `bound - 1`.
	 *
	 * @param bound - an integer of at least 1
	 */
	nextInt(bound: number): number {
		return uniformInt(this.generator, 0, bound - 1);
	}

	/**
	 * Returns a random duration, uniformly distributed from 0.5 to 1.5 times `ms`, so that timers of many processes do not fire in step.
	 *
	 * @param ms - the mean, in milliseconds
	 */
	jitter(ms: number): number {
		return Math.round((ms / 2) + (this.nextInt(1001) / 1000 * ms));
	}

	/**
	 * Draws up to `count` items without replacement and returns them in random order.
	 *
	 * @param count - the number of items to draw; all items if there are fewer
	 */
	sample<T>(items: readonly T[], count: number): T[] {
		const remaining = [...items];
		const drawn: T[] = [];
		while (drawn.length < count && remaining.length > 0) {
			drawn.push(...remaining.splice(this.nextInt(remaining.length), 1));
		}

		return drawn;
	}
}

/** Returns a random seed from the operating system. */
export function randomSeed(): number {
	return randomBytes(4).readInt32LE();
}
