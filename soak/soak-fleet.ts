/** The gateways, stagers, workers and the store of one run. Each process has a loopback address of its own, since all share one datagram port. */
import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {FaultRelay} from '../standins/fault-relay.ts';
import type {WorkerOrder, WorkerReport} from '../standins/fault-worker.ts';
import {WatchedStore} from '../standins/watched-store.ts';
import {publishConfiguration, publishWorker} from '../standins/store-entries.ts';
import {type Evidence, nowMs} from './soak-evidence.ts';
import {SoakProcess} from './soak-process.ts';

/** Ports below those that the system gives to outgoing connections. */
const ports = {
	callers: 21_080, control: 21_081, readiness: 21_082, datagrams: 21_083, worker: 21_090, relay: 21_091,
};

const program = path.join(import.meta.dirname, '../dist/cactusreach.cjs');
const workerProgram = path.join(import.meta.dirname, '../standins/fault-worker.ts');

/** Time within which a process has to be ready, in milliseconds; ten times what one takes on an idle machine. */
const readyTimeoutMs = 20_000;

const readyCheckIntervalMs = 30;

/** The size of a fleet. */
export type FleetSize = {readonly gateways: number; readonly engines: number; readonly plain: number};

/** A gateway. */
export type Gateway = {readonly name: string; readonly process: SoakProcess; readonly url: string; readonly readyUrl: string};

/** A worker; `instance` changes with each start. */
export type Worker = {
	readonly name: string;
	readonly process: SoakProcess;
	readonly host: string;
	readonly relay: FaultRelay | undefined;
	readonly isEngine: boolean;
	instance: string;
	version: number | undefined;
	isListening: boolean;
};

/** The processes of one run. */
export class Fleet {
	readonly gateways: Gateway[] = [];
	readonly workers: Worker[] = [];
	readonly stagers: SoakProcess[] = [];
	readonly store: WatchedStore;
	storeRelay: FaultRelay | undefined;
	configuration = 0;
	/** The gateways that have been ready in their present run. */
	readonly ready = new Set<string>();
	private readonly net: string;

	/**
	 * @param seed - the seed of the run
	 * @param folder - for settings and logs
	 */
	constructor(private readonly seed: number, private readonly folder: string, readonly evidence: Evidence) {
		mkdirSync(folder, {recursive: true});
		this.store = new WatchedStore(seed);
		this.net = `127.${20 + (process.pid % 200)}.${seed % 250}`;
	}

	/** Starts all processes and waits until they are ready. */
	async start({gateways, engines, plain}: FleetSize, hasRelays: boolean): Promise<void> {
		await this.store.start(`${this.net}.2`);
		this.publishNextConfiguration();
		let storeAddress = this.store.address;
		if (hasRelays) {
			const [host, port] = storeAddress.split(':') as [string, string];
			this.storeRelay = new FaultRelay({host, port: Number(port)});
			await this.storeRelay.start(`${this.net}.3`);
			storeAddress = this.storeRelay.address;
		}

		for (let at = 0; at < engines + plain; at++) {
			this.workers.push(await this.createWorker(at, at < engines, hasRelays));
		}

		await Promise.all(this.workers.map(async worker => this.startWorker(worker)));
		const seeds = Array.from({length: Math.min(3, gateways)}, (_, at) => `${this.hostOf('gateway', at)}:${ports.control}`).join(',');
		for (let at = 0; at < gateways; at++) {
			this.gateways.push(this.createGateway(at, seeds, storeAddress));
		}

		for (const [at, worker] of this.workers.entries()) {
			if (worker.isEngine) {
				this.stagers.push(this.createStager(at, worker, seeds, storeAddress));
			}
		}

		for (const stager of this.stagers) {
			stager.start();
		}

		await Promise.all(this.gateways.map(async gateway => this.startGateway(gateway)));
	}

	/** Publishes a configuration that gives the callers' key to another holder. */
	publishNextConfiguration(): void {
		this.configuration++;
		publishConfiguration(this.store, this.configuration);
		this.evidence.published.set(this.configuration, nowMs());
	}

	/** Starts a worker as a new instance and lists it. */
	async startWorker(worker: Worker): Promise<void> {
		worker.instance = `i-${worker.name}-${worker.process.starts + 1}`;
		worker.isListening = false;
		worker.process.start();
		await this.waitUntil(`${worker.name} listens`, () => worker.isListening);
		this.list(worker, 'ready');
	}

	/** Puts the entry of a worker into the store. */
	list(worker: Worker, state: 'ready' | 'draining'): void {
		const address = worker.relay?.address ?? `${worker.host}:${ports.worker}`;
		publishWorker(this.store, worker.instance, {
			address, version: worker.version, state, startNumber: worker.process.starts,
		});
	}

	/** Gives an order to a worker. */
	order(worker: Worker, order: WorkerOrder): void {
		worker.process.send(order);
	}

	/** Starts a gateway and waits until it is ready; until then it counts as disturbed. */
	async startGateway({name, process, readyUrl}: Gateway): Promise<void> {
		const starting = this.evidence.disturb(name, 'start');
		this.ready.delete(name);
		process.start();
		await this.waitUntil(`${name} is ready`, async () => {
			const res = await fetch(readyUrl);
			await res.arrayBuffer();
			return res.status === 200;
		});
		starting.untilMs = nowMs();
		this.ready.add(name);
	}

	/** Kills all processes. */
	async stop(): Promise<void> {
		const processes = [...this.gateways.map(({process}) => process), ...this.workers.map(({process}) => process), ...this.stagers];
		await Promise.all(processes.map(async process => process.kill()));
		this.store.close();
		for (const relay of [this.storeRelay, ...this.workers.map(worker => worker.relay)]) {
			relay?.stop();
		}
	}

	private hostOf(role: 'gateway' | 'worker', at: number): string {
		return `${this.net}.${(role === 'gateway' ? 10 : 80) + at}`;
	}

	private async createWorker(at: number, isEngine: boolean, hasRelays: boolean): Promise<Worker> {
		const host = this.hostOf('worker', at);
		const relay = hasRelays ? new FaultRelay({host, port: ports.worker}) : undefined;
		await relay?.start(host, ports.relay);
		const name = `w${at}`;
		const worker: Worker = {
			name, host, relay, isEngine, instance: '', version: isEngine ? 1 + (at % 2) : undefined, isListening: false,
			process: new SoakProcess({
				name,
				args: () => ['--import', 'tsx', workerProgram, JSON.stringify({
					host, port: ports.worker, instance: worker.instance, version: worker.version,
				})],
				logFile: path.join(this.folder, `${name}.log`),
				onUnexpectedEnd: what => this.evidence.processFaults.push(what),
				onMessage: message => {
					const report = message as WorkerReport;
					if (report.kind === 'listening') {
						worker.isListening = true;
					} else {
						this.evidence.addArrival(report);
					}
				},
			}),
		};
		return worker;
	}

	private createGateway(at: number, seeds: string, storeAddress: string): Gateway {
		const host = this.hostOf('gateway', at);
		const name = `g${at}`;
		const settings = this.writeSettings(name, `[listen]\ncallers = ${host}:${ports.callers}\ncontrol = ${host}:${ports.control}\nreadiness = ${host}:${ports.readiness}\n`
			+ `datagrams = ${host}:${ports.datagrams}\n[peers]\nseeds = ${seeds}\n[directory]\naddress = ${storeAddress}\n[limits]\nretry_ratio = 0.2\nretry_slack = 50\n`);
		return {
			name, url: `http://${host}:${ports.callers}`, readyUrl: `http://${host}:${ports.readiness}/readyz`,
			process: this.createProgram(name, 'gateway', settings),
		};
	}

	private createStager(at: number, worker: Worker, seeds: string, storeAddress: string): SoakProcess {
		const name = `s${at}`;
		const settings = this.writeSettings(name, `[listen]\ncontrol = ${worker.host}:${ports.control}\n[peers]\nseeds = ${seeds}\ndatagram_port = ${ports.datagrams}\n`
			+ `[directory]\naddress = ${storeAddress}\n[engine]\naddress = ${worker.relay?.address ?? `${worker.host}:${ports.worker}`}\nservice = models\n`);
		return this.createProgram(name, 'stager', settings);
	}

	private createProgram(name: string, role: 'gateway' | 'stager', settings: string): SoakProcess {
		return new SoakProcess({
			name, args: () => [program, role, '--settings', settings], logFile: path.join(this.folder, `${name}.log`), onUnexpectedEnd: what => this.evidence.processFaults.push(what),
		});
	}

	private writeSettings(name: string, sections: string): string {
		const file = path.join(this.folder, `${name}.ini`);
		writeFileSync(file, `[process]\nvm = ${name}\nzone = z\nregion = r\nrandom_seed = ${this.seed}\n${sections}`);
		return file;
	}

	private async waitUntil(what: string, condition: () => boolean | Promise<boolean>): Promise<void> {
		const endMs = nowMs() + readyTimeoutMs;
		while (nowMs() < endMs) {
			try {
				if (await condition()) {
					return;
				}
			} catch {
				// The process does not listen yet.
			}

			await sleep(readyCheckIntervalMs);
		}

		throw new Error(`timed out: ${what}`);
	}
}
