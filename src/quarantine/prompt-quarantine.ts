/**
 * Refuses calls with prompt parts that crash upstreams.
 *
 * All gateways exchange the crashes that they see, and each decides for itself. A part is held until a call with it leaves its upstream
 * alive: one that was under way when the part was held, or a trial. Only one gateway at a time tries, with one call.
 */
import type {Instance} from '../directory/directory-types.ts';
import type {PromptPartId} from '../ids/prompt-part-id.ts';
import type {Logger} from '../runtime/logger.ts';
import type {Crash} from './crash-detector.ts';
import {CrashEvidence, survivalDelayMs} from './crash-evidence.ts';
import {countCrashesAfter, findCompanions, findCrashingParts} from './find-crashing-parts.ts';

/** Number of parts that are held at the same time; a further one replaces the one whose last crash is the oldest. */
const maxHolds = 64;

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

/** How long reports of crashes are gathered before a part is blamed, in milliseconds: those of one crash come from several gateways. */
const judgeDelayMs = 30;

/** Number of crashes of a part since its last survival known to others, from which other gateways are told of a later one. */
const crashesToReportSurvival = 2;

/** Number of parts whose survival is known to other gateways. */
const maxSharedSurvivals = 2048;

/** Times of one event that gateways tell each other differ by less than this, in milliseconds, since ages pass over the network. */
const clockToleranceMs = 500;

/** A held part. Times are milliseconds of the monotonic clock of this process. */
export type Hold = {
	readonly part: PromptPartId;
	/** If there are any, only calls that also have one of these are refused: each call that crashed an upstream had them, too. */
	readonly rivals: readonly PromptPartId[];
	readonly lastCrashMs: number;
	readonly trials: number;
	readonly nextTrialMs: number;
};

/** A survival of a part. */
export type Survival = {readonly part: PromptPartId; readonly atMs: number};

/** What one gateway tells others. */
export type CrashNews = {readonly crashes: readonly Crash[]; readonly survivals: readonly Survival[]; readonly holds: readonly Hold[]};

/** Whether a call may be sent; `trial` if it is to show whether its part still crashes upstreams. */
export type Admission = {readonly kind: 'pass' | 'trial'} | {readonly kind: 'refuse'; readonly part: PromptPartId; readonly retryAfterMs: number};

/** Dependencies of a {@link PromptQuarantine}. */
export type PromptQuarantineOptions = {
	readonly log: Logger;
	/** Returns whether this gateway is the one to take a turn; all gateways must agree as far as they know the same ones. */
	readonly hasTurn: (turn: string) => boolean;
	/** Tells other gateways. */
	readonly tell: (news: Partial<CrashNews>) => void;
};

/** Holds prompt parts. */
export class PromptQuarantine {
	private readonly evidence = new CrashEvidence();
	private readonly holdsByPart = new Map<PromptPartId, Hold>();
	/** The latest survivals that other gateways know of. */
	private readonly sharedSurvivals = new Map<PromptPartId, number>();
	private readonly holdListeners: Array<() => void> = [];
	private judgeTimer: NodeJS.Timeout | undefined;

	/** @param options - dependencies */
	constructor(private readonly options: PromptQuarantineOptions) {}

	/**
	 * Adds a listener.
	 *
	 * @param listener - called after a further part was held
	 */
	onHeld(listener: () => void): void {
		this.holdListeners.push(listener);
	}

	/** The held parts. */
	get holds(): readonly Hold[] {
		return [...this.holdsByPart.values()];
	}

	/**
	 * Decides whether a call may be sent to an upstream.
	 *
	 * @param parts - the shared prompt parts of the call
	 */
	admit(parts: readonly PromptPartId[]): Admission {
		const hold = this.findHold(parts);
		if (!hold) {
			return {kind: 'pass'};
		}

		const nowMs = performance.now();
		const untilTrialMs = hold.nextTrialMs - nowMs;
		if (untilTrialMs > 0) {
			return {kind: 'refuse', part: hold.part, retryAfterMs: untilTrialMs};
		}

		const turn = `${hold.part}/${hold.trials}/${Math.floor(-untilTrialMs / trialTurnMs)}`;
		if (!this.options.hasTurn(turn)) {
			return {kind: 'refuse', part: hold.part, retryAfterMs: otherTurnRetryAfterMs};
		}

		const trials = hold.trials + 1;
		this.updateHold({...hold, trials, nextTrialMs: nowMs + trialDelayMs(trials)}, 'trial');
		return {kind: 'trial'};
	}

	/** Returns the time until the next trial, in milliseconds, if calls with these parts are refused; undefined if they are not. */
	heldForMs(parts: readonly PromptPartId[]): number | undefined {
		const hold = this.findHold(parts);
		return hold && Math.max(0, hold.nextTrialMs - performance.now());
	}

	/**
	 * Records that an upstream survived a call to its end, or long enough to show that the call does not crash it.
	 *
	 * @param parts - the shared prompt parts of the call
	 */
	recordSurvival({id}: Instance, parts: readonly PromptPartId[]): void {
		this.evidence.addEndedCall(id, parts);
		if (this.findHold(parts)) {
			setTimeout(() => {
				this.releaseSurvivors();
			}, survivalDelayMs + 1).unref();
		}
	}

	/** Records a crash that this gateway found. */
	recordCrash(crash: Crash, {id}: Instance): void {
		this.evidence.discardEndedCalls(id);
		this.addCrashes([crash]);
	}

	/** Records what another gateway tells, and tells others what is new in it. */
	mergeNews({crashes, survivals, holds}: CrashNews): void {
		this.addSurvivals(survivals);
		for (const hold of holds) {
			this.mergeHold(hold);
		}

		this.addCrashes(crashes);
	}

	private addCrashes(crashes: readonly Crash[]): void {
		const news = crashes.flatMap(crash => {
			const calls = crash.calls.length > 0 ? this.evidence.addCrash(crash) : undefined;
			return calls ? [{...crash, calls}] : [];
		});
		if (news.length === 0) {
			return;
		}

		this.options.tell({crashes: news, survivals: this.findUnsharedSurvivals([...new Set(news.flatMap(({calls}) => calls.flat()))])});
		for (const crash of news) {
			this.extendHolds(crash);
		}

		this.scheduleJudgement();
	}

	/** Returns survivals that clear parts which other gateways may soon blame. */
	private findUnsharedSurvivals(parts: readonly PromptPartId[]): Survival[] {
		const {evidence} = this;
		const survivals: Survival[] = [];
		for (const part of parts) {
			const atMs = evidence.lastSurvivalMs(part);
			const sharedMs = this.sharedSurvivals.get(part) ?? Number.NEGATIVE_INFINITY;
			if (atMs !== undefined && atMs > sharedMs && countCrashesAfter(evidence.crashTimes(part), sharedMs) >= crashesToReportSurvival) {
				this.recordShared(part, atMs);
				survivals.push({part, atMs});
			}
		}

		return survivals;
	}

	private addSurvivals(survivals: readonly Survival[]): void {
		const news: Survival[] = [];
		for (const survival of survivals) {
			const {part, atMs} = survival;
			this.evidence.addSurvival(part, atMs);
			if (atMs > (this.sharedSurvivals.get(part) ?? Number.NEGATIVE_INFINITY) + clockToleranceMs) {
				this.recordShared(part, atMs);
				news.push(survival);
			}
		}

		if (news.length > 0) {
			this.options.tell({survivals: news});
			this.releaseSurvivors();
		}
	}

	private recordShared(part: PromptPartId, atMs: number): void {
		this.sharedSurvivals.delete(part);
		this.sharedSurvivals.set(part, atMs);
		if (this.sharedSurvivals.size > maxSharedSurvivals) {
			this.sharedSurvivals.delete(this.sharedSurvivals.keys().next().value!);
		}
	}

	private scheduleJudgement(): void {
		this.judgeTimer ??= setTimeout(() => {
			this.judgeTimer = undefined;
			this.judge();
		}, judgeDelayMs).unref();
	}

	private judge(): void {
		const {crashes} = this.evidence;
		const found = findCrashingParts({crashes, lastSurvivalMs: part => this.evidence.lastSurvivalMs(part), blamed: new Set(this.holdsByPart.keys())});
		for (const {part, rivals} of found) {
			const lastCrashMs = Math.max(...this.evidence.crashTimes(part));
			this.updateHold({
				part, rivals, lastCrashMs, trials: 0, nextTrialMs: lastCrashMs + firstTrialMs,
			}, 'crashes');
		}
	}

	/** Takes over a hold from another gateway, unless a call with the part has been survived since. */
	private mergeHold(hold: Hold): void {
		const known = this.holdsByPart.get(hold.part);
		const survivalMs = this.evidence.lastSurvivalMs(hold.part);
		if (survivalMs !== undefined && survivalMs > hold.lastCrashMs) {
			this.options.tell({survivals: [{part: hold.part, atMs: survivalMs}]});
		} else if (!known || hold.trials > known.trials || hold.lastCrashMs > known.lastCrashMs + clockToleranceMs || hold.rivals.length < known.rivals.length) {
			this.updateHold({
				part: hold.part,
				rivals: known ? known.rivals.filter(part => hold.rivals.includes(part)) : hold.rivals,
				lastCrashMs: Math.max(hold.lastCrashMs, known?.lastCrashMs ?? hold.lastCrashMs),
				trials: Math.max(hold.trials, known?.trials ?? 0),
				nextTrialMs: Math.max(hold.nextTrialMs, known?.nextTrialMs ?? hold.nextTrialMs),
			}, 'peer');
		}
	}

	/** Takes further crashes of held parts into account. */
	private extendHolds(crash: Crash): void {
		const parts = new Set(crash.calls.flat());
		for (const hold of this.holds.filter(({part}) => parts.has(part))) {
			const companions = new Set(findCompanions(hold.part, crash.calls));
			const rivals = hold.rivals.filter(part => companions.has(part));
			if (crash.atMs > hold.lastCrashMs || rivals.length < hold.rivals.length) {
				const lastCrashMs = Math.max(hold.lastCrashMs, crash.atMs);
				this.updateHold({
					...hold, rivals, lastCrashMs, nextTrialMs: Math.max(hold.nextTrialMs, lastCrashMs + trialDelayMs(hold.trials)),
				}, 'crashes');
			}
		}
	}

	private updateHold(hold: Hold, reason: 'crashes' | 'trial' | 'peer'): void {
		const isNew = !this.holdsByPart.has(hold.part);
		this.holdsByPart.set(hold.part, hold);
		if (this.holdsByPart.size > maxHolds) {
			const [oldest] = this.holds.toSorted((a, b) => a.lastCrashMs - b.lastCrashMs);
			this.holdsByPart.delete(oldest!.part);
		}

		const nowMs = performance.now();
		this.options.log.warn({
			event: 'prompt_part_held',
			part: hold.part,
			rivals: hold.rivals,
			reason,
			trials: hold.trials,
			crashes: this.evidence.crashTimes(hold.part).length,
			lastCrashAgeMs: Math.round(nowMs - hold.lastCrashMs),
			nextTrialInMs: Math.round(hold.nextTrialMs - nowMs),
		}, 'refusing calls with a prompt part that crashes upstreams');
		this.options.tell({holds: [hold]});
		if (isNew) {
			for (const listener of this.holdListeners) {
				listener();
			}
		}
	}

	private releaseSurvivors(): void {
		for (const {part, lastCrashMs} of this.holds) {
			const atMs = this.evidence.lastSurvivalMs(part);
			if (atMs !== undefined && atMs > lastCrashMs) {
				this.holdsByPart.delete(part);
				this.options.log.warn({event: 'prompt_part_released', part, survivalAgeMs: Math.round(performance.now() - atMs)}, 'an upstream survived a call with a held prompt part');
				this.recordShared(part, atMs);
				this.options.tell({survivals: [{part, atMs}]});
				// The crashes that the part explained are held against the others now.
				this.scheduleJudgement();
			}
		}
	}

	private findHold(parts: readonly PromptPartId[]): Hold | undefined {
		if (this.holdsByPart.size === 0) {
			return undefined;
		}

		const fromMs = performance.now() - holdTtlMs;
		return parts.map(part => this.holdsByPart.get(part)).find(hold =>
			hold !== undefined && hold.lastCrashMs >= fromMs && (hold.rivals.length === 0 || hold.rivals.some(rival => parts.includes(rival))));
	}
}

function trialDelayMs(trials: number): number {
	return Math.min(firstTrialMs * (trialBackoff.factor ** trials), trialBackoff.limitMs);
}
