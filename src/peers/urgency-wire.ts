/** Translates between load shedding and the datagrams of the load counts. */
import type {AskDatagram, LoadDatagram} from '../messages/load-datagram.ts';
import type {UrgencyReport, YieldShares} from '../placement/urgency-pressure.ts';

const percent = 100;

/** Encodes the report of a question; refusals are left out if there are none. */
export function encodeReport({urgency, isNewCall, refused}: UrgencyReport): NonNullable<AskDatagram[3]> {
	const newCalls = isNewCall ? 1 : 0;
	return refused.length === 0 ? [urgency, newCalls] : [urgency, newCalls, refused.map(([refusedUrgency, calls]) => [refusedUrgency, calls])];
}

/** Decodes the report of a question. */
export function decodeReport([urgency, newCalls, refused]: NonNullable<AskDatagram[3]>): UrgencyReport {
	return {urgency, isNewCall: newCalls > 0, refused: refused ?? []};
}

/** Encodes the calls that give way, for an answer. */
export function encodeYields(yields: YieldShares): NonNullable<LoadDatagram[3]> {
	return {yields: yields.map(([urgency, share]) => [urgency, Math.round(share * percent)])};
}

/** Decodes the calls that give way; undefined if there are none. */
export function decodeYields(extras: LoadDatagram[3]): YieldShares | undefined {
	return extras?.yields?.map(([urgency, share]) => [urgency, Math.min(1, share / percent)] as const);
}
