/**
 * Decides for one gateway which starts at a cold instance are its even share, without asking anybody. No I/O, no clock.
 *
 * The gateways take turns by the wall clock, in the order of their names. A turn that is not used lapses soon, so that gateways that were
 * idle do not all start calls at the same time. Clocks that differ only change the order of the turns.
 */
import {turnMs} from './cold-quota.ts';
import type {StartDecision} from './start-limiter.ts';

/** The place of this gateway among the known gateways. */
export type GatewayShare = {
	/** Number of gateways whose names sort before the own one, of `known`. */
	readonly rank: number;
	readonly known: number;
	/** The largest number of gateways that this or another process knows. */
	readonly count: number;
};

/**
 * How long after its start a process uses no share, in milliseconds: it may know few of the gateways, and the process before it may have
 * used its turn.
 */
export const settleMs = 1500;

const msPerSecond = 1000;

/** When a gateway without a share may ask the stager again, in milliseconds. */
const noShareRetryMs = 200;

/** The turns of one gateway at one instance. */
export class EvenShare {
	private lastTurn: number | undefined;
	private lastStartMs = Number.NEGATIVE_INFINITY;

	/**
	 * @param startedAtMs - when this process started, by the wall clock
	 * @param offset - where in its part of the cycle the turn of this process is; random, from 0 to 1
	 * @param cycleOffset - where the cycle of the instance begins, the same in all gateways, so that a gateway has its turns at several instances at different times; from 0 to 1
	 */
	constructor(private readonly startedAtMs: number, private readonly offset: number, private readonly cycleOffset = 0) {}

	/**
	 * Returns whether a call may start now, and takes the turn if so.
	 *
	 * @param nowMs - the time, in milliseconds of the wall clock
	 * @param share - the place of this gateway
	 * @param perSecond - starts per second of all gateways together
	 */
	tryStart(nowMs: number, {rank, known, count}: GatewayShare, perSecond: number): StartDecision {
		if (perSecond <= 0) {
			return {isAllowed: false, waitMs: noShareRetryMs};
		}

		const cycleMs = count * msPerSecond / perSecond;
		const cycles = (nowMs / cycleMs) - ((rank + this.offset) / known) - this.cycleOffset;
		const turn = Math.floor(cycles);
		const sinceTurnMs = (cycles - turn) * cycleMs;
		// Turns move when the number of gateways changes or the clock is set.
		const isSpaced = Math.abs(nowMs - this.lastStartMs) >= cycleMs / 2;
		const hasSettled = Math.abs(nowMs - this.startedAtMs) >= settleMs;
		if (hasSettled && isSpaced && turn !== this.lastTurn && sinceTurnMs < turnMs) {
			this.lastTurn = turn;
			this.lastStartMs = nowMs;
			return {isAllowed: true, waitMs: cycleMs - sinceTurnMs};
		}

		return {isAllowed: false, waitMs: cycleMs - sinceTurnMs};
	}
}
