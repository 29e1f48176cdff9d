/** What engines say of themselves in responses, on its way from the gateway that got it over the stager beside the engine to the others. */
import type {Instance} from '../directory/directory-types.ts';
import type {EngineObservation} from '../messages/load-datagram.ts';
import type {InstanceTracker} from '../placement/instance-tracker.ts';
import {type PaceReport, paceTtlMs} from '../placement/pace-records.ts';

/** A gateway's knowledge of what engines say of themselves. */
export type ObservationExchange = {
	/** Returns what an engine said in a response to this gateway; undefined if nothing of it counts any more. */
	readonly own: (instance: Instance) => EngineObservation | undefined;
	/** Takes what an engine said to other gateways. */
	readonly take: (instance: Instance, observation: EngineObservation) => void;
};

/** Keeps the newest that gateways told of the engine on the same VM. No I/O, no clock. */
export class ObservationRelay {
	private pace: {readonly value: number; readonly atMs: number} | undefined;
	private coldUntilMs = Number.NEGATIVE_INFINITY;

	/**
	 * Records what a gateway told.
	 *
	 * @param nowMs - the time, in milliseconds
	 */
	record({pace, coldMs}: EngineObservation, nowMs: number): void {
		if (pace && nowMs - pace[1] > (this.pace?.atMs ?? Number.NEGATIVE_INFINITY)) {
			this.pace = {value: pace[0], atMs: nowMs - pace[1]};
		}

		if (coldMs !== undefined) {
			this.coldUntilMs = Math.max(this.coldUntilMs, nowMs + coldMs);
		}
	}

	/**
	 * Returns what still counts; undefined if nothing does.
	 *
	 * @param nowMs - the time, in milliseconds
	 */
	current(nowMs: number): EngineObservation | undefined {
		const ageMs = nowMs - (this.pace?.atMs ?? Number.NEGATIVE_INFINITY);
		return createObservation(this.pace && ageMs < paceTtlMs ? {pace: this.pace.value, ageMs} : undefined, this.coldUntilMs - nowMs);
	}
}

/** Connects the exchange with what a gateway tracks of its instances. */
export function createObservationExchange({paces, coldStarts}: InstanceTracker): ObservationExchange {
	return {
		own(instance) {
			const nowMs = performance.now();
			return createObservation(paces.ownReport(instance.id, nowMs), coldStarts.saidColdUntilMs(instance) - nowMs);
		},
		take(instance, {pace, coldMs}) {
			if (pace) {
				paces.recordTold(instance.id, {pace: pace[0], ageMs: pace[1]}, performance.now());
			}

			if (coldMs !== undefined) {
				coldStarts.recordTold(instance, coldMs);
			}
		},
	};
}

/** Returns extras as the trailing elements of a datagram: none if there is nothing to tell, since earlier versions refuse a further element. */
export function asTrailing<Extras extends object>(extras: Extras | undefined): [Extras] | [] {
	return extras && Object.keys(extras).length > 0 ? [extras] : [];
}

function createObservation(report: PaceReport | undefined, coldMs: number): EngineObservation | undefined {
	const pace: EngineObservation = report ? {pace: [report.pace, Math.round(report.ageMs)]} : {};
	const observation: EngineObservation = coldMs >= 1 ? {...pace, coldMs: Math.round(coldMs)} : pace;
	return Object.keys(observation).length > 0 ? observation : undefined;
}
