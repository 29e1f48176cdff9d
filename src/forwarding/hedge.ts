/**
 * Sends a call to a second instance while the first one is silent, or later than almost all answers of its kind. The call leaves neither
 * before one of them answers.
 */
import type {RouteKind} from '../directory/directory-types.ts';
import type {SelectedInstance} from '../placement/instance-query.ts';
import type {CallAttempts} from './call-attempts.ts';
import {FirstByteWatch} from './first-byte-watch.ts';
import type {ForwardedCallOptions} from './forwarded-call-options.ts';
import type {AttemptClass} from './service-hedging.ts';
import type {UpstreamAttempt} from './upstream-attempt.ts';
import type {AnswerProgress} from './upstream-attempt-options.ts';

/** How long an upstream may send nothing before a call that may run again is sent to another one, too, in milliseconds. */
const stallTimeoutsMs = {
	plain: {first: 400, next: 400},
	/** Before the first event and between further ones. */
	stream: {first: 1300, next: 1100},
};

/** The stall timeouts of an attempt before the first byte, in addition to the predicted time, and between further bytes, in milliseconds. */
export function findStallTimeouts(kind: RouteKind): {readonly first: number; readonly next: number} {
	return kind === 'stream' ? stallTimeoutsMs.stream : stallTimeoutsMs.plain;
}

/** The result if the call has ended or been answered while an instance was looked for. */
const notWanted = 'not_wanted_any_more';

/** The call, and the functions that it supplies. */
export type HedgeOptions = Pick<ForwardedCallOptions, 'call' | 'route' | 'boundary' | 'clock' | 'writer' | 'tracker' | 'crashes' | 'retryBudget' | 'hedging' | 'log' | 'onSilence' | 'onHedge'> & {
	readonly progress: AnswerProgress;
	/** Returns whether the call may run once more. */
	readonly mayRepeat: () => boolean;
	/** @param onlyReady - whether to pass over instances that limit their calls while they start or after a quiet time */
	readonly selectInstance: (onlyReady: boolean) => ReturnType<ForwardedCallOptions['selectInstance']>;
	readonly attempts: Pick<CallAttempts, 'has' | 'isAlone'>;
	readonly startAttempt: (selection: SelectedInstance) => UpstreamAttempt;
};

/** Why another instance is looked for, and what that depends on. */
type Trigger = {
	/** Whether to pass over instances that limit their calls, because the first attempt is likely to be answered. */
	readonly onlyReady: boolean;
	/** Returns whether the reason still applies. */
	readonly applies: () => boolean;
	/** Returns what speaks against the selected instance; undefined if nothing does. */
	readonly findObstacle: (selection: SelectedInstance) => string | undefined;
	/** Takes what the second attempt costs; returns false if it is exhausted. */
	readonly tryTake: () => boolean;
	readonly onSent: (second: UpstreamAttempt) => void;
	readonly report: (result: string, selected?: string) => void;
};

/** Looks for further instances for one call. */
export class Hedge {
	private isLooking = false;
	/** What was reported last of the silence of each attempt. */
	private readonly lastResults = new WeakMap<UpstreamAttempt, string>();
	/** The second attempt of a late call, until one of its attempts answers. */
	private second: UpstreamAttempt | undefined;

	/** @param options - the call and its functions */
	constructor(private readonly options: HedgeOptions) {}

	/**
	 * Starts to watch whether the first byte of an attempt is late.
	 *
	 * @param predictedMs - the forecast of the attempt, in milliseconds; 0 if there is none
	 * @param getAttempt - returns the attempt; not called before this method has returned
	 */
	watchFirstByte(predictedMs: number, getAttempt: () => UpstreamAttempt): FirstByteWatch {
		const {hedging, call, route, clock, boundary} = this.options;
		const attemptClass = {route, promptTokens: call.headers.promptTokens, predictedMs};
		const watch: FirstByteWatch = new FirstByteWatch({
			hedging, attemptClass, clock, boundary, onLate: () => {
				this.handleLate(getAttempt(), watch, attemptClass);
			},
		});
		return watch;
	}

	/**
	 * Sends the call to another instance, too, if that is allowed and one has a place.
	 *
	 * @param silent - the attempt whose instance has sent nothing for too long
	 * @param isFirstReport - whether this silence was not reported before
	 */
	handleSilence(silent: UpstreamAttempt, isFirstReport: boolean): void {
		const {tracker, crashes, call, retryBudget, mayRepeat} = this.options;
		if (isFirstReport) {
			this.lastResults.delete(silent);
		}

		if (!mayRepeat()) {
			this.reportSilence(silent, 'may_not_run_again');
			return;
		}

		if (isFirstReport) {
			tracker.markUnreachable(silent.instance, 'silent');
			crashes.recordBroken(silent.instance, call.headers.promptParts);
		}

		if (this.isLooking) {
			return;
		}

		if (!retryBudget.hasRetry) {
			this.reportSilence(silent, 'no_retry_left');
			return;
		}

		this.look(silent, {
			onlyReady: false,
			applies: () => silent.isSilent,
			findObstacle: () => undefined,
			tryTake: () => retryBudget.tryTake(),
			onSent: () => undefined,
			report: (result, selected) => {
				this.reportSilence(silent, result, selected);
			},
		});
	}

	/** Counts which attempt of a late call answers it. */
	handleAnswering(answering: UpstreamAttempt): void {
		if (this.second && this.options.attempts.has(this.second)) {
			this.options.onHedge?.(answering === this.second ? 'won' : 'cancelled');
		}

		this.second = undefined;
	}

	/** Sends a call whose first byte is late to another instance, too, if it is likely to be answered earlier there. */
	private handleLate(late: UpstreamAttempt, watch: FirstByteWatch, attemptClass: AttemptClass): void {
		const {hedging, call, mayRepeat, attempts, writer} = this.options;
		const applies = () => watch.isLate && attempts.isAlone && !writer.hasStarted;
		if (this.isLooking || !applies() || !mayRepeat()) {
			return;
		}

		const report = (result: string, selected?: string) => {
			this.reportLate(late, watch, result, selected);
		};

		const findObstacle = () => hedging.findObstacle(call.headers.model, performance.now());
		const obstacle = findObstacle();
		if (obstacle) {
			report(obstacle);
			return;
		}

		this.look(late, {
			onlyReady: true,
			applies,
			// Other calls may have been sent a second time during the selection.
			findObstacle: ({instance, predictedMs, hasFreeSlot}) => findObstacle()
				?? hedging.findSelectionObstacle(attemptClass, watch.waitedMs, {startedAtMs: instance.startedAtMs, predictedMs, hasFreeSlot}, performance.now()),
			tryTake: () => hedging.tryTake(performance.now()),
			onSent: second => {
				this.second = second;
			},
			report,
		});
	}

	private look(first: UpstreamAttempt, trigger: Trigger): void {
		this.isLooking = true;
		void this.options.boundary.runAsync('select', async () => {
			try {
				const {result, selected} = await this.trySecond(first, trigger);
				trigger.report(result, selected);
			} finally {
				this.isLooking = false;
			}
		});
	}

	/** Returns what came of it, for the log, and the ID of the second instance. */
	private async trySecond(first: UpstreamAttempt, trigger: Trigger): Promise<{result: string; selected?: string}> {
		const {progress, mayRepeat, selectInstance, attempts, startAttempt} = this.options;
		const {version} = progress;
		const selection = await selectInstance(trigger.onlyReady);
		const isWanted = attempts.has(first) && trigger.applies() && progress.version === version && mayRepeat();
		if (!('instance' in selection)) {
			return {result: isWanted ? selection.reason : notWanted};
		}

		const obstacle = isWanted ? trigger.findObstacle(selection) : notWanted;
		if (obstacle !== undefined || !trigger.tryTake()) {
			selection.release();
			return {result: obstacle ?? 'no_retry_left'};
		}

		trigger.onSent(startAttempt(selection));
		return {result: 'sent', selected: selection.instance.id};
	}

	/** Reports what was done about a silence, unless that is the same as before. */
	private reportSilence(silent: UpstreamAttempt, result: string, selected?: string): void {
		const {log, call, onSilence} = this.options;
		if (this.lastResults.get(silent) === result) {
			return;
		}

		this.lastResults.set(silent, result);
		onSilence?.(result);
		log.info({
			event: 'send_silent', id: call.headers.attemptId, instance: silent.instance.id, result, selected, ...silent.timing,
		}, 'an instance has sent nothing for too long');
	}

	/** Reports what was done about a late first byte. */
	private reportLate(late: UpstreamAttempt, watch: FirstByteWatch, result: string, selected?: string): void {
		const {log, call, onHedge} = this.options;
		onHedge?.(result);
		log.info({
			event: 'send_late', id: call.headers.attemptId, instance: late.instance.id, result, selected, lateAfterMs: Math.round(watch.lateAfterMs), ...late.timing,
		}, 'the first byte of an answer takes longer than almost all others');
	}
}
