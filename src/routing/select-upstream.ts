/** Chooses an upstream for a call. */
import type {Member} from '../membership/member.ts';
import type {RandomSource} from '../runtime/random-source.ts';

/** What the choice depends on. */
export type Selection = {
	/** Usable members that can run the call. */
	readonly candidates: readonly Member[];
	/** The zone of the entry. */
	readonly zone: string;
	/** Own calls in flight by VM. */
	readonly inFlight: ReadonlyMap<string, number>;
};

/**
 * Chooses the less loaded of two random candidates, in the entry's own zone when it has any.
 *
 * @param selection - candidates and what is known of them
 * @param random - draws the candidates
 * @returns undefined when there is no candidate
 */
export function selectUpstream(selection: Selection, random: RandomSource): Member | undefined {
	const local = selection.candidates.filter(member => member.zone === selection.zone);
	const pool = local.length > 0 ? local : selection.candidates;
	const drawn = random.sample(pool, 2);
	return drawn.toSorted((a, b) => loadOf(a, selection.inFlight) - loadOf(b, selection.inFlight))[0];
}

function loadOf(member: Member, inFlight: ReadonlyMap<string, number>): number {
	const own = inFlight.get(member.vm) ?? 0;
	const {report} = member.sight;
	return Math.max(own, report ? report.running + report.queued : 0) / (report?.capacity ?? 1);
}
