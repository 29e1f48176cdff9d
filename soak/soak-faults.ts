/** The faults of a soak by kind. Each returns when it is over and what it did has been undone. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {availableParallelism} from 'node:os';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import type {RandomSource} from '../src/runtime/random-source.ts';
import type {FaultRelay} from '../standins/fault-relay.ts';
import {removeWorker} from '../standins/store-entries.ts';
import {callUntrusted} from './soak-clients.ts';
import {type Evidence, nowMs} from './soak-evidence.ts';
import type {Fleet, Gateway, Worker} from './soak-fleet.ts';

/** Time from SIGTERM until a gateway ends its last calls, in milliseconds, with two seconds of room for a busy machine. */
const graceMs = 10_000;

/** Time that a worker goes on after it said that it leaves, in milliseconds. */
const leavingMs = 4500;

/** What faults act on, and what is under way so that two faults do not restart one process at once. */
export class FaultContext {
	private readonly busy = new Set<string>();

	constructor(readonly fleet: Fleet, readonly evidence: Evidence, readonly random: RandomSource) {}

	/** Returns a random time, in milliseconds. */
	between(fromMs: number, toMs: number): number {
		return fromMs + this.random.nextInt(toMs - fromMs);
	}

	/** Acts on one process that no other fault restarts at present, and records it as disturbed for the time. */
	async withOne<Item extends {readonly name: string}>(items: readonly Item[], act: (item: Item) => Promise<void>): Promise<void> {
		const free = items.filter(({name}) => !this.busy.has(name));
		if (free.length === 0) {
			return;
		}

		const item = free[this.random.nextInt(free.length)]!;
		this.busy.add(item.name);
		try {
			await act(item);
		} finally {
			this.busy.delete(item.name);
		}
	}

	/** Records a disturbance while a function runs. */
	async disturb(subject: string, what: string, act: () => Promise<unknown>): Promise<void> {
		const disturbance = this.evidence.disturb(subject, what);
		await act();
		disturbance.untilMs = nowMs();
	}
}

/** Interval in which entries are renewed before the store comes back from a copy, in milliseconds. */
const renewalIntervalMs = 200;

/** The most busy processes at once. */
const maxBusyProcesses = 16;

/** Injects one fault. */
export type Fault = (context: FaultContext) => Promise<void>;

/** Pauses a gateway from outside. */
async function pauseGateway(context: FaultContext, {name, process}: Gateway): Promise<void> {
	await context.disturb(name, 'pause', async () => {
		process.signal('SIGSTOP');
		await sleep(context.between(300, 3000));
		process.signal('SIGCONT');
	});
}

async function stopAndStart(context: FaultContext, gateway: Gateway, isPaused: boolean): Promise<void> {
	const {evidence, fleet} = context;
	const {name, process} = gateway;
	await context.disturb(name, 'planned stop', async () => {
		process.signal('SIGTERM');
		if (isPaused) {
			await sleep(context.between(50, 2500));
			await pauseGateway(context, gateway);
		}

		if (!await process.waitForEnd(graceMs)) {
			evidence.processFaults.push(`${name} has not ended ${graceMs} ms after SIGTERM or its pause`);
			await process.kill();
		}

		await sleep(context.between(10, 800));
		await fleet.startGateway(gateway);
	});
}

/** Kills a worker and starts it as another instance. The entry of the old one lapses before or after that. */
async function rebear(context: FaultContext, worker: Worker): Promise<void> {
	const {fleet, evidence, random} = context;
	const {instance} = worker;
	const killing = evidence.disturb(instance, 'kill');
	await worker.process.kill();
	killing.untilMs = nowMs();
	await sleep(context.between(10, 600));
	const lapsesLate = random.nextInt(2) === 0;
	if (!lapsesLate) {
		removeWorker(fleet.store, instance);
	}

	if (worker.isEngine) {
		worker.version = 1 + random.nextInt(2);
	}

	await fleet.startWorker(worker);
	if (lapsesLate) {
		await sleep(context.between(200, 1500));
		removeWorker(fleet.store, instance);
	}
}

/** Faults the relay in front of one worker, or the one in front of the store. */
async function faultRelay(context: FaultContext, what: string, act: (relay: FaultRelay) => Promise<void> | void): Promise<void> {
	const {fleet, random} = context;
	const relays = [{subject: 'store', relay: fleet.storeRelay}, ...fleet.workers.map(({instance, relay}) => ({subject: instance, relay}))];
	const {subject, relay} = relays[random.nextInt(relays.length)]!;
	if (relay) {
		await context.disturb(subject, what, async () => act(relay));
	}
}

/** Holds back what goes through a relay in the given directions, for a time. */
async function silence(context: FaultContext, directions: ReadonlyArray<'up' | 'down'>): Promise<void> {
	await faultRelay(context, 'silent', async relay => {
		relay.setSilent(directions);
		await sleep(context.between(200, 2500));
		relay.setSilent([]);
	});
}

/** The groups that a run may be limited to, with the faults of each. */
export const faults: Readonly<Record<string, Readonly<Record<string, Fault>>>> = {
	signals: {
		plannedStop: async context => context.withOne(context.fleet.gateways, async gateway => stopAndStart(context, gateway, false)),
		plannedStopWithPause: async context => context.withOne(context.fleet.gateways, async gateway => stopAndStart(context, gateway, true)),
		pause: async context => context.withOne(context.fleet.gateways, async gateway => pauseGateway(context, gateway)),
		kill: async context => context.withOne(context.fleet.gateways, async gateway => {
			await context.disturb(gateway.name, 'kill', async () => {
				await gateway.process.kill();
				await sleep(context.between(10, 800));
				await context.fleet.startGateway(gateway);
			});
		}),
		async reload(context) {
			const {gateways, ready} = context.fleet;
			// Until Node.js runs the first statement of a program, SIGHUP ends it: 0.3 to 1 s on a machine with four times its load.
			for (const gateway of gateways.filter(({name}) => ready.has(name))) {
				gateway.process.signal('SIGHUP');
				await sleep(context.between(5, 60));
			}
		},
		killStager: async context => context.withOne(context.fleet.stagers.map(process => ({name: process.options.name, process})), async ({process}) => {
			await process.kill();
			await sleep(context.between(10, 1500));
			process.start();
		}),
	},
	workers: {
		async pause(context) {
			const {fleet, random} = context;
			fleet.order(fleet.workers[random.nextInt(fleet.workers.length)]!, {kind: 'pause', ms: context.between(300, 2500)});
		},
		stop: async context => context.withOne(context.fleet.workers, async ({process}) => {
			process.signal('SIGSTOP');
			await sleep(context.between(300, 2000));
			process.signal('SIGCONT');
		}),
		crash: async context => context.withOne(context.fleet.workers, async worker => rebear(context, worker)),
		async refuse(context) {
			const {fleet, random} = context;
			const retryAfterS = random.nextInt(2) === 0 ? undefined : 0.5 + (random.nextInt(10) / 10);
			fleet.order(fleet.workers[random.nextInt(fleet.workers.length)]!, {kind: 'refuse', ms: context.between(200, 1500), retryAfterS});
		},
		leave: async context => context.withOne(context.fleet.workers, async worker => {
			const {fleet, evidence} = context;
			fleet.order(worker, {kind: 'leave'});
			fleet.list(worker, 'draining');
			evidence.leavingAtMs.set(worker.instance, nowMs());
			await sleep(leavingMs);
			await rebear(context, worker);
		}),
	},
	store: {
		async configuration(context) {
			context.fleet.publishNextConfiguration();
		},
		async silent(context) {
			const {store} = context.fleet;
			await context.disturb('store', 'silent', async () => {
				store.setSilent(true);
				await sleep(context.between(300, 3000));
				store.setSilent(false);
			});
		},
		async turnAway(context) {
			const {store} = context.fleet;
			await context.disturb('store', 'turns away', async () => {
				store.turnedAwayPercent = context.between(20, 100);
				await sleep(context.between(300, 4000));
				store.turnedAwayPercent = 0;
			});
		},
		async forget({fleet}) {
			fleet.store.forgetHistory();
		},
		async lapse(context) {
			const {fleet, random, evidence} = context;
			const lapsed = fleet.workers.filter(() => random.nextInt(3) === 0);
			await context.disturb('store', 'lapse', async () => {
				for (const {instance} of lapsed) {
					removeWorker(fleet.store, instance);
				}

				await sleep(context.between(200, 2500));
				for (const worker of lapsed) {
					fleet.list(worker, evidence.leavingAtMs.has(worker.instance) ? 'draining' : 'ready');
				}
			});
		},
	},
	returns: {
		async comeBack(context) {
			const {store} = context.fleet;
			await context.withOne([{name: 'store'}], async () => {
				const copy = store.copy();
				for (let renewals = context.between(5, 20); renewals > 0; renewals--) {
					await sleep(renewalIntervalMs);
					store.renew();
				}

				await context.disturb('store', 'comes back from a copy', async () => {
					store.setSilent(true);
					await sleep(context.between(50, 800));
					const before = store.copy();
					store.comeBackFrom(copy);
					store.setSilent(false);
					await sleep(context.between(100, 1500));
					store.writeAgain(before, copy);
				});
			});
		},
	},
	links: {
		silent: async context => silence(context, ['up', 'down']),
		oneWay: async context => silence(context, [context.random.nextInt(2) === 0 ? 'up' : 'down']),
		async delay(context) {
			await faultRelay(context, 'delay', async relay => {
				relay.delayMs = context.between(5, 150);
				await sleep(context.between(500, 4000));
				relay.delayMs = 0;
			});
		},
		reset: async context => faultRelay(context, 'reset', relay => {
			relay.reset();
		}),
	},
	clients: {
		untrusted: callUntrusted,
	},
	machine: {
		// One set at a time: several at once kept a gateway from starting within 20 s.
		busy: async context => context.withOne([{name: 'machine'}], async () => {
			const ms = context.between(1000, 4000);
			const count = Math.min(maxBusyProcesses, availableParallelism() + 4);
			await Promise.all(Array.from({length: count}, async () => once(spawn(process.execPath, ['-e', `const end = Date.now() + ${ms}; while (Date.now() < end);`]), 'exit')));
		}),
	},
};
