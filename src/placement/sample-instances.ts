/**
 * Draws the instances that a call chooses from. No I/O, no clock.
 *
 * The cost of a call depends on the number drawn, not on the size of the fleet, as long as most instances are eligible.
 */
import type {AvailableInstances} from '../directory/available-instances.ts';
import type {Instance} from '../directory/directory-types.ts';

/** Number of instances drawn in this gateway's zone and in other zones. A zone that has fewer is made up for by the others. */
export type SampleSizes = {readonly local: number; readonly remote: number};

/**
 * Samples of engines that are drawn one after the other, as long as `shouldAskMore` says so. Each engine costs a question to the
 * stager beside it, and a free slot is found among few engines as long as there are many.
 */
export const engineSamples: readonly SampleSizes[] = [{local: 2, remote: 1}, {local: 2, remote: 2}, {local: 4, remote: 3}];

/** The sample of instances of a plain service, whose load is known without a question. */
export const plainSamples: readonly SampleSizes[] = [{local: 4, remote: 3}];

/** Random draws per wanted instance before all instances are searched in order. */
const drawsPerInstance = 4;

/**
 * Returns up to `sizes.local + sizes.remote` distinct eligible instances; fewer only if there are no more.
 *
 * @param available - the instances of the service that accept calls
 * @param sizes - how many to draw
 * @param isEligible - whether the call may be sent to an instance
 * @param randomBelow - returns a random integer from 0 up to, but not including, its argument
 */
export function sampleInstances(available: AvailableInstances, sizes: SampleSizes, isEligible: (instance: Instance) => boolean, randomBelow: (bound: number) => number): Instance[] {
	const total = sizes.local + sizes.remote;
	const remote = drawEligible(available.remote, sizes.remote, isEligible, randomBelow);
	const local = drawEligible(available.local, total - remote.length, isEligible, randomBelow);
	const missing = total - local.length - remote.length;
	if (missing === 0 || remote.length < sizes.remote) {
		return [...local, ...remote];
	}

	const drawn = new Set(remote);
	return [...local, ...remote, ...drawEligible(available.remote, missing, instance => !drawn.has(instance) && isEligible(instance), randomBelow)];
}

function drawEligible(pool: readonly Instance[], count: number, isEligible: (instance: Instance) => boolean, randomBelow: (bound: number) => number): Instance[] {
	const drawn = new Set<Instance>();
	if (pool.length > count) {
		for (let draws = 0; draws < count * drawsPerInstance && drawn.size < count; draws++) {
			const instance = pool[randomBelow(pool.length)]!;
			if (isEligible(instance)) {
				drawn.add(instance);
			}
		}
	}

	if (drawn.size < count && pool.length > 0) {
		addInOrder(drawn, pool, count, isEligible, randomBelow(pool.length));
	}

	return [...drawn];
}

/** Adds eligible instances of a pool in order, from a start index around to it again, until there are `count`. */
function addInOrder(drawn: Set<Instance>, pool: readonly Instance[], count: number, isEligible: (instance: Instance) => boolean, start: number): void {
	for (let step = 0; step < pool.length && drawn.size < count; step++) {
		const instance = pool[(start + step) % pool.length]!;
		if (isEligible(instance)) {
			drawn.add(instance);
		}
	}
}
