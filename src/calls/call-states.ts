/** The states of a call record. Compiles `charts/call.json` into a lookup table, since every call makes several transitions. */
import {createMachine, transition} from 'xstate';
import chart from '../../charts/call.json' with {type: 'json'};

/** A state of a call record. */
export type CallState = keyof typeof chart.states;

/** An event that changes the state of a call record. */
export type CallEvent = 'FORWARD' | 'BURY' | 'FINISH';

const events: readonly CallEvent[] = ['FORWARD', 'BURY', 'FINISH'];

const table = compile();

/**
 * Returns the state after an event.
 *
 * @returns undefined if the chart has no transition for this event in this state
 */
export function nextCallState(state: CallState, event: CallEvent): CallState | undefined {
	return table.get(`${state}/${event}`);
}

function compile(): ReadonlyMap<string, CallState> {
	const machine = createMachine(chart as Parameters<typeof createMachine>[0]);
	const result = new Map<string, CallState>();
	for (const state of Object.keys(chart.states) as CallState[]) {
		for (const type of events) {
			const [next] = transition(machine, machine.resolveState({value: state}), {type});
			if (next.value !== state) {
				result.set(`${state}/${type}`, next.value as CallState);
			}
		}
	}

	return result;
}
