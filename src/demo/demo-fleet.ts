/** The demo's fleet on loopback: stand-ins for the platform and the upstreams, with entries and agents in three regions. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {stringify} from 'ini';
import type {PeerClient} from '../links/peer-client.ts';
import type {ListedVm} from '../membership/member.ts';
import type {DemoChild, DemoProcesses} from './demo-processes.ts';

/** Regions of the demo. Each has one zone. */
export const demoRegions = ['randstad', 'oost', 'zuid'] as const;

/** Number of agents with an engine in each zone. */
export const enginesPerZone = 3;

/** Rate limit of the origin, in bytes per second: four copies of the demo's weights in 2 s. */
const originBytesPerSecond = 4_000_000;

/** Rate limit of each agent's link, in bytes per second. */
const linkBytesPerSecond = 8_000_000;

/** Timeout of the demo's own requests, in milliseconds. */
const requestTimeoutMs = 5000;

/** Timeout of each wait for a state, in milliseconds. It only keeps the demo from hanging. */
const waitTimeoutMs = 60_000;

/** Interval between two checks of an awaited state, in milliseconds. */
const pollIntervalMs = 50;

/** A VM of the demo and its process. */
export type DemoVm = ListedVm & {
	readonly process: DemoChild;
	/** Address of an entry's listener for callers, `host:port`. */
	readonly callers?: string;
};

/** Dependencies of a {@link DemoFleet}. */
export type DemoFleetOptions = {
	readonly processes: DemoProcesses;
	readonly links: PeerClient;
	/** Aborts all waits and reads. */
	readonly signal: AbortSignal;
};

/** Starts the demo's processes, and replaces a lost VM. */
export class DemoFleet {
	private readonly settingsDirectory = mkdtempSync(path.join(tmpdir(), 'cactusreach-demo-'));
	private readonly listedVms: DemoVm[] = [];
	private readonly spareEngineByRegion = new Map<string, string>();
	private readonly plainServiceAddresses: string[] = [];
	private platformAddress = '';

	constructor(private readonly options: DemoFleetOptions) {}

	/** All VMs in the platform's VM list. */
	get vms(): readonly DemoVm[] {
		return this.listedVms;
	}

	/** Addresses of the stand-ins for plain services, `host:port`. */
	get plainServices(): readonly string[] {
		return this.plainServiceAddresses;
	}

	/** Agents with an engine. */
	get engineAgents(): readonly DemoVm[] {
		return this.listedVms.filter(vm => vm.services.includes('assistant'));
	}

	/** Entries of all zones. */
	get entries(): readonly DemoVm[] {
		return this.listedVms.filter(vm => vm.role === 'entry');
	}

	/** Starts the platform and all zones, then publishes the list of all VMs. */
	async start(): Promise<void> {
		const {processes} = this.options;
		this.platformAddress = await processes.findFreeAddress();
		processes.start('platform', ['standin', `platform=${this.platformAddress}`, '--origin-bytes-per-second', String(originBytesPerSecond)]);
		await this.waitFor('the platform answers', async () => this.platformStatistics());
		await Promise.all(demoRegions.map(async region => this.startZone(region)));
		await this.publishVms();
	}

	/**
	 * Publishes configuration documents as one new revision.
	 *
	 * @param documents - values by path
	 */
	async publish(documents: Record<string, unknown>): Promise<void> {
		await this.postToPlatform('/admin/publish', documents);
	}

	/**
	 * Generates weights at the origin.
	 *
	 * @param bytes - size of the weights
	 * @param chunkBytes - size of one chunk
	 * @returns the digests of the manifest and of the weights
	 */
	async addWeights(version: string, bytes: number, chunkBytes: number): Promise<{manifest: string; weights: string}> {
		return await this.postToPlatform('/admin/weights', {
			model: 'assistant', version, seed: version, bytes, chunkBytes,
		}) as {manifest: string; weights: string};
	}

	/** Reads how many bytes the origin has sent so far. */
	async platformStatistics(): Promise<{originBytes: number}> {
		return await this.getJson(this.platformAddress, '/admin/statistics') as {originBytes: number};
	}

	/** Kills an agent. Its VM stays in the platform's list until {@link replace} is called. */
	async kill(vm: DemoVm): Promise<void> {
		await this.options.processes.kill(vm.process);
	}

	/**
	 * Replaces a lost VM in the platform's list by a new one that uses its region's spare engine.
	 *
	 * @returns the new VM
	 */
	async replace(lost: DemoVm): Promise<DemoVm> {
		const engine = this.spareEngineByRegion.get(lost.region) ?? '';
		this.listedVms.splice(this.listedVms.indexOf(lost), 1);
		const vm = await this.startAgent(lost.region, `${lost.region}-engine-${enginesPerZone + 1}`, {kind: 'engine', service: 'assistant', address: engine});
		await this.publishVms();
		return vm;
	}

	/**
	 * Reads JSON from a process.
	 *
	 * @param address - `host:port`
	 * @param resource - path and query
	 */
	async getJson(address: string, resource: string): Promise<unknown> {
		return this.options.links.json(`http://${address}${resource}`, {method: 'GET'}, {timeoutMs: requestTimeoutMs, signal: this.options.signal});
	}

	/**
	 * Polls a check until it neither throws nor returns false.
	 *
	 * @param stateName - description of the awaited state for the error message
	 * @throws Error if a process ended unexpectedly, the demo was interrupted, or the wait timed out
	 */
	async waitFor(stateName: string, check: () => Promise<unknown>): Promise<void> {
		const timeoutAtMs = performance.now() + waitTimeoutMs;
		while (performance.now() < timeoutAtMs) {
			this.options.signal.throwIfAborted();
			this.options.processes.assertRunning();
			try {
				if (await check() !== false) {
					return;
				}
			} catch {
				// The process may not listen yet.
			}

			await sleep(pollIntervalMs);
		}

		throw new Error(`did not happen within ${waitTimeoutMs / 1000} s: ${stateName}`);
	}

	/** Deletes the settings files. */
	removeSettingsFiles(): void {
		rmSync(this.settingsDirectory, {recursive: true, force: true});
	}

	private async startZone(region: string): Promise<void> {
		const {processes} = this.options;
		const engines = await Promise.all(Array.from({length: enginesPerZone + 1}, async () => processes.findFreeAddress()));
		const plain = await processes.findFreeAddress();
		const standinArgs = [...engines.map(address => `engine=${address}`), `plain=${plain}`];
		processes.start(`${region}-upstreams`, ['standin', ...standinArgs, '--state-lag-ms', '200']);
		this.plainServiceAddresses.push(plain);
		this.spareEngineByRegion.set(region, engines.pop() ?? '');
		await this.waitFor(`the upstreams of ${region} answer`, async () => this.getJson(plain, '/v1/ledger'));
		await Promise.all([
			this.startEntry(region),
			this.startAgent(region, `${region}-booking-1`, {kind: 'plain', service: 'booking', address: plain}),
			...engines.map(async (address, at) => this.startAgent(region, `${region}-engine-${at + 1}`, {kind: 'engine', service: 'assistant', address})),
		]);
	}

	private async startEntry(region: string): Promise<void> {
		const {processes} = this.options;
		const control = await processes.findFreeAddress();
		const callers = await processes.findFreeAddress();
		const vm = `${region}-entry-1`;
		const file = this.writeSettings(vm, region, {listen: {callers, control}, limits: {drain_notice_ms: 100}});
		this.listedVms.push({...this.createListedVm(vm, region, control), callers, process: processes.start(vm, ['entry', '--settings', file])});
	}

	private async startAgent(region: string, vm: string, upstream: {kind: string; service: string; address: string}): Promise<DemoVm> {
		const {processes} = this.options;
		const control = await processes.findFreeAddress();
		const file = this.writeSettings(vm, region, {
			listen: {control},
			upstream: {...upstream, address: `http://${upstream.address}`},
			transfer: {link_bytes_per_second: linkBytesPerSecond},
		});
		const demoVm: DemoVm = {
			...this.createListedVm(vm, region, control), role: 'upstream', services: [upstream.service], process: processes.start(vm, ['agent', '--settings', file]),
		};
		this.listedVms.push(demoVm);
		return demoVm;
	}

	private createListedVm(vm: string, region: string, address: string): ListedVm {
		return {
			vm, role: 'entry', state: 'live', zone: `${region}-a`, region, address, services: [],
		};
	}

	private writeSettings(vm: string, region: string, sections: Record<string, unknown>): string {
		const url = `http://${this.platformAddress}`;
		const file = path.join(this.settingsDirectory, `${vm}.ini`);
		const platform = {configuration: url, vms: url, origin: url};
		writeFileSync(file, stringify({process: {vm, zone: `${region}-a`, region}, platform, ...sections}));
		return file;
	}

	private async publishVms(): Promise<void> {
		await this.postToPlatform('/admin/vms', this.listedVms.map(({process: _process, callers: _callers, ...listed}) => listed));
	}

	private async postToPlatform(resource: string, body: unknown): Promise<unknown> {
		return this.options.links.json(`http://${this.platformAddress}${resource}`, {method: 'POST', body: JSON.stringify(body)}, {timeoutMs: requestTimeoutMs});
	}
}
