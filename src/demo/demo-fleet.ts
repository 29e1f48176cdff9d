/** The demo's fleet: stand-ins of the platform and upstreams, entries and agents in three regions on loopback. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {stringify} from 'ini';
import type {PeerClient} from '../links/peer-client.ts';
import type {ListedVm} from '../membership/member.ts';
import type {DemoChild, DemoProcesses} from './demo-processes.ts';

/** The regions, with one zone each. */
export const demoRegions = ['randstad', 'oost', 'zuid'] as const;

/** Agents beside engines in each zone. */
export const enginesPerZone = 3;

/** The origin's rate, in bytes per second: four copies of the demo's weights in 2 s. */
const originBytesPerSecond = 4_000_000;

/** The link of each agent, in bytes per second. */
const linkBytesPerSecond = 8_000_000;

/** How long one request of the demo itself may take, in milliseconds. */
const requestTimeoutMs = 5000;

/** How long a state is waited for before the demo fails, in milliseconds; a bound against hanging. */
const waitTimeoutMs = 60_000;

/** How often a state that is waited for is looked at, in milliseconds. */
const pollIntervalMs = 50;

/** One VM of the demo. */
export type DemoVm = ListedVm & {
	readonly process: DemoChild;
	/** The callers' address of an entry. */
	readonly callers?: string;
};

/** What the fleet works with. */
export type DemoFleetOptions = {
	readonly processes: DemoProcesses;
	readonly links: PeerClient;
	/** Ends all waits. */
	readonly signal: AbortSignal;
};

/** Starts and changes the fleet. */
export class DemoFleet {
	private readonly settingsDirectory = mkdtempSync(path.join(tmpdir(), 'cactusreach-demo-'));
	private readonly listedVms: DemoVm[] = [];
	private readonly spareEngineByRegion = new Map<string, string>();
	private readonly plainServiceAddresses: string[] = [];
	private platformAddress = '';

	/** @param options - what the fleet works with */
	constructor(private readonly options: DemoFleetOptions) {}

	/** All VMs that the platform lists. */
	get vms(): readonly DemoVm[] {
		return this.listedVms;
	}

	/** The stand-ins of plain services, `host:port`. */
	get plainServices(): readonly string[] {
		return this.plainServiceAddresses;
	}

	/** The agents beside engines. */
	get engineAgents(): readonly DemoVm[] {
		return this.listedVms.filter(vm => vm.services.includes('assistant'));
	}

	/** The entries. */
	get entries(): readonly DemoVm[] {
		return this.listedVms.filter(vm => vm.role === 'entry');
	}

	/** Starts the platform and all zones; resolves when the platform lists every VM. */
	async start(): Promise<void> {
		const {processes} = this.options;
		this.platformAddress = await processes.findFreeAddress();
		processes.start('platform', ['standin', `platform=${this.platformAddress}`, '--origin-bytes-per-second', String(originBytesPerSecond)]);
		await this.waitFor('the platform answers', async () => this.platformStatistics());
		await Promise.all(demoRegions.map(async region => this.startZone(region)));
		await this.publishVms();
	}

	/**
	 * Publishes documents as one new revision.
	 *
	 * @param documents - values by path
	 */
	async publish(documents: Record<string, unknown>): Promise<void> {
		await this.postToPlatform('/admin/publish', documents);
	}

	/**
	 * Puts generated weights into the origin.
	 *
	 * @param version - the version
	 * @param bytes - size of the weights
	 * @param chunkBytes - size of one chunk
	 * @returns the digests of the manifest and of the weights
	 */
	async addWeights(version: string, bytes: number, chunkBytes: number): Promise<{manifest: string; weights: string}> {
		return await this.postToPlatform('/admin/weights', {
			model: 'assistant', version, seed: version, bytes, chunkBytes,
		}) as {manifest: string; weights: string};
	}

	/** Returns what the origin has sent so far. */
	async platformStatistics(): Promise<{originBytes: number}> {
		return await this.getJson(this.platformAddress, '/admin/statistics') as {originBytes: number};
	}

	/**
	 * Kills an agent; the platform goes on listing its VM until {@link replace} is called.
	 *
	 * @param vm - the VM
	 */
	async kill(vm: DemoVm): Promise<void> {
		await this.options.processes.kill(vm.process);
	}

	/**
	 * Lists a new VM with an engine of its own in place of a lost one.
	 *
	 * @param lost - the lost VM
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
	 * @param resource - the path
	 */
	async getJson(address: string, resource: string): Promise<unknown> {
		return this.options.links.json(`http://${address}${resource}`, {method: 'GET'}, {timeoutMs: requestTimeoutMs, signal: this.options.signal});
	}

	/**
	 * Waits until a question gets an answer that is neither false nor an error.
	 *
	 * @param stateName - names the state in the failure
	 * @param check - is asked again and again
	 * @throws Error when a process ended, the demo was interrupted, or the state is not reached
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
				// The process does not listen yet.
			}

			await sleep(pollIntervalMs);
		}

		throw new Error(`did not happen within ${waitTimeoutMs / 1000} s: ${stateName}`);
	}

	/** Removes the settings files. */
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
		const started: DemoVm = {
			...this.createListedVm(vm, region, control), role: 'upstream', services: [upstream.service], process: processes.start(vm, ['agent', '--settings', file]),
		};
		this.listedVms.push(started);
		return started;
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
