/** Counts this gateway's calls in flight at each instance. */
import type {InFlightCounts} from './engine-forecast.ts';

/** A call that this gateway has in flight at an instance. */
export type InFlightCall = {readonly instance: string; readonly promptTokens: number; hasStarted: boolean; hasEnded: boolean};

/** Called when the counts at an instance change; `isMore` is true for a new call and false for progress on one. */
export type InFlightListener = (instance: string, isMore: boolean) => void;

const noCalls: InFlightCounts = {calls: 0, unreadTokens: 0};

/** Counts in-flight calls and their unprocessed prompt tokens by instance ID. */
export class InFlightCalls {
	private readonly counts = new Map<string, InFlightCounts>();
	private listener: InFlightListener | undefined;

	/** IDs of the instances at which this gateway has calls in flight. */
	get instances(): Iterable<string> {
		return this.counts.keys();
	}

	/**
	 * Adds a call that is about to be sent.
	 *
	 * @param instance - ID of the instance that the call is sent to
	 * @param promptTokens - number of tokens in the prompt
	 */
	add(instance: string, promptTokens: number): InFlightCall {
		this.change(instance, 1, promptTokens);
		return {
			instance, promptTokens, hasStarted: false, hasEnded: false,
		};
	}

	/**
	 * Records that the response to a call has started, which means that its prompt has been processed.
	 *
	 * @param call - the call, as returned by {@link add}
	 */
	markStarted(call: InFlightCall): void {
		if (!call.hasStarted && !call.hasEnded) {
			call.hasStarted = true;
			this.change(call.instance, 0, -call.promptTokens);
		}
	}

	/**
	 * Removes a call that has ended; does nothing if it was removed before.
	 *
	 * @param call - the call, as returned by {@link add}
	 */
	remove(call: InFlightCall): void {
		if (!call.hasEnded) {
			call.hasEnded = true;
			this.change(call.instance, -1, call.hasStarted ? 0 : -call.promptTokens);
		}
	}

	/**
	 * Sets the listener for changes of the counts.
	 *
	 * @param listener - called after each change; undefined removes the listener
	 */
	setListener(listener: InFlightListener | undefined): void {
		this.listener = listener;
	}

	/**
	 * Returns the counts at one instance.
	 *
	 * @param instance - the instance ID
	 */
	countsAt(instance: string): InFlightCounts {
		return this.counts.get(instance) ?? noCalls;
	}

	private change(instance: string, calls: number, unreadTokens: number): void {
		const before = this.countsAt(instance);
		const after = {calls: before.calls + calls, unreadTokens: before.unreadTokens + unreadTokens};
		if (after.calls === 0) {
			this.counts.delete(instance);
		} else {
			this.counts.set(instance, after);
		}

		this.listener?.(instance, calls > 0);
	}
}
