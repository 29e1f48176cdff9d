/** What a gateway knows of one held prompt part, and when a call may try whether it still crashes upstreams. No I/O, no clock. */
import type {PromptPartId} from '../ids/prompt-part-id.ts';
import type {Crash} from './crash-detector.ts';
import {findCompanions} from './find-crashing-parts.ts';

/** Time from the last crash to the first trial, in milliseconds. */
const firstTrialMs = 10_000;

/** Factor between the times to further trials, and their limit, in milliseconds. */
const trialBackoff = {factor: 4, limitMs: 1_800_000};

/** How long one gateway may take a due trial before it is another one's turn, in milliseconds. */
const trialTurnMs = 5000;

/** When calls with a held part may return while another gateway has its turn, in milliseconds. */
const otherTurnRetryAfterMs = 1000;

/** How long a part is held after its last crash, in milliseconds. */
const holdTtlMs = 7_200_000;

/** Maximum number of rivals that are kept, the first ones by ID so that all gateways keep the same; a crash of a call without them ends the restriction. */
const maxRivals = 16;

/** Times of one event that gateways tell each other differ by less than this, in milliseconds, since ages pass over the network. */
export const clockToleranceMs = 500;

/** A held part. Times are milliseconds of the monotonic clock of this process. */
export type Hold = {
	readonly part: PromptPartId;
	/** If there are any, only calls that also have one of these are refused: each call that crashed an upstream had them, too. */
	readonly rivals: readonly PromptPartId[];
	readonly lastCrashMs: number;
	readonly trials: number;
	readonly nextTrialMs: number;
};

/** Whether a call may be sent; `trial` if it is to show whether its part still crashes upstreams. */
export type Admission = {readonly kind: 'pass' | 'trial'} | {readonly kind: 'refuse'; readonly part: PromptPartId; readonly retryAfterMs: number};

/** Creates the hold of a part that was blamed. */
export function createHold(part: PromptPartId, rivals: readonly PromptPartId[], lastCrashMs: number): Hold {
	return {
		part, rivals: rivals.toSorted().slice(0, maxRivals), lastCrashMs, trials: 0, nextTrialMs: lastCrashMs + firstTrialMs,
	};
}

/** Returns whether a hold is still in force. */
export function isInForce({lastCrashMs}: Hold, nowMs: number): boolean {
	return lastCrashMs >= nowMs - holdTtlMs;
}

/** Returns whether a hold applies to a call with these parts, one of which is the held one. */
export function appliesTo(hold: Hold, parts: readonly PromptPartId[], nowMs: number): boolean {
	return isInForce(hold, nowMs) && (hold.rivals.length === 0 || hold.rivals.some(rival => parts.includes(rival)));
}

/**
 * Decides whether a call to which a hold applies may be sent.
 *
 * @param hasTurn - returns whether this gateway is the one to take a turn
 */
export function decideAdmission({part, trials, nextTrialMs}: Hold, nowMs: number, hasTurn: (turn: string) => boolean): Admission {
	if (nowMs < nextTrialMs) {
		return {kind: 'refuse', part, retryAfterMs: nextTrialMs - nowMs};
	}

	const turn = `${part}/${trials}/${Math.floor((nowMs - nextTrialMs) / trialTurnMs)}`;
	return hasTurn(turn) ? {kind: 'trial'} : {kind: 'refuse', part, retryAfterMs: otherTurnRetryAfterMs};
}

/** Returns the hold after a trial was started. */
export function withTrial(hold: Hold, nowMs: number): Hold {
	const trials = hold.trials + 1;
	return {...hold, trials, nextTrialMs: nowMs + trialDelayMs(trials)};
}

/** Returns the hold after a further crash that broke off calls with its part; the same one if the crash tells nothing new. */
export function withCrash(hold: Hold, {atMs, calls}: Crash): Hold {
	const companions = new Set(findCompanions(hold.part, calls));
	const rivals = hold.rivals.filter(part => companions.has(part));
	if (atMs <= hold.lastCrashMs && rivals.length === hold.rivals.length) {
		return hold;
	}

	const lastCrashMs = Math.max(hold.lastCrashMs, atMs);
	return {
		...hold, rivals, lastCrashMs, nextTrialMs: Math.max(hold.nextTrialMs, lastCrashMs + trialDelayMs(hold.trials)),
	};
}

/** Returns the hold after another gateway told of its own; the same one if that tells nothing new. */
export function withPeerHold(hold: Hold, theirs: Hold): Hold {
	if (theirs.trials <= hold.trials && theirs.lastCrashMs <= hold.lastCrashMs + clockToleranceMs && theirs.rivals.length >= hold.rivals.length) {
		return hold;
	}

	return {
		part: hold.part,
		rivals: hold.rivals.filter(part => theirs.rivals.includes(part)),
		lastCrashMs: Math.max(hold.lastCrashMs, theirs.lastCrashMs),
		trials: Math.max(hold.trials, theirs.trials),
		nextTrialMs: Math.max(hold.nextTrialMs, theirs.nextTrialMs),
	};
}

function trialDelayMs(trials: number): number {
	return Math.min(firstTrialMs * (trialBackoff.factor ** trials), trialBackoff.limitMs);
}
