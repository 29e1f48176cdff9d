/**
 * Signals that arrive before the part of the process is ready that handles them.
 *
 * Without a listener, most signals end a process. {@link holdSignals} is called before anything else is loaded; what arrives from then on
 * is kept until a handler is there.
 */
import process from 'node:process';

/** The signals that a role handles. */
export type HandledSignal = 'SIGHUP' | 'SIGTERM' | 'SIGINT';

const handledSignals: readonly HandledSignal[] = ['SIGHUP', 'SIGTERM', 'SIGINT'];

type HeldSignal = {hasArrived: boolean; handler: (() => void) | undefined};

const held = new Map<HandledSignal, HeldSignal>();

/** Keeps the signals of a role from ending the process. */
export function holdSignals(): void {
	for (const signal of handledSignals) {
		holdSignal(signal);
	}
}

/**
 * Sets the handler of a signal. It is called at once if the signal has arrived before and no handler was there.
 *
 * @returns removes the handler; the signal is ignored from then on
 */
export function onSignal(signal: HandledSignal, handler: () => void): () => void {
	const state = holdSignal(signal);
	state.handler = handler;
	if (state.hasArrived) {
		state.hasArrived = false;
		handler();
	}

	return () => {
		if (state.handler === handler) {
			state.handler = () => undefined;
		}
	};
}

function holdSignal(signal: HandledSignal): HeldSignal {
	const known = held.get(signal);
	if (known) {
		return known;
	}

	const state: HeldSignal = {hasArrived: false, handler: undefined};
	held.set(signal, state);
	process.on(signal, () => {
		if (state.handler) {
			state.handler();
		} else {
			state.hasArrived = true;
		}
	});
	return state;
}
