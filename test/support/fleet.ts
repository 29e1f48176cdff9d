/** Starts entries and agents as separate processes on loopback. The stand-ins for the platform and the upstreams run in this process. */
import {type ChildProcess, spawn} from 'node:child_process';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {createInterface} from 'node:readline';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {stringify} from 'ini';
import {EngineStandin, type EngineOptions} from '../../standins/engine.ts';
import {PlainServiceStandin} from '../../standins/plain-service.ts';
import {type OriginOptions, PlatformStandin} from '../../standins/platform.ts';
import {formatAddress} from '../../src/links/http-listener.ts';
import type {ListedVm} from '../../src/membership/member.ts';
import {reserveAddresses} from './loopback-ports.ts';

const bundlePath = path.join(import.meta.dirname, '../../dist/cactusreach.cjs');

/** Timeout of {@link waitFor}, in milliseconds. It only keeps a test from hanging. */
const waitTimeoutMs = 30_000;

/** An entry or agent process. */
export type FleetProcess = {
	readonly vm: string;
	/** Address of the control listener, `host:port`. */
	readonly control: string;
	/** Address of an entry's listener for callers, `host:port`; empty for an agent. */
	readonly callers: string;
	readonly child: ChildProcess;
	/** All lines that the process has printed. */
	readonly log: string[];
};

/** Zone and region of a VM. */
export type Location = {readonly zone: string; readonly region: string};

const defaultLocation: Location = {zone: 'zone-a', region: 'region-a'};

/** Entries, agents and their stand-ins. */
export class Fleet {
	readonly platform: PlatformStandin;
	readonly engines: EngineStandin[] = [];
	readonly services: PlainServiceStandin[] = [];
	readonly processes: FleetProcess[] = [];
	private vms: ListedVm[] = [];
	private platformUrl = '';
	private readonly settingsDirectory = mkdtempSync(path.join(tmpdir(), 'cactusreach-'));

	/**
	 * @param origin - limits of the origin; unlimited by default
	 * @param executable - path of the single executable application; by default, Node.js runs the bundle
	 * @param nodeOptions - options of Node.js, if it runs the bundle
	 */
	constructor(origin?: OriginOptions, private readonly executable?: string, private readonly nodeOptions: readonly string[] = []) {
		this.platform = new PlatformStandin(origin);
	}

	/** Address of the platform, `host:port`. */
	get platformAddress(): string {
		return this.platformUrl.replace('http://', '');
	}

	/** Starts the stand-in for the platform. */
	async start(): Promise<void> {
		this.platformUrl = `http://${formatAddress(await this.platform.start({host: '127.0.0.1', port: 0}))}`;
	}

	/**
	 * Starts an entry process, and waits until it is ready.
	 *
	 * @param overrides - settings to add or replace, by section
	 */
	async entry(vm: string, overrides: Record<string, Record<string, unknown>> = {}, location = defaultLocation): Promise<FleetProcess> {
		const [callers = '', control = ''] = reserveAddresses(2);
		this.upsertVm({
			vm, role: 'entry', address: control, services: [], location,
		});
		return this.spawnProcess('entry', vm, {callers, control}, {...overrides, process: {vm, ...location, ...overrides.process}});
	}

	/**
	 * Starts a stand-in for an engine and an agent process for it, and waits until the agent is ready.
	 *
	 * @param service - service that the agent runs calls for
	 * @param options - options of the engine
	 * @param overrides - settings to add or replace, by section
	 */
	async engineAgent(vm: string, service: string, options: Partial<EngineOptions> = {}, overrides: Record<string, Record<string, unknown>> = {}, location = defaultLocation): Promise<FleetProcess> {
		const engine = new EngineStandin({
			capacity: 8, tokenMs: 1, checksFence: true, stateLagMs: 0, ...options,
		});
		this.engines.push(engine);
		const address = await engine.start({host: '127.0.0.1', port: 0});
		return this.agent(vm, {kind: 'engine', service, address: `http://${formatAddress(address)}`}, overrides, location);
	}

	/**
	 * Starts a stand-in for a plain service and an agent process for it, and waits until the agent is ready.
	 *
	 * @param service - service that the agent runs calls for
	 * @param runMs - duration of one run, in milliseconds
	 * @param overrides - settings to add or replace, by section
	 */
	async plainAgent(vm: string, service: string, runMs = 1, overrides: Record<string, Record<string, unknown>> = {}, location = defaultLocation): Promise<FleetProcess> {
		const plain = new PlainServiceStandin({runMs});
		this.services.push(plain);
		const address = await plain.start({host: '127.0.0.1', port: 0});
		return this.agent(vm, {kind: 'plain', service, address: `http://${formatAddress(address)}`}, overrides, location);
	}

	/**
	 * Starts an agent process for an upstream that is already running, and waits until the agent is ready.
	 *
	 * @param upstream - section `upstream` of the settings
	 * @param overrides - settings to add or replace, by section
	 */
	async agent(vm: string, upstream: {kind: string; service: string; address: string}, overrides: Record<string, Record<string, unknown>> = {}, location = defaultLocation): Promise<FleetProcess> {
		const [freeAddress = ''] = reserveAddresses(1);
		const control = (overrides.listen?.control ?? freeAddress) as string;
		this.upsertVm({
			vm, role: 'upstream', address: control, services: [upstream.service], location,
		});
		return this.spawnProcess('agent', vm, {control}, {...overrides, upstream: {...upstream, ...overrides.upstream}, process: {vm, ...location, ...overrides.process}});
	}

	/**
	 * Sets the state of a VM in the platform's list.
	 *
	 * @param state - the new state; undefined removes the VM
	 */
	setVmState(vm: string, state: ListedVm['state'] | undefined): void {
		this.vms = this.vms.flatMap(item => {
			if (item.vm !== vm) {
				return [item];
			}

			return state ? [{...item, state}] : [];
		});
		this.platform.setVms(this.vms);
	}

	/** Replaces the address of a VM in the platform's list, for example by the address of a relay. */
	setVmAddress(vm: string, address: string): void {
		this.vms = this.vms.map(item => item.vm === vm ? {...item, address} : item);
		this.platform.setVms(this.vms);
	}

	/** Kills all processes and stops the stand-ins. */
	async stop(): Promise<void> {
		await Promise.all(this.processes.map(async ({child}) => endProcess(child)));
		for (const standin of [...this.engines, ...this.services, this.platform]) {
			standin.stop();
		}
	}

	private upsertVm(item: Omit<ListedVm, 'zone' | 'region' | 'state'> & {location: Location}): void {
		const {location, ...rest} = item;
		this.vms = [...this.vms.filter(({vm}) => vm !== item.vm), {...rest, ...location, state: 'live'}];
		this.platform.setVms(this.vms);
	}

	private async spawnProcess(role: 'entry' | 'agent', vm: string, listen: {callers?: string; control: string}, sections: Record<string, Record<string, unknown>>): Promise<FleetProcess> {
		const platform = {
			configuration: this.platformUrl, vms: this.platformUrl, origin: this.platformUrl, ...sections.platform,
		};
		const file = path.join(this.settingsDirectory, `${vm}.ini`);
		writeFileSync(file, stringify({...sections, listen: {...listen, ...sections.listen}, platform}));
		const command = this.executable === undefined ? [process.execPath, ...this.nodeOptions, bundlePath] : [this.executable];
		const child = spawn(command[0] ?? '', [...command.slice(1), role, '--settings', file], {stdio: ['ignore', 'pipe', 'pipe']});
		const log: string[] = [];
		for (const input of [child.stdout, child.stderr]) {
			createInterface({input}).on('line', line => {
				log.push(line);
			});
		}

		const started = {
			vm, control: listen.control, callers: listen.callers ?? '', child, log,
		};
		this.processes.push(started);
		await waitFor(`${vm} is ready`, async () => {
			const readiness = await getJson(listen.control, '/readyz');
			return readiness?.ready === true;
		});
		return started;
	}
}

/**
 * Polls a condition until it holds.
 *
 * @param description - description of the condition for the error message
 * @throws Error on timeout
 */
export async function waitFor(description: string, condition: () => boolean | Promise<boolean>): Promise<void> {
	const timeoutAtMs = performance.now() + waitTimeoutMs;
	while (performance.now() < timeoutAtMs) {
		if (await condition()) {
			return;
		}

		await sleep(20);
	}

	throw new Error(`timed out: ${description}`);
}

/**
 * Reads JSON from a process.
 *
 * @param address - `host:port`
 * @param resource - path and query
 * @returns undefined if the request failed or the response is not JSON
 */
export async function getJson(address: string, resource: string): Promise<Record<string, unknown> | undefined> {
	try {
		const res = await fetch(`http://${address}${resource}`);
		return await res.json() as Record<string, unknown>;
	} catch {
		return undefined;
	}
}

/** Sends a signal to a process and waits until it exits. Does nothing if it has exited already. */
export async function endProcess(child: ChildProcess, signal: NodeJS.Signals = 'SIGKILL'): Promise<void> {
	if (child.exitCode !== null || child.signalCode !== null) {
		return;
	}

	await new Promise(resolve => {
		child.once('exit', resolve);
		child.kill(signal);
	});
}
