/** The stagers and engines of a model in three zones on a simulated network, with faked time. */
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {type Clock, install} from '@sinonjs/fake-timers';
import type {RolloutHaveParams} from '../../src/messages/rollout-have.ts';
import {createManifest, type Manifest, parseManifest} from '../../src/rollout/manifest.ts';
import type {TransferPeer} from '../../src/rollout/transfer-options.ts';
import {RandomSource} from '../../src/runtime/random-source.ts';
import type {ManifestQuery} from '../../src/staging/manifest-fetcher.ts';
import {originHost, SimulatedNetwork} from './simulated-network.ts';
import {
	type NamedVersion, simulatedModel, SimulatedVm, simulatedWeights, type VmFleet,
} from './simulated-vm.ts';

const bytesPerMegabit = 125_000;

/** Rates of the links, in Mbit/s, and the share of a VM's link that transfers may use. */
const rates = {
	origin: 4.38, vm: 5.11, region: 17.5, share: 0.9,
};

/** The time limit of a request for a manifest, to another VM and to the origin, in milliseconds. */
const manifestTimeoutMs = {peer: 700, origin: 1000};

/** Options of a {@link StagerFleet}. */
export type StagerFleetOptions = {
	/** The number of VMs in each of three zones. */
	readonly perZone: number;
	/** The regions of the zones; the origin is in the first one. */
	readonly regions?: readonly string[];
	/** The share of each VM's link that calls use. */
	readonly callShare?: number;
	/** Seed of the random decisions. */
	readonly seed: number;
};

/** The fleet, its origin and its network. */
export class StagerFleet implements VmFleet {
	readonly transferRate = rates.vm * bytesPerMegabit * rates.share;
	readonly network: SimulatedNetwork;
	readonly members: readonly TransferPeer[];
	readonly vms: SimulatedVm[] = [];
	private readonly named: NamedVersion[] = [];
	private readonly random: RandomSource;
	private readonly seed: number;
	private readonly versions = new Map<number, {readonly manifest: Manifest; readonly chunks: readonly Uint8Array[]; originBytes: number}>();

	constructor({perZone, regions = ['a', 'b', 'c'], seed, callShare = 0}: StagerFleetOptions) {
		this.seed = seed;
		this.network = new SimulatedNetwork({
			origin: rates.origin * bytesPerMegabit, vm: rates.vm * bytesPerMegabit * (1 - callShare), region: rates.region * bytesPerMegabit,
		});
		this.random = new RandomSource(seed);
		this.members = ['a', 'b', 'c'].flatMap((zone, which) => Array.from({length: perZone}, (_, at) => ({vm: `${zone}${at}`, region: regions[which]!, address: `${zone}${at}`})));
		for (const {vm, region} of this.members) {
			this.network.regions.set(vm, region);
			this.network.zones.set(vm, vm[0]!);
		}

		this.network.regions.set(originHost, regions[0]!);
		this.network.zones.set(originHost, 'a');
		this.network.handlers.set(originHost, (req, res, path) => {
			const url = new URL(req.url!, 'http://origin');
			const weights = this.versions.get(Number(url.searchParams.get('version')))!;
			const bytes = weights.chunks[Number(path.split('/')[2])]!;
			weights.originBytes += bytes.length;
			res.writeHead(200);
			res.write(bytes);
			res.end();
		});
	}

	/** Starts all VMs; engines serve a version, or nothing after a power failure. */
	start(servedVersion: number | undefined): void {
		for (const [at, member] of this.members.entries()) {
			const vm = new SimulatedVm(this, member, servedVersion, this.seed + at + (this.vms.length * 1000));
			this.vms[at] = vm;
			for (const version of this.named) {
				vm.learn(version);
			}

			vm.start();
		}
	}

	/** Ends all VMs, like a power failure. */
	stop(): void {
		for (const vm of this.vms) {
			vm.stop();
		}
	}

	/** Publishes a version: the origin has it and all stagers learn of it. Its first `shared` chunks are those of the version before. */
	name(version: number, shared = 0): void {
		const {chunkCount, chunkBytes} = simulatedWeights;
		const before = this.versions.get(version - 1)?.chunks ?? [];
		const weights = Buffer.concat(Array.from({length: chunkCount}, (_, at) => (at < shared ? before[at] : undefined) ?? this.randomChunk()));
		const created = createManifest(simulatedModel, String(version), weights, chunkBytes);
		const manifest = parseManifest(created.bytes);
		this.versions.set(version, {manifest, chunks: manifest.chunks.map(digest => created.chunks.get(digest as never)!), originBytes: 0});
		const named = {version, atMs: performance.now()};
		this.named.push(named);
		for (const vm of this.vms) {
			vm.learn(named);
		}
	}

	/** Copies of a version that the origin began to send. */
	originCopies(version: number): number {
		return this.versions.get(version)!.originBytes / (simulatedWeights.chunkCount * simulatedWeights.chunkBytes);
	}

	/** When each engine served a version, in milliseconds, ascending; `Infinity` for those that do not. */
	servedAtMs(version: number): number[] {
		return this.vms.map(vm => vm.switchovers.get(version)?.servedAtMs ?? Number.POSITIVE_INFINITY).toSorted((a, b) => a - b);
	}

	/** The number of engines that serve, by version. */
	get serving(): Readonly<Record<string, number>> {
		const counts: Record<string, number> = {};
		for (const {engine} of this.vms) {
			const name = engine.isBusy ? 'loading' : String(engine.servedVersion);
			counts[name] = (counts[name] ?? 0) + 1;
		}

		return counts;
	}

	/** Sends a notice, which may be lost, and its answer. */
	sendNotice(from: string, to: string, params: RolloutHaveParams): boolean {
		this.network.sendDatagram(from, to, () => {
			const own = this.running(to)?.node.handleNotice(params);
			if (own) {
				this.network.sendDatagram(to, from, () => {
					this.running(from)?.node.handleNotice({manifest: params.manifest, notice: own});
				});
			}
		});
		return true;
	}

	/** Calls a method of another VM. */
	async call<Result>(from: string, to: string, timeoutMs: number, handle: (vm: SimulatedVm) => Promise<Result>): Promise<Result> {
		return new Promise((resolve, reject) => {
			setTimeout(() => {
				reject(new Error(`no answer from ${to}`));
			}, timeoutMs);
			this.network.afterLatency(from, to, async () => {
				const vm = this.running(to);
				if (vm) {
					const result = await handle(vm);
					this.network.afterLatency(to, from, () => {
						resolve(result);
					});
				} else {
					this.network.afterLatency(to, from, () => {
						reject(new Error(`${to} does not run`));
					});
				}
			});
		});
	}

	/** Asks another VM for a manifest. */
	async askForManifest(from: string, to: string, query: ManifestQuery): Promise<Manifest | null> {
		return this.call(from, to, manifestTimeoutMs.peer, async vm => vm.manifests.answer(query));
	}

	/** Reads a manifest from the origin; undefined if there is no such version. */
	async readManifest(from: string, version: number): Promise<Manifest | undefined> {
		if (this.network.isOriginDown) {
			await sleep(this.network.isOriginSilent ? manifestTimeoutMs.origin : 1);
			throw new Error('the origin is down');
		}

		const weights = this.versions.get(version);
		if (!weights) {
			return undefined;
		}

		const {manifest} = weights;
		return new Promise((resolve, reject) => {
			setTimeout(() => {
				reject(new Error('no manifest'));
			}, manifestTimeoutMs.origin);
			this.network.afterLatency(from, originHost, () => {
				this.network.sendPiece(originHost, from, JSON.stringify(manifest).length, () => {
					if (this.network.isOriginDown) {
						reject(new Error('the origin is down'));
					} else {
						resolve(manifest);
					}
				});
			});
		});
	}

	/** Returns a chunk that differs from all others. */
	private randomChunk(): Uint8Array {
		const chunk = new Uint8Array(simulatedWeights.chunkBytes);
		chunk.set(Array.from({length: 16}, () => this.random.nextInt(256)));
		return chunk;
	}

	private running(vm: string): SimulatedVm | undefined {
		return this.vms.find(item => item.self.vm === vm && item.isRunning);
	}
}

/** Runs a scenario with faked time; `at` runs the fleet up to a time in milliseconds. */
export async function withStagerFleet(options: StagerFleetOptions, run: (fleet: StagerFleet, at: (ms: number) => Promise<void>) => Promise<void>): Promise<void> {
	const clock = install({toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date']});
	const fleet = new StagerFleet(options);
	try {
		await run(fleet, async ms => runUntil(clock, ms));
	} finally {
		fleet.stop();
		clock.uninstall();
	}
}

/** Runs all timers up to a time, and what each of them resolves; `tickAsync` would wait for a real timer after each. */
async function runUntil(clock: Clock, ms: number): Promise<void> {
	const end = {isOver: false};
	setTimeout(() => {
		end.isOver = true;
	}, ms - performance.now());
	while (!end.isOver) {
		clock.next();
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}
