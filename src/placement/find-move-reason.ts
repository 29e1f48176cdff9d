/** Decides whether a call of which nothing was written has to leave its instance, because that one may get no further calls. No I/O. */
import type {BarrierReason} from './instance-availability.ts';

/** Why a call moves to another instance, for the log. */
export type MoveReason = 'instance_gone' | 'instance_leaving' | 'instance_draining' | 'zone_evacuated';

/** The barriers that also hold for calls that were placed before; the others only make an instance a bad choice for new ones. */
const moveReasons: Readonly<Partial<Record<BarrierReason, MoveReason>>> = {
	leaving: 'instance_leaving',
	draining: 'instance_draining',
	evacuated: 'zone_evacuated',
};

/**
 * Returns why a call moves; undefined if it stays.
 *
 * @param isListed - whether the directory lists the instance
 * @param barrier - why no further call may start there; undefined if one may
 */
export function findMoveReason(isListed: boolean, barrier: BarrierReason | undefined): MoveReason | undefined {
	if (!isListed) {
		return 'instance_gone';
	}

	return barrier && moveReasons[barrier];
}
