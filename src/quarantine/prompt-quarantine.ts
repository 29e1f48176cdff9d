/**
 * Refuses calls with prompt parts that crash upstreams.
 *
 * All gateways exchange the crashes that they see, and each decides for itself. A part is held until a call with it leaves its upstream
 * alive: one that was under way when the part was held, or a trial. Only one gateway at a time tries, with one call.
 */
import type {Instance} from '../directory/directory-types.ts';
import type {PromptPartId} from '../ids/prompt-part-id.ts';
import type {Logger} from '../runtime/logger.ts';
import {type ListeningClock, monotonicClock} from '../runtime/pause-detector.ts';
import {listBrokenCall} from './broken-call.ts';
import type {Crash} from './crash-detector.ts';
import {CrashEvidence, survivalDelayMs} from './crash-evidence.ts';
import {countCrashesAfter, findCrashingParts, minCrashesToBlame} from './find-crashing-parts.ts';
import {
	type Admission, appliesTo, clockToleranceMs, createHold, decideAdmission, type Hold, isInForce, withCrash, withPeerHold, withTrial,
} from './hold.ts';
import {RecentTimes} from './recent-times.ts';

/** Number of parts that are held at the same time; a further one replaces the one whose last crash is the oldest. */
const maxHolds = 64;

/** How long reports of crashes are gathered before a part is blamed, in milliseconds: those of one crash come from several gateways. */
const judgeDelayMs = 30;

/** Number of crashes of a part since its last survival known to others, from which other gateways are told of a later one. */
const crashesToReportSurvival = 2;

/** Number of parts whose survival is known to other gateways. */
const maxSharedSurvivals = 8192;

/** A survival of a part. */
export type Survival = {readonly part: PromptPartId; readonly atMs: number};

/** What one gateway tells others. */
export type CrashNews = {readonly crashes: readonly Crash[]; readonly survivals: readonly Survival[]; readonly holds: readonly Hold[]};

/** Dependencies of a {@link PromptQuarantine}. */
export type PromptQuarantineOptions = {
	readonly log: Logger;
	/** Returns whether this gateway is the one to take a turn; all gateways must agree as far as they know the same ones. */
	readonly hasTurn: (turn: string) => boolean;
	/** Tells other gateways. */
	readonly tell: (news: Partial<CrashNews>) => void;
	/** Tells for how long this process could hear of crashes; without it, pauses count as such time. */
	readonly clock?: ListeningClock;
};

/** Holds prompt parts. */
export class PromptQuarantine {
	private readonly clock: ListeningClock;
	private readonly evidence: CrashEvidence;
	private readonly holdsByPart = new Map<PromptPartId, Hold>();
	/** The latest survivals that other gateways know of. */
	private readonly sharedSurvivals = new RecentTimes<PromptPartId>(maxSharedSurvivals);
	private readonly holdListeners: Array<() => void> = [];
	private judgeTimer: NodeJS.Timeout | undefined;

	/** @param options - dependencies */
	constructor(private readonly options: PromptQuarantineOptions) {
		this.clock = options.clock ?? monotonicClock;
		this.evidence = new CrashEvidence(this.clock);
	}

	/**
	 * Adds a listener.
	 *
	 * @param listener - called after a further part was held
	 */
	onHeld(listener: () => void): void {
		this.holdListeners.push(listener);
	}

	/** The parts that are held now. */
	get holds(): readonly Hold[] {
		const nowMs = performance.now();
		return [...this.holdsByPart.values()].filter(hold => isInForce(hold, nowMs));
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
		const admission = decideAdmission(hold, nowMs, this.options.hasTurn);
		if (admission.kind === 'trial') {
			this.updateHold(withTrial(hold, nowMs), 'trial');
		}

		return admission;
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
			this.releaseSurvivorsAt(this.clock.listeningMs + survivalDelayMs + 1);
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
			return calls ? [{...crash, calls: calls.flatMap(call => listBrokenCall(call))}] : [];
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
		evidence.settle();
		const survivals: Survival[] = [];
		for (const part of parts) {
			const atMs = evidence.lastSurvivalMs(part);
			const sharedMs = this.sharedSurvivals.get(part) ?? Number.NEGATIVE_INFINITY;
			if (atMs !== undefined && atMs > sharedMs && countCrashesAfter(evidence.crashTimes(part), sharedMs) >= crashesToReportSurvival) {
				this.sharedSurvivals.record(part, atMs);
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
				this.sharedSurvivals.record(part, atMs);
				news.push(survival);
			}
		}

		if (news.length > 0) {
			this.options.tell({survivals: news});
			this.releaseSurvivors();
		}
	}

	private releaseSurvivorsAt(listeningMs: number): void {
		setTimeout(() => {
			if (this.clock.listeningMs < listeningMs) {
				this.releaseSurvivorsAt(listeningMs);
			} else {
				this.releaseSurvivors();
			}
		}, Math.ceil(listeningMs - this.clock.listeningMs)).unref();
	}

	private scheduleJudgement(): void {
		this.judgeTimer ??= setTimeout(() => {
			this.judgeTimer = undefined;
			this.judge();
		}, judgeDelayMs).unref();
	}

	private judge(): void {
		const {evidence} = this;
		const blamed = new Set(this.holds.map(({part}) => part));
		evidence.settle();
		const found = findCrashingParts({crashes: evidence.crashesOfRepeatedParts(minCrashesToBlame, blamed), lastSurvivalMs: part => evidence.lastSurvivalMs(part), blamed});
		for (const {part, rivals} of found) {
			this.updateHold(createHold(part, rivals, Math.max(...this.evidence.crashTimes(part))), 'crashes');
		}
	}

	/** Takes over a hold from another gateway, unless a call with the part has been survived since. */
	private mergeHold(hold: Hold): void {
		const known = this.holdsByPart.get(hold.part);
		this.evidence.settle();
		const survivalMs = this.evidence.lastSurvivalMs(hold.part);
		if (survivalMs !== undefined && survivalMs > hold.lastCrashMs) {
			this.options.tell({survivals: [{part: hold.part, atMs: survivalMs}]});
			return;
		}

		const merged = known ? withPeerHold(known, hold) : hold;
		if (merged !== known) {
			this.updateHold(merged, 'peer');
		}
	}

	/** Takes further crashes of held parts into account. */
	private extendHolds(crash: Crash): void {
		const parts = new Set(crash.calls.flat());
		for (const hold of this.holds.filter(({part}) => parts.has(part))) {
			const extended = withCrash(hold, crash);
			if (extended !== hold) {
				this.updateHold(extended, 'crashes');
			}
		}
	}

	private updateHold(hold: Hold, reason: 'crashes' | 'trial' | 'peer'): void {
		const isNew = !this.holdsByPart.has(hold.part);
		this.holdsByPart.set(hold.part, hold);
		if (this.holdsByPart.size > maxHolds) {
			const [oldest] = [...this.holdsByPart.values()].toSorted((a, b) => a.lastCrashMs - b.lastCrashMs);
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
		this.evidence.settle();
		for (const {part, lastCrashMs} of this.holds) {
			const atMs = this.evidence.lastSurvivalMs(part);
			if (atMs !== undefined && atMs > lastCrashMs) {
				this.holdsByPart.delete(part);
				this.options.log.warn({event: 'prompt_part_released', part, survivalAgeMs: Math.round(performance.now() - atMs)}, 'an upstream survived a call with a held prompt part');
				this.sharedSurvivals.record(part, atMs);
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

		const nowMs = performance.now();
		return parts.map(part => this.holdsByPart.get(part)).find(hold => hold && appliesTo(hold, parts, nowMs));
	}
}
