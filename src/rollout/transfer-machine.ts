/** Runs the state machine of `charts/transfer.json`; guards and actions are bound by name. */
import {createActor, createMachine} from 'xstate';
import chart from '../../charts/transfer.json' with {type: 'json'};

/** Events of one version's transfer. */
export type TransferEvent = {readonly type: 'MANIFEST_HELD' | 'CHUNK_HELD' | 'ROOM_CHECKED' | 'WOKEN' | 'SUPERSEDED'};

/** States of one version's transfer. */
export type TransferState = keyof typeof chart.states;

/** Implementations of the chart's guards, by name. */
export type TransferGuards = Readonly<Record<'fitsInMemory' | 'everyDigestHolds', () => boolean>>;

/** Implementations of the chart's actions, by name. */
export type TransferActions = Readonly<Record<'survey' | 'announce' | 'reportFinding' | 'clearFinding' | 'bringIntoService' | 'stopTransfers', () => void>>;

/** The state machine of one version's transfer. */
export class TransferMachine {
	private readonly actor;

	constructor(guards: TransferGuards, actions: TransferActions) {
		const machine = createMachine(chart as Parameters<typeof createMachine>[0]).provide({guards, actions});
		this.actor = createActor(machine);
	}

	/** The current state. */
	get state(): TransferState {
		return this.actor.getSnapshot().value as TransferState;
	}

	/** Enters the initial state. */
	start(): void {
		this.actor.start();
	}

	/** Sends an event; it is ignored once the machine is in its final state. */
	send(type: TransferEvent['type']): void {
		if (this.actor.getSnapshot().status === 'active') {
			this.actor.send({type});
		}
	}
}
