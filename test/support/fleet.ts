/** Starts entries and agents as separate processes, with stand-ins in this process, on loopback. */
import {type ChildProcess, spawn} from 'node:child_process';
import {mkdtempSync, writeFileSync} from 'node:fs';
import net, {type AddressInfo} from 'node:net';
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

const bundlePath = path.join(import.meta.dirname, '../../dist/cactusreach.cjs');

/** How long a fleet may take to reach an awaited state, in milliseconds; a bound against hanging, not a measurement. */
const waitTimeoutMs = 30_000;

/** One system process. */
export type FleetProcess = {
	readonly vm: string;
	readonly control: string;
	/** The callers' address of an entry. */
	readonly callers: string;
	readonly child: ChildProcess;
	/** Log lines so far. */
	readonly log: string[];
};

/** Where a process stands. */
export type Location = {readonly zone: string; readonly region: string};

const defaultLocation: Location = {zone: 'zone-a', region: 'region-a'};

/** A small fleet. */
export class Fleet {
	readonly platform: PlatformStandin;
	readonly engines: EngineStandin[] = [];
	readonly services: PlainServiceStandin[] = [];
	readonly processes: FleetProcess[] = [];
	private vms: ListedVm[] = [];
	private platformUrl = '';
	private readonly settingsDirectory = mkdtempSync(path.join(tmpdir(), 'cactusreach-'));

	/**
	 * @param origin - how the origin behaves
	 * @param executable - the single executable; Node.js with the bundle when absent
	 */
	constructor(origin?: OriginOptions, private readonly executable?: string) {
		this.platform = new PlatformStandin(origin);
	}

	/** The platform's address, `host:port`. */
	get platformAddress(): string {
		return this.platformUrl.replace('http://', '');
	}

	/** Starts the platform's stand-in. */
	async start(): Promise<void> {
		this.platformUrl = `http://${formatAddress(await this.platform.start({host: '127.0.0.1', port: 0}))}`;
	}

	/**
	 * Starts an entry process.
	 *
	 * @param vm - the VM's id
	 * @param overrides - settings to add or replace, by section
	 * @param location - zone and region
	 */
	async entry(vm: string, overrides: Record<string, Record<string, unknown>> = {}, location = defaultLocation): Promise<FleetProcess> {
		const [callers = '', control = ''] = await findFreeAddresses(2);
		this.upsertVm({
			vm, role: 'entry', address: control, services: [], location,
		});
		return this.spawnProcess('entry', vm, {callers, control}, {...overrides, process: {vm, ...location, ...overrides.process}});
	}

	/**
	 * Starts an engine's stand-in and its agent process.
	 *
	 * @param vm - the VM's id
	 * @param service - the service that the agent offers
	 * @param options - how the engine behaves
	 * @param overrides - settings to add or replace, by section
	 * @param location - zone and region
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
	 * Starts a plain service's stand-in and its agent process.
	 *
	 * @param vm - the VM's id
	 * @param service - the service that the agent offers
	 * @param runMs - time that one run takes, in milliseconds
	 * @param overrides - settings to add or replace, by section
	 * @param location - zone and region
	 */
	async plainAgent(vm: string, service: string, runMs = 1, overrides: Record<string, Record<string, unknown>> = {}, location = defaultLocation): Promise<FleetProcess> {
		const plain = new PlainServiceStandin({runMs});
		this.services.push(plain);
		const address = await plain.start({host: '127.0.0.1', port: 0});
		return this.agent(vm, {kind: 'plain', service, address: `http://${formatAddress(address)}`}, overrides, location);
	}

	/**
	 * Starts an agent process for an upstream that runs already.
	 *
	 * @param vm - the VM's id
	 * @param upstream - the upstream section
	 * @param overrides - settings to add or replace, by section
	 * @param location - zone and region
	 */
	async agent(vm: string, upstream: {kind: string; service: string; address: string}, overrides: Record<string, Record<string, unknown>> = {}, location = defaultLocation): Promise<FleetProcess> {
		const [free = ''] = await findFreeAddresses(1);
		const control = (overrides.listen?.control ?? free) as string;
		this.upsertVm({
			vm, role: 'upstream', address: control, services: [upstream.service], location,
		});
		return this.spawnProcess('agent', vm, {control}, {...overrides, upstream: {...upstream, ...overrides.upstream}, process: {vm, ...location, ...overrides.process}});
	}

	/**
	 * Marks a VM in the platform's list.
	 *
	 * @param vm - the VM
	 * @param state - its new state; undefined removes it
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

	/**
	 * Lists a VM under another address, such as a relay's.
	 *
	 * @param vm - the VM
	 * @param address - `host:port`
	 */
	setVmAddress(vm: string, address: string): void {
		this.vms = this.vms.map(item => item.vm === vm ? {...item, address} : item);
		this.platform.setVms(this.vms);
	}

	/** Ends all processes and stand-ins. */
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
		const command = this.executable === undefined ? [process.execPath, bundlePath] : [this.executable];
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
			const answer = await getJson(listen.control, '/readyz');
			return answer?.ready === true;
		});
		return started;
	}
}

/**
 * Waits until a condition holds.
 *
 * @param what - names the condition in the failure
 * @param condition - is asked again until it returns true
 */
export async function waitFor(what: string, condition: () => boolean | Promise<boolean>): Promise<void> {
	const timeoutAtMs = performance.now() + waitTimeoutMs;
	while (performance.now() < timeoutAtMs) {
		if (await condition()) {
			return;
		}

		await sleep(20);
	}

	throw new Error(`did not happen: ${what}`);
}

/**
 * Reads JSON from a process.
 *
 * @param address - `host:port`
 * @param resource - the path
 * @returns undefined when the process does not answer
 */
export async function getJson(address: string, resource: string): Promise<Record<string, unknown> | undefined> {
	try {
		const res = await fetch(`http://${address}${resource}`);
		return await res.json() as Record<string, unknown>;
	} catch {
		return undefined;
	}
}

/**
 * Ends a process by its id and waits for its end.
 *
 * @param child - the process
 * @param signal - the signal
 */
export async function endProcess(child: ChildProcess, signal: NodeJS.Signals = 'SIGKILL'): Promise<void> {
	if (child.exitCode !== null || child.signalCode !== null) {
		return;
	}

	await new Promise(resolve => {
		child.once('exit', resolve);
		child.kill(signal);
	});
}

async function findFreeAddresses(count: number): Promise<string[]> {
	const servers = await Promise.all(Array.from({length: count}, async () => new Promise<net.Server>(resolve => {
		const server = net.createServer().listen(0, '127.0.0.1', () => {
			resolve(server);
		});
	})));
	const addresses = servers.map(server => `127.0.0.1:${(server.address() as AddressInfo).port}`);
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return addresses;
}
