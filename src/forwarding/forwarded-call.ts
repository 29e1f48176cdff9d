/** Forwards one call: sends it to an upstream, retries it where that is safe, and gives the caller at most one response. */
import type {SelectedInstance} from '../placement/instance-query.ts';
import {createInstructions} from './attempt-instructions.ts';
import {CallAttempts} from './call-attempts.ts';
import {CallLog} from './call-log.ts';
import {CallTimeout} from './call-timeout.ts';
import {type AttemptOutcome, decideNextStep, maxRefusals} from './decide-next-step.ts';
import {findStallTimeouts, Hedge} from './hedge.ts';
import {describeOutcome, endOnTimeout, endSteps} from './end-steps.ts';
import {callPriority, type ForwardedCallOptions} from './forwarded-call-options.ts';
import {PromptCheck} from './prompt-check.ts';
import {UpstreamAttempt} from './upstream-attempt.ts';
import type {AnswerProgress, BufferedResponse} from './upstream-attempt-options.ts';

/** Minimum time left for another attempt, in milliseconds. */
const minAttemptMs = 20;

/** When callers may return whose call was ended before any upstream got it, in milliseconds. */
const endedRetryAfterMs = 300;

/** Runs the attempts of one call until one is served or no further attempt is allowed. */
export class ForwardedCall {
	/** Attempts that may have run the call. */
	possibleRuns = 0;
	/** The last error response that an upstream gave. */
	upstreamError: BufferedResponse | undefined;
	private readonly attempts = new CallAttempts(attempt => {
		this.handleReplaced(attempt);
	});

	private readonly hedge: Hedge;
	private readonly log: CallLog;
	private readonly progress: AnswerProgress = {lastEventId: undefined, version: undefined};
	private readonly tried = new Set<string>();
	/** Version of the model that the instance of the last attempt held, for the log. */
	private version: number | undefined;
	/** Attempts that certainly did not run the call. */
	private refusals = 0;
	private isFinished = false;
	private readonly promptCheck: PromptCheck;
	private readonly timeout: CallTimeout;
	/** The earlier of the caller's deadline and the timeout of the route. */
	private readonly expiresAtMs: number;

	/** @param options - the call and its dependencies */
	constructor(readonly options: ForwardedCallOptions) {
		const {call, route, boundary} = options;
		boundary.endCall = () => {
			this.endAtOnce('faulted', 'an internal error');
		};

		this.promptCheck = new PromptCheck(options);
		this.log = new CallLog(options);
		this.hedge = new Hedge({
			...options,
			progress: this.progress,
			mayRepeat: () => this.canRetryElsewhere() && !this.promptCheck.isHeld,
			selectInstance: async onlyReady => this.selectInstance(onlyReady),
			attempts: this.attempts,
			startAttempt: selection => this.startAttempt(selection),
		});
		this.expiresAtMs = call.receivedAtMs + Math.min(route.timeoutMs, call.headers.deadlineMs ?? route.timeoutMs);
		this.timeout = new CallTimeout({
			expiresAtMs: this.expiresAtMs, boundary, hasStarted: () => options.writer.hasStarted, onTimeout: () => {
				endOnTimeout(this);
			},
		});
	}

	/** Starts the timeout and the first attempt. */
	start(): void {
		this.timeout.start();
		this.startNextAttempt();
	}

	/** Ends the call and aborts the attempt because the caller disconnected. */
	handleDisconnect(): void {
		this.finish('left', {}, () => undefined);
	}

	/** Applies a change of the directory to the attempts. */
	recheckAttempts(): void {
		this.options.boundary.run('signal', () => {
			this.attempts.recheck();
		});
	}

	/** Ends the call if its prompt part was held after it was sent and no upstream has begun to answer it. */
	handleHold(): void {
		this.options.boundary.run('signal', () => {
			this.endIfHeld();
		});
	}

	/**
	 * Refuses the call with 503. Only allowed if no upstream can have run it.
	 *
	 * @param reason - the reason for the log
	 * @param retryAfterMs - when the caller may retry, in milliseconds
	 */
	refuse(reason: string, retryAfterMs: number): void {
		const {writer, codec} = this.options;
		this.finish('refused', {reason, retryAfterMs: Math.round(retryAfterMs)}, () => {
			writer.sendError(503, 'not run; return later', codec.writeRefusalHeaders(retryAfterMs));
		});
	}

	/**
	 * Ends the call, logs its outcome and reports it; does nothing if the call has ended before.
	 *
	 * @param outcome - the outcome for the log and the metrics
	 * @param fields - further log fields
	 * @param respond - completes or aborts the response to the caller
	 */
	finish(outcome: string, fields: Record<string, unknown>, respond: () => void): void {
		if (this.isFinished) {
			return;
		}

		this.isFinished = true;
		this.timeout.stop();
		const timing = this.attempts.current?.timing;
		this.attempts.abortAll();
		try {
			respond();
		} finally {
			const ms = performance.now() - this.options.call.receivedAtMs;
			this.log.recordEnd(outcome, ms, {
				tried: [...this.tried], version: this.version, ...timing, lastEventId: this.progress.lastEventId, ...fields,
			});
			this.options.onEnd(outcome, ms, typeof fields.reason === 'string' ? fields.reason : undefined);
		}
	}

	/** Ends the call because the process is about to end. */
	endForShutdown(): void {
		this.options.boundary.run('signal', () => {
			this.endAtOnce('shut_down', 'the gateway shuts down');
		});
	}

	/**
	 * Ends the call at once, whatever it waits for. The answer tells whether an upstream may have run it.
	 *
	 * @param outcome - the outcome for the log and the metrics
	 * @param cause - the cause for the caller
	 */
	endAtOnce(outcome: string, cause: string): void {
		const {writer, codec} = this.options;
		const mayHaveRun = this.possibleRuns > this.attempts.unsentCount;
		const respond = () => {
			this.attempts.abortAll();
			if (writer.hasStarted) {
				writer.abort();
			} else if (mayHaveRun) {
				writer.sendError(502, `${cause}; the call may have run`);
			} else {
				writer.sendError(503, `${cause}; not run`, codec.writeRefusalHeaders(endedRetryAfterMs));
			}
		};

		if (this.isFinished) {
			// An exception came after the outcome was recorded, so that only the response is missing.
			respond();
		} else {
			this.finish(outcome, {runs: this.possibleRuns}, respond);
		}
	}

	private endIfHeld(): void {
		const {heldForMs} = this.promptCheck;
		if (heldForMs !== undefined && this.attempts.current && !this.options.writer.hasStarted) {
			this.endWithoutInstance('prompt_part_held', heldForMs);
		}
	}

	private startNextAttempt(): void {
		void this.options.boundary.runAsync('select', async () => this.tryNextInstance());
	}

	private async tryNextInstance(): Promise<void> {
		if (!this.admit()) {
			return;
		}

		const selection = await this.selectInstance();
		if (!('instance' in selection)) {
			if (!this.isFinished) {
				this.endWithoutInstance(selection.reason, selection.retryAfterMs);
			}
		} else if (!this.isFinished && (this.promptCheck.isTrial || this.admit())) {
			// A part may have been held while the selection waited.
			this.startAttempt(selection);
		} else {
			selection.release();
		}
	}

	private async selectInstance(onlyReady = false): ReturnType<ForwardedCallOptions['selectInstance']> {
		const {call, route, service, permittedRegions, aimLeftMs, writer, selectInstance, bodiesInFlight} = this.options;
		const nowMs = performance.now();
		return selectInstance({
			route,
			service,
			permittedRegions,
			headers: call.headers,
			priority: callPriority(this.options, this.progress.lastEventId),
			aimLeftMs: aimLeftMs - (nowMs - call.receivedAtMs),
			deadlineLeftMs: this.expiresAtMs - nowMs,
			tried: new Set(this.tried),
			full: new Set(bodiesInFlight.findFull(call.body.length)),
			onlyReady,
			isResponseStarted: writer.hasStarted,
			requiredVersion: this.progress.version,
		});
	}

	/** Records that another attempt answers in place of this one. */
	private handleReplaced(attempt: UpstreamAttempt): void {
		if (attempt.isSilent) {
			this.options.tracker.recordOutcome(attempt.instance.id, false);
		}

		this.log.recordAttemptEnd(attempt, {
			outcome: 'replaced', reason: attempt.isSilent ? 'silent' : 'answered_elsewhere', step: 'wait', runs: this.possibleRuns, version: this.version,
		});
	}

	/** Returns whether the call may be sent now, and ends it if one of its prompt parts is held. */
	private admit(): boolean {
		const admission = this.promptCheck.admit();
		if (admission.kind === 'refuse') {
			this.endWithoutInstance('prompt_part_held', admission.retryAfterMs);
		}

		return admission.kind !== 'refuse';
	}

	/** Ends the call when no instance can take it; the earlier attempts decide whether it may have run. */
	private endWithoutInstance(reason: string, retryAfterMs: number): void {
		if (this.options.writer.hasStarted) {
			endSteps.cut(this, {kind: 'failed', reason});
		} else if (this.possibleRuns > 0) {
			endSteps.fail(this, {kind: 'failed', reason});
		} else {
			this.refuse(reason, retryAfterMs);
		}
	}

	private startAttempt(selection: SelectedInstance): UpstreamAttempt {
		const {instance, predictedMs, version} = selection;
		const {call, boundary, route, writer, codec, tracker, buffers, bodiesInFlight, clock} = this.options;
		this.tried.add(instance.id);
		this.version = version;
		this.possibleRuns++;
		const attempt: UpstreamAttempt = new UpstreamAttempt({
			...selection,
			call,
			boundary,
			isStream: route.kind === 'stream',
			hasTimeLeft: () => performance.now() < this.expiresAtMs,
			instructions: createInstructions(this.options, {
				instance: instance.id, version, expiresAtMs: this.expiresAtMs, lastEventId: this.progress.lastEventId,
			}),
			progress: this.progress,
			writer,
			codec,
			tracker,
			buffers,
			bodiesInFlight,
			clock,
			firstByte: this.hedge.watchFirstByte(predictedMs, () => attempt),
			stallTimeoutsMs: findStallTimeouts(route.kind),
			onSilent: isFirstReport => {
				this.hedge.handleSilence(attempt, isFirstReport);
			},
			isAlone: () => this.attempts.isAlone,
			onAnswering: () => {
				this.hedge.handleAnswering(attempt);
				this.attempts.keepOnly(attempt);
			},
			onBroken: () => {
				this.options.crashes.recordBroken(instance, call.headers.promptParts);
			},
			onSurvived: () => {
				this.options.quarantine.recordSurvival(instance, call.headers.promptParts);
			},
			onServed: () => {
				this.attempts.remove(attempt);
				this.finish('served', {instance: instance.id}, () => undefined);
			},
			onOutcome: outcome => {
				this.handleAttemptOutcome(attempt, outcome);
			},
		});
		this.attempts.add(attempt);
		attempt.start();
		return attempt;
	}

	/** Whether the call may be sent to another instance although the current one may still respond. */
	private canRetryElsewhere(): boolean {
		const {route} = this.options;
		const isRetryable = route.kind === 'idempotent' || (route.kind === 'stream' && route.isResumable);
		return isRetryable && this.possibleRuns < route.attempts && this.refusals < maxRefusals && this.hasTimeForAttempt();
	}

	private hasTimeForAttempt(): boolean {
		return this.expiresAtMs - performance.now() > minAttemptMs;
	}

	private handleAttemptOutcome(attempt: UpstreamAttempt, outcome: AttemptOutcome): void {
		this.attempts.remove(attempt);
		if (this.isFinished) {
			return;
		}

		const {route, writer, retryBudget, hedging} = this.options;
		if (outcome.kind === 'not-run') {
			this.possibleRuns--;
			this.refusals++;
			hedging.recordRefusal(performance.now());
		}

		this.upstreamError = attempt.buffered ?? this.upstreamError;
		const step = decideNextStep({
			outcome,
			kind: route.kind,
			isResumable: route.isResumable,
			isResponseStarted: writer.hasStarted,
			possibleRuns: this.possibleRuns,
			maxAttempts: route.attempts,
			refusals: this.refusals,
			hasTime: this.hasTimeForAttempt(),
			hasOtherAttempt: this.attempts.areUnderWay,
			hasAnswered: attempt.hasAnswered,
			tryTakeRetry: () => retryBudget.tryTake(),
		});
		this.log.recordAttemptEnd(attempt, {
			outcome: outcome.kind, reason: describeOutcome(outcome), step, runs: this.possibleRuns, version: this.version,
		});
		if (step === 'repeat') {
			this.startNextAttempt();
		} else if (step !== 'wait') {
			endSteps[step](this, outcome);
		}
	}
}
