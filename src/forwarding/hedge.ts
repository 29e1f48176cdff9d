/** Sends a call to a second instance while the first one is silent. The call leaves neither before one of them answers. */
import type {RouteKind} from '../directory/directory-types.ts';
import type {SelectedInstance} from '../placement/instance-query.ts';
import type {ForwardedCallOptions} from './forwarded-call-options.ts';
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

/** The call, and the functions that it supplies. */
export type HedgeOptions = Pick<ForwardedCallOptions, 'call' | 'boundary' | 'tracker' | 'crashes' | 'retryBudget' | 'log' | 'onSilence'> & {
	readonly progress: AnswerProgress;
	/** Returns whether the call may run once more. */
	readonly mayRepeat: () => boolean;
	readonly selectInstance: () => ReturnType<ForwardedCallOptions['selectInstance']>;
	/** Returns whether an attempt is under way. */
	readonly isUnderWay: (attempt: UpstreamAttempt) => boolean;
	readonly startAttempt: (selection: SelectedInstance) => void;
};

/** Looks for further instances for one call. */
export class Hedge {
	private isLooking = false;
	/** What was reported last of the silence of each attempt. */
	private readonly lastResults = new WeakMap<UpstreamAttempt, string>();

	/** @param options - the call and its functions */
	constructor(private readonly options: HedgeOptions) {}

	/**
	 * Sends the call to another instance, too, if that is allowed and one has a place.
	 *
	 * @param silent - the attempt whose instance has sent nothing for too long
	 * @param isFirstReport - whether this silence was not reported before
	 */
	handleSilence(silent: UpstreamAttempt, isFirstReport: boolean): void {
		const {tracker, crashes, call, boundary, retryBudget, mayRepeat} = this.options;
		if (isFirstReport) {
			this.lastResults.delete(silent);
		}

		if (!mayRepeat()) {
			this.report(silent, 'may_not_run_again');
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
			this.report(silent, 'no_retry_left');
			return;
		}

		this.isLooking = true;
		void boundary.runAsync('select', async () => {
			try {
				const {result, selected} = await this.trySecond(silent);
				this.report(silent, result, selected);
			} finally {
				this.isLooking = false;
			}
		});
	}

	/** Returns what came of it, for the log, and the ID of the second instance. */
	private async trySecond(silent: UpstreamAttempt): Promise<{result: string; selected?: string}> {
		const {progress, mayRepeat, selectInstance, isUnderWay, retryBudget, startAttempt} = this.options;
		const {version} = progress;
		const selection = await selectInstance();
		if (!isUnderWay(silent) || !silent.isSilent || progress.version !== version || !mayRepeat()) {
			return {result: 'not_wanted_any_more'};
		}

		if (!('instance' in selection)) {
			return {result: selection.reason};
		}

		if (!retryBudget.tryTake()) {
			return {result: 'no_retry_left'};
		}

		startAttempt(selection);
		return {result: 'sent', selected: selection.instance.id};
	}

	/** Reports what was done about a silence, unless that is the same as before. */
	private report(silent: UpstreamAttempt, result: string, selected?: string): void {
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
}
