/** In-process agents with an origin and simulated links between regions, on loopback. */
import {setTimeout as sleep} from 'node:timers/promises';
import {formatAddress} from '../../src/links/http-listener.ts';
import type {TransferPeer} from '../../src/rollout/transfer-options.ts';
import {PlatformStandin} from '../../standins/platform.ts';
import {RegionLinks} from '../../standins/region-links.ts';
import {TransferAgent, type TransferAgentOptions} from '../../standins/transfer-agent.ts';

const regions = ['region-a', 'region-b', 'region-c'];

const linkBytesPerSecond = 1_500_000;

/** Transfer limits for tests. */
export const testLimits = {chunk_timeout_ms: 600, step_in_ms: 600, upload_copies: 1.05};

/** A fleet of agents in three regions. */
export class TransferFleet {
	readonly platform = new PlatformStandin({bytesPerSecond: 4 * linkBytesPerSecond, maxConcurrentReads: 64});
	readonly links = new RegionLinks(1.125 * linkBytesPerSecond);
	readonly agents: TransferAgent[] = [];
	private readonly originUrls = new Map<string, string>();
	private readonly addresses = new Map<string, string>();

	/** Returns the agent of a VM. */
	agent(vm: string): TransferAgent {
		return this.agents.find(item => item.options.vm === vm)!;
	}

	async start(perRegion: number, overrides: Partial<TransferAgentOptions> = {}): Promise<void> {
		const origin = formatAddress(await this.platform.start({host: '127.0.0.1', port: 0}));
		for (const region of regions) {
			this.originUrls.set(region, `http://${await this.links.openRelay(region, regions[0]!, origin)}`);
		}

		for (const region of regions) {
			for (let at = 0; at < perRegion; at++) {
				await this.add(`${region}-${at}`, region, overrides);
			}
		}

		await this.refreshPeers();
	}

	async add(vm: string, region: string, overrides: Partial<TransferAgentOptions> = {}): Promise<TransferAgent> {
		const agent = new TransferAgent({
			vm, region, originUrl: this.originUrls.get(region)!, linkBytesPerSecond, limits: testLimits, seed: this.agents.length, ...overrides,
		});
		this.agents.push(agent);
		this.addresses.set(vm, await agent.start());
		return agent;
	}

	/** Adds the address of a peer that is not an agent of this fleet. */
	addExternalPeer(vm: string, address: string): void {
		this.addresses.set(vm, address);
	}

	/** Sends every agent the current list of peers, with the addresses as seen from its region. */
	async refreshPeers(): Promise<void> {
		for (const from of regions) {
			const peers: TransferPeer[] = [];
			for (const [vm, address] of this.addresses) {
				const region = regions.find(name => vm.startsWith(name))!;
				peers.push({vm, region, address: await this.links.openRelay(from, region, address)});
			}

			for (const agent of this.agents.filter(({options}) => options.region === from)) {
				agent.setPeers(peers);
			}
		}
	}

	want(manifest: string, objective: 'time' | 'origin-bytes' = 'time'): void {
		for (const agent of this.agents) {
			agent.setWantedVersion(manifest, objective);
		}
	}

	/** Waits until all agents hold the version. Agents verify each chunk against its digest when they store it. */
	async waitUntilHeld(manifest: string, agents: readonly TransferAgent[] = this.agents): Promise<void> {
		await waitUntil(() => agents.every(agent => agent.holds(manifest)), () => agents.map(agent => `${agent.options.vm}:${agent.heldCount(manifest)}`).join(' '));
	}

	async stop(): Promise<void> {
		await Promise.all(this.agents.map(async agent => agent.stop()));
		this.links.stop();
		this.platform.stop();
	}
}

/** Polls a condition until it holds. The timeout is generous and only prevents hanging. */
export async function waitUntil(condition: () => boolean, describe: () => string): Promise<void> {
	const endMs = performance.now() + 50_000;
	while (!condition()) {
		if (performance.now() > endMs) {
			throw new Error(`timed out: ${describe()}`);
		}

		await sleep(10);
	}
}
