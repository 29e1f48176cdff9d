/** Runs state charts from JSON files with XState. Actions and guards are functions in lookup tables by name. */
import {
	type AnyActor, type AnyStateMachine, createActor, createMachine, transition,
} from 'xstate';

/** The functions that run the actions of a chart, by action name. */
export type ChartActions = Readonly<Record<string, () => void>>;

/** The functions that evaluate the guards of a chart, by guard name. */
export type ChartGuards = Readonly<Record<string, () => boolean>>;

/** A running instance of a state chart. */
export class StateChart<State extends string, Event extends string> {
	private readonly actor: AnyActor;

	/**
	 * @param chart - the parsed content of a file in `charts/`
	 * @throws Error if the chart uses an action or guard that the tables do not contain
	 */
	constructor(chart: object, actions: ChartActions = {}, guards: ChartGuards = {}) {
		const machine: AnyStateMachine = createMachine(chart as Parameters<typeof createMachine>[0]).provide({actions, guards});
		assertHandlersExist(chart, {...actions, ...guards});
		this.actor = createActor(machine);
		this.actor.start();
	}

	/** The current state. */
	get state(): State {
		const snapshot = this.actor.getSnapshot() as {value: State};
		return snapshot.value;
	}

	/**
	 * Sends an event. An event that the current state does not handle is ignored.
	 *
	 * @param event - the name of the event
	 */
	send(event: Event): void {
		this.actor.send({type: event});
	}
}

/** The transitions of a chart without actions and guards, shared by all objects that keep only the name of their state. */
export class ChartTransitions<State extends string, Event extends string> {
	private readonly machine: AnyStateMachine;
	private readonly nextStates = new Map<string, State>();

	/** @param chart - the parsed content of a file in `charts/` */
	constructor(chart: object) {
		this.machine = createMachine(chart as Parameters<typeof createMachine>[0]);
		assertHandlersExist(chart, {});
	}

	/**
	 * Returns the state that follows an event; the same state if it does not handle the event.
	 *
	 * @param state - the state before the event
	 * @param event - the name of the event
	 */
	next(state: State, event: Event): State {
		const key = `${state} ${event}`;
		let next = this.nextStates.get(key);
		if (next === undefined) {
			const [snapshot] = transition(this.machine, this.machine.resolveState({value: state, context: undefined}), {type: event});
			next = (snapshot as {value: State}).value;
			this.nextStates.set(key, next);
		}

		return next;
	}
}

/** Throws if an action or guard has no handler. XState ignores an action without a handler, which would hide a misspelt name. */
function assertHandlersExist(chart: object, handlers: Readonly<Record<string, unknown>>): void {
	const text = JSON.stringify(chart);
	for (const match of text.matchAll(/"(?:actions|entry|exit|guard)":(?:"([^"]+)"|\[([^\]]*)])/g)) {
		const names = match[1] === undefined ? (JSON.parse(`[${match[2]}]`) as string[]) : [match[1]];
		for (const name of names) {
			if (!(name in handlers)) {
				throw new Error(`state chart uses ${JSON.stringify(name)}, which has no handler`);
			}
		}
	}
}
