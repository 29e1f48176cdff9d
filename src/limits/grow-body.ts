/** Takes room for bodies that become longer while they arrive. */
import type {BodyBudget, BodyLease} from './body-budget.ts';
import type {BodyProgress, IncompleteBodies} from './incomplete-bodies.ts';

/** A body that is arriving, and the others that arrive at the same listener. */
export type GrowingBody = {
	readonly budget: BodyBudget;
	readonly incomplete: IncompleteBodies;
	readonly lease: BodyLease;
	readonly progress: BodyProgress;
};

/** Takes room for a body that has become longer, and ends slow ones if there is none; returns false if that is not enough. */
export function growBody({budget, incomplete, lease, progress}: GrowingBody, bytes: number): boolean {
	let isGrown = lease.growTo(bytes);
	while (!isGrown && !lease.isReleased && budget.canHold(bytes) && incomplete.endSlowest(performance.now(), budget.isLarge(bytes))) {
		isGrown = lease.growTo(bytes);
	}

	progress.isLarge = lease.isLarge;
	return isGrown;
}
