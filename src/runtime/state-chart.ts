/** Interprets a state chart from a JSON file; guards and actions are lookup tables by name. */
import {
	type AnyActor, type AnyStateMachine, createActor, createMachine,
} from 'xstate';

/** Actions by the name that the chart uses. */
export type ChartActions = Readonly<Record<string, () => void>>;

/** Guards by the name that the chart uses. */
export type ChartGuards = Readonly<Record<string, () => boolean>>;

/** Runs one instance of a chart. */
export class StateChart<State extends string, Event extends string> {
	private readonly actor: AnyActor;

	/**
	 * @param chart - the content of a file in `charts/`
	 * @param actions - handlers of the chart's actions
	 * @param guards - handlers of the chart's guards
	 * @throws Error when the chart names an action or guard that the tables lack
	 */
	constructor(chart: object, actions: ChartActions = {}, guards: ChartGuards = {}) {
		const machine: AnyStateMachine = createMachine(chart as Parameters<typeof createMachine>[0]).provide({actions, guards});
		requireHandlers(chart, {...actions, ...guards});
		this.actor = createActor(machine);
		this.actor.start();
	}

	/** The present state. */
	get state(): State {
		const snapshot = this.actor.getSnapshot() as {value: State};
		return snapshot.value;
	}

	/**
	 * Sends an event; an event that the present state does not handle changes nothing.
	 *
	 * @param event - the event's name
	 */
	send(event: Event): void {
		this.actor.send({type: event});
	}
}

/** xstate ignores an action without a handler, which would hide a misspelt name. */
function requireHandlers(chart: object, handlers: Readonly<Record<string, unknown>>): void {
	const text = JSON.stringify(chart);
	for (const match of text.matchAll(/"(?:actions|entry|exit|guard)":(?:"([^"]+)"|\[([^\]]*)])/g)) {
		const names = match[1] === undefined ? (JSON.parse(`[${match[2]}]`) as string[]) : [match[1]];
		for (const name of names) {
			if (!(name in handlers)) {
				throw new Error(`state chart names ${JSON.stringify(name)}, which has no handler`);
			}
		}
	}
}
