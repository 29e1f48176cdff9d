/** Takes room for the heads of requests and for bodies that become longer while they arrive; ends slow ones if there is none. */
import type {MemoryBudget, MemoryLease} from './memory-budget.ts';
import type {BodyProgress, IncompleteBodies} from './incomplete-bodies.ts';

/** A body that is arriving, and the others that arrive at the same listener. */
export type GrowingBody = {
	readonly budget: MemoryBudget;
	readonly incomplete: IncompleteBodies;
	readonly lease: MemoryLease;
	readonly progress: BodyProgress;
};

/** Takes room for a body that has become longer, and ends slow ones if there is none; returns false if that is not enough. */
export function growBody({budget, incomplete, lease, progress}: GrowingBody, bytes: number): boolean {
	const isLarge = budget.isLarge(bytes);
	let isGrown = lease.growTo(bytes);
	while (!isGrown && !lease.isReleased && budget.canHold(bytes) && incomplete.endSlowest(performance.now(), body => body.isLarge === isLarge)) {
		isGrown = lease.growTo(bytes);
	}

	progress.isLarge = lease.isLarge;
	return isGrown;
}

/** Takes room for the head of a request, and ends slow bodies if there is none; returns undefined if that is not enough. */
export function takeHead(heads: MemoryBudget, incomplete: IncompleteBodies, bytes: number): MemoryLease | undefined {
	const isLarge = heads.isLarge(bytes);
	let lease = heads.tryTake(bytes);
	while (!lease && heads.canHold(bytes) && incomplete.endSlowest(performance.now(), body => body.isHeadLarge === isLarge)) {
		lease = heads.tryTake(bytes);
	}

	return lease;
}
