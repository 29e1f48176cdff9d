/**
 * Splits the starts that a cold instance can take between the stager that grants them and the gateways that do not reach it. No I/O, no clock.
 *
 * Addresses the load on instances that have just started: a zone that comes back, or engines that are added under traffic. The parts sum
 * up to the limit, so that it also holds while some gateways reach the stager and others do not.
 */

/** By how much the starts at a cold instance may exceed its published rate within one second: rate × `overage` + `slack`. */
export type ColdLimits = {readonly overage: number; readonly slack: number};

/** The limits of deployments that set none. */
export const defaultColdLimits: ColdLimits = {overage: 1.5, slack: 5};

/** How a stager spaces the starts that it grants: one each `intervalMs`, of which some may come earlier by `toleranceMs`. */
export type GrantSpacing = {readonly intervalMs: number; readonly toleranceMs: number};

/** The starts at one cold instance, by who allows them. */
export type ColdQuota = {
	readonly granted: GrantSpacing;
	/** Starts per second of all gateways together that get no answer from the stager. */
	readonly unansweredPerSecond: number;
	/** Starts per second of all gateways together at an instance without a stager. */
	readonly alonePerSecond: number;
};

/** How long a start may be used after it was allowed, in milliseconds. */
export const startValidityMs = 100;

/** How long after its turn in the even share a gateway may still start, in milliseconds. */
export const turnMs = 200;

/** How much later a call may arrive than another one that was written at the same time, in milliseconds. */
const transitSpreadMs = 20;

const msPerSecond = 1000;

/** The starts that arrive within one second were granted within this time, in milliseconds. */
const grantWindowMs = msPerSecond + startValidityMs + transitSpreadMs;

/** The starts of even shares that arrive within one second had their turns within this time, in milliseconds. */
const turnWindowMs = grantWindowMs + turnMs;

/** Turns at the two ends of a window that are counted in full. */
const edgeTurns = 2;

/** Shares of the limit that the gateways use without an answer of a stager: beside its grants, and without a stager. Clocks of gateways may differ, and turns then bunch. */
const unansweredShare = 0.4;
const aloneShare = 0.6;

/** Share of the limit that gateways use per second without a stager if the limit is only a few calls. */
const minAloneShare = 0.25;

/**
 * Splits the rate of a cold instance.
 *
 * @param callsPerSecond - the published rate
 * @param limits - how far it may be exceeded
 */
export function splitColdRate(callsPerSecond: number, {overage, slack}: ColdLimits): ColdQuota {
	const limit = (callsPerSecond * overage) + slack;
	const unansweredPerSecond = Math.min(callsPerSecond, Math.max(0, turnRate(limit * unansweredShare)));
	const reserved = unansweredPerSecond > 0 ? edgeTurns + (unansweredPerSecond * turnWindowMs / msPerSecond) : 0;
	const grants = Math.max(1, Math.floor(limit - reserved));
	const intervalMs = Math.max(msPerSecond / callsPerSecond, grantWindowMs / grants);
	return {
		granted: {intervalMs, toleranceMs: Math.max(0, (grants * intervalMs) - grantWindowMs)},
		unansweredPerSecond,
		alonePerSecond: Math.min(callsPerSecond, Math.max(limit * minAloneShare, turnRate(limit * aloneShare))),
	};
}

/** Returns the turns per second of which at most `starts` fall into any window. */
function turnRate(starts: number): number {
	return (starts - edgeTurns) * msPerSecond / turnWindowMs;
}
