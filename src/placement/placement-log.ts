/** Logs what was chosen for a call, and what decided it. */
import type {Directory} from '../directory/directory.ts';
import type {Logger} from '../runtime/logger.ts';
import {type Barrier, barrierDescriptions} from './instance-availability.ts';
import type {InstanceQuery} from './instance-query.ts';
import type {Candidate, Placement} from './select-instance.ts';

/** Maximum number of instances that are logged as passed over for a call. */
const maxLoggedBarriers = 12;

/** A placement, and what it was chosen from. */
export type LoggedPlacement = {
	readonly placement: Placement;
	readonly candidates: readonly Candidate[];
	/** Number of stagers that answered. */
	readonly answers: number;
	/** Why instances may get no call, by ID. */
	readonly barriers: ReadonlyMap<string, Barrier>;
};

/** Logs a placement, or a refusal with the instances that were passed over. */
export function logPlacement({log, directory}: {readonly log: Logger; readonly directory: Directory}, query: InstanceQuery, {placement, candidates, answers, barriers}: LoggedPlacement): void {
	const {service, headers, priority, aimLeftMs, permittedRegions, requiredVersion} = query;
	const common = {
		id: headers.attemptId, priority, aimLeftMs: Math.round(aimLeftMs), deadlineMs: headers.deadlineMs, candidates: candidates.length, answers,
	};
	if (placement.kind === 'place') {
		log.debug({
			...common, event: 'call_placed', instance: placement.id, predictedMs: Math.round(placement.predictedMs), load: candidates.find(({id}) => id === placement.id)?.load,
		}, 'instance selected for a call');
		return;
	}

	const evacuatedZones = directory.evacuations.zones;
	log.info({
		...common,
		event: 'no_place',
		service,
		model: headers.model,
		requiredVersion,
		permittedRegions,
		...(evacuatedZones.length > 0 ? {evacuatedZones} : {}),
		reason: placement.reason,
		leastCalls: Math.min(...candidates.map(({load}) => load.calls)),
		instancesRevision: directory.instancesRevision,
		passedOver: describeBarriers(barriers),
	}, 'no instance available for a call');
}

function describeBarriers(barriers: ReadonlyMap<string, Barrier>): object[] {
	const nowMs = performance.now();
	return [...barriers].slice(0, maxLoggedBarriers).map(([instance, {reason, sinceMs, untilMs}]) => ({
		instance,
		reason,
		...barrierDescriptions[reason],
		ageMs: sinceMs === undefined ? undefined : Math.round(nowMs - sinceMs),
		leftMs: Number.isFinite(untilMs) ? Math.round(untilMs - nowMs) : undefined,
	}));
}
