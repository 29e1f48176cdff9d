/** Interprets `charts/transfer.json`; guards and actions are looked up by name. */
import {createActor, createMachine} from 'xstate';
import chart from '../../charts/transfer.json' with {type: 'json'};

/** Events of one version's transfer. */
export type TransferEvent = {readonly type: 'MANIFEST_HELD' | 'CHUNK_HELD' | 'ROOM_CHECKED' | 'WOKEN' | 'SUPERSEDED'};

/** States of one version's transfer. */
export type TransferState = keyof typeof chart.states;

/** Guards of the chart by name. */
export type TransferGuards = Readonly<Record<'fitsInMemory' | 'everyDigestHolds', () => boolean>>;

/** Actions of the chart by name. */
export type TransferActions = Readonly<Record<'survey' | 'announce' | 'reportFinding' | 'clearFinding' | 'bringIntoService' | 'stopTransfers', () => void>>;

/** One version's transfer as a state machine. */
export class TransferMachine {
	private readonly actor;

	/**
	 * @param guards - the chart's guards
	 * @param actions - the chart's actions
	 */
	constructor(guards: TransferGuards, actions: TransferActions) {
		const machine = createMachine(chart as Parameters<typeof createMachine>[0]).provide({guards, actions});
		this.actor = createActor(machine);
	}

	/** The state that the version is in. */
	get state(): TransferState {
		return this.actor.getSnapshot().value as TransferState;
	}

	/** Enters the first state. */
	start(): void {
		this.actor.start();
	}

	/**
	 * Sends an event.
	 *
	 * @param type - the event's name
	 */
	send(type: TransferEvent['type']): void {
		if (this.actor.getSnapshot().status === 'active') {
			this.actor.send({type});
		}
	}
}
