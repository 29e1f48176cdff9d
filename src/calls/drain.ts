/** Graceful shutdown of a process: runs the state chart `charts/drain.json`, so that calls in progress can finish. */
import {createActor, createMachine, waitFor} from 'xstate';
import chart from '../../charts/drain.json' with {type: 'json'};
import type {Logger} from '../runtime/logger.ts';

/** Interval between checks for calls that are still open, in milliseconds. */
const openCallsCheckIntervalMs = 20;

/** Settings of a drain, and the functions that it calls on the process. */
export type DrainOptions = {
	readonly log: Logger;
	/** How long new calls are still accepted, so that a load balancer can notice the drain, in milliseconds; 0 refuses them at once. */
	readonly noticeMs: number;
	readonly openCalls: () => number;
	/** Makes the process answer new calls with a refusal. */
	readonly refuseNewCalls: () => void;
	/** Stops accepting connections and waits until every open request is answered. */
	readonly closeListeners: () => Promise<void>;
	/** Stops the other parts of the process. */
	readonly stopParts: () => Promise<void>;
};

/** Runs the graceful shutdown of one process. */
export class Drain {
	private partsStopped: Promise<void> = Promise.resolve();
	private readonly actor;

	constructor(private readonly options: DrainOptions) {
		const {noticeMs, openCalls, refuseNewCalls, closeListeners, stopParts} = options;
		const machine = createMachine(chart as Parameters<typeof createMachine>[0]).provide({
			guards: {
				needsNotice: () => noticeMs > 0,
				isIdle: () => openCalls() === 0,
			},
			actions: {
				startNotice: () => {
					setTimeout(() => {
						this.actor.send({type: 'NOTICE_OVER'});
					}, noticeMs);
				},
				refuseNewCalls,
				watchCalls: () => {
					const timer = setInterval(() => {
						this.actor.send({type: 'CHECK'});
						if (!this.actor.getSnapshot().matches('refusing')) {
							clearInterval(timer);
						}
					}, openCallsCheckIntervalMs);
				},
				closeListeners: async () => {
					await closeListeners();
					this.actor.send({type: 'CLOSED'});
				},
				stopParts: () => {
					this.partsStopped = stopParts();
				},
			},
		});
		this.actor = createActor(machine);
		this.actor.start();
	}

	/** Whether the shutdown has started. */
	get isDraining(): boolean {
		return !this.actor.getSnapshot().matches('serving');
	}

	/** Starts the shutdown and waits until it is complete. */
	async run(): Promise<void> {
		const {log, openCalls} = this.options;
		log.info({event: 'drain_started', open: openCalls()}, 'drain started');
		this.actor.send({type: 'STOP'});
		await waitFor(this.actor, snapshot => snapshot.status === 'done');
		await this.partsStopped;
		log.info({event: 'drain_finished'}, 'drain finished');
	}
}
