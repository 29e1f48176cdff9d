/**
 * The boundary of one call: an exception in the code of a call ends this call, and neither the process nor any other call.
 *
 * Everything that runs for a call enters through its boundary: each listener, timer and asynchronous step. Code further in needs no `try`.
 */
import VError from 'verror';
import type {Logger} from '../runtime/logger.ts';

/** What the call was doing when an exception was thrown, for the log. */
export type CallPhase = 'receive' | 'forward' | 'select' | 'send' | 'answer' | 'timer' | 'signal' | 'disconnect';

/** Maximum number of lines of a stack trace that are logged. */
const maxStackLines = 8;

/** Dependencies of a {@link CallBoundary}. */
export type CallBoundaryOptions = {
	readonly log: Logger;
	/** Called for each exception, for the metrics. */
	readonly onFault: (phase: CallPhase) => void;
	/** Closes the connection of the caller. The last resort, if the call cannot be ended in another way. */
	readonly disconnect: () => void;
};

/** Runs the code of one call. */
export class CallBoundary {
	/** ID of the caller's attempt for the log; undefined until the headers have been read. */
	attemptId: string | undefined;
	/** Ends the call with an answer that is true about whether it ran; replaced once the call is forwarded. */
	endCall: (() => void) | undefined;

	/** @param options - dependencies */
	constructor(private readonly options: CallBoundaryOptions) {}

	/** Runs a step of the call now. */
	run(phase: CallPhase, step: () => void): void {
		try {
			step();
		} catch (err) {
			this.fail(phase, err);
		}
	}

	/** Runs an asynchronous step of the call. */
	async runAsync(phase: CallPhase, step: () => Promise<void>): Promise<void> {
		try {
			await step();
		} catch (err) {
			this.fail(phase, err);
		}
	}

	/** Returns a listener that runs as a step of the call. */
	wrap<Args extends unknown[]>(phase: CallPhase, listener: (...args: Args) => void): (...args: Args) => void {
		return (...args) => {
			this.run(phase, () => {
				listener(...args);
			});
		};
	}

	private fail(phase: CallPhase, thrown: unknown): void {
		this.report(phase, thrown);
		try {
			this.endCall?.();
		} catch (err) {
			this.report(phase, err);
			this.options.disconnect();
		}
	}

	private report(phase: CallPhase, thrown: unknown): void {
		const err = thrown instanceof Error ? thrown : new VError('%j was thrown', thrown);
		this.options.onFault(phase);
		this.options.log.error({
			event: 'call_faulted', id: this.attemptId, phase, err, stack: err.stack?.split('\n').slice(1, 1 + maxStackLines).map(line => line.trim()),
		}, 'the code of a call threw an exception; the call ends');
	}
}
