/** Discrete-time simulation of weight transfer: runs the planning code over a seeded schedule of ticks, without I/O. */
import {Buffer} from 'node:buffer';
import {digestOf} from '../../src/ids/digest.ts';
import {ChunkBitmap} from '../../src/rollout/chunk-bitmap.ts';
import {type ChunkOwners, rankOwners, type VmLocation} from '../../src/rollout/chunk-owners.ts';
import {chooseNeighbours} from '../../src/rollout/choose-neighbours.ts';
import {ChunkStore} from '../../src/rollout/chunk-store.ts';
import {createManifest, parseManifest} from '../../src/rollout/manifest.ts';
import {PeerTable} from '../../src/rollout/peer-table.ts';
import {isAvailableInRegion, originSource, planTransfers} from '../../src/rollout/plan-transfers.ts';
import {UnavailabilityTracker} from '../../src/rollout/unavailability-tracker.ts';
import {RandomSource} from '../../src/runtime/random-source.ts';

export type SimulationOptions = {
	readonly seed: number;
	readonly perRegion: number;
	readonly chunkCount: number;
	readonly objective: 'time' | 'origin-bytes';
	/** The fault injected into one owner. */
	readonly fault: 'none' | 'kill' | 'freeze' | 'corrupt' | 'slow';
	readonly faultAtTick: number;
};

const tickMs = 100;
const stepInMs = 3000;
const uploadTicks = 4;
const originTicks = 6;
const freezeTicks = 50;
const slowFactor = 6;
const lastTick = 2000;

type Download = {chunk: number; source: string; startedAtMs: number; receivedBytes: number; endsAtTick: number};

type Node = VmLocation & {
	readonly store: ChunkStore;
	readonly held: ChunkBitmap;
	readonly peerTable: PeerTable;
	readonly unavailability: UnavailabilityTracker;
	readonly owners: ChunkOwners;
	readonly neighbours: ReadonlySet<string>;
	readonly randomRanks: readonly number[];
	downloads: Download[];
	imported: number;
	uploaded: number;
	progressAtMs: number;
	dead: boolean;
	frozenUntil: number;
	slow: boolean;
	corrupt: boolean;
};

/** The result of a run. */
export type SimulationResult = {
	/** Origin reads, complete or aborted, in copies of the version. */
	readonly originCopies: number;
	readonly ticks: number;
	/** The number of running VMs that do not hold the version at the end. */
	readonly unfinished: number;
	/** The number of VMs that report the version as held although their bytes differ from the weights. */
	readonly corrupted: number;
};

/** Simulates one rollout. */
export function simulate(options: SimulationOptions): SimulationResult {
	return new Simulation(options).run();
}

class Simulation {
	private readonly random: RandomSource;
	private readonly weights: Uint8Array;
	private readonly manifest;
	private readonly origin;
	private readonly nodes = new Map<string, Node>();
	private readonly regions = new Map<string, string>();
	private originReads = 0;
	private tick = 0;

	constructor(private readonly options: SimulationOptions) {
		this.random = new RandomSource(options.seed);
		this.weights = Uint8Array.from({length: options.chunkCount * 4}, () => this.random.nextInt(256));
		const {bytes, digest, chunks} = createManifest('model', 'v1', this.weights, 4);
		this.manifest = {digest, content: parseManifest(bytes)};
		this.origin = chunks;
		const group = ['a', 'b', 'c'].flatMap(region => Array.from({length: options.perRegion}, (_, at) => ({vm: `${region}${at}`, region})));
		for (const location of group) {
			this.regions.set(location.vm, location.region);
			this.nodes.set(location.vm, this.createNode(location, group));
		}
	}

	run(): SimulationResult {
		while (this.tick < lastTick && !this.isFinished()) {
			this.step();
			this.tick++;
		}

		const nodes = [...this.nodes.values()];
		const held = nodes.filter(node => node.held.count === this.options.chunkCount);
		const expectedDigest = digestOf(this.weights);
		return {
			originCopies: this.originReads / this.options.chunkCount,
			ticks: this.tick,
			unfinished: nodes.filter(node => !node.dead).length - held.filter(node => !node.dead).length,
			corrupted: held.filter(node => digestOf(Buffer.concat(this.manifest.content.chunks.map(chunk => node.store.get(chunk) ?? new Uint8Array()))) !== expectedDigest).length,
		};
	}

	private createNode(placed: VmLocation, group: readonly VmLocation[]): Node {
		const {chunkCount} = this.options;
		const owners = rankOwners(this.manifest.digest, placed, group);
		const peerTable = new PeerTable();
		peerTable.startChunkPhase(chunkCount);
		return {
			...placed,
			store: new ChunkStore(),
			held: new ChunkBitmap(chunkCount),
			peerTable,
			unavailability: new UnavailabilityTracker(),
			owners,
			neighbours: chooseNeighbours(placed, group, owners.importers),
			randomRanks: this.random.sample(Array.from({length: chunkCount}, (_, at) => at), chunkCount),
			downloads: [],
			imported: 0,
			uploaded: 0,
			progressAtMs: 0,
			dead: false,
			frozenUntil: 0,
			slow: false,
			corrupt: false,
		};
	}

	private isFinished(): boolean {
		return this.tick > this.options.faultAtTick + freezeTicks && [...this.nodes.values()].every(node => node.dead || node.held.count === this.options.chunkCount);
	}

	private step(): void {
		if (this.tick === this.options.faultAtTick) {
			this.injectFault();
		}

		const order = this.random.sample([...this.nodes.values()], this.nodes.size);
		for (const node of order.filter(item => this.isRunning(item))) {
			this.exchange(node);
			this.complete(node);
			this.plan(node);
		}
	}

	private isRunning(node: Node): boolean {
		return !node.dead && node.frozenUntil <= this.tick;
	}

	/** Injects the fault into an owner that is reading from the origin, if there is one, so that the fault interrupts a read. */
	private injectFault(): void {
		const owners = [...this.nodes.values()].filter(node => node.owners.importers.has(node.vm));
		const reading = owners.filter(node => node.downloads.some(({source}) => source === originSource));
		const victim = this.random.sample(reading.length > 0 ? reading : owners, 1)[0]!;
		const faults: Record<SimulationOptions['fault'], () => void> = {
			none() {
				// Nothing fails.
			},
			kill() {
				victim.dead = true;
			},
			freeze: () => {
				victim.frozenUntil = this.tick + freezeTicks;
			},
			corrupt() {
				victim.corrupt = true;
			},
			slow() {
				victim.slow = true;
			},
		};
		faults[this.options.fault]();
	}

	private noticeOf(node: Node) {
		const reading = new ChunkBitmap(this.options.chunkCount);
		let inFlight = 0;
		for (const {chunk, source, endsAtTick} of node.downloads) {
			if (source === originSource || this.nodes.get(source)!.region !== node.region) {
				reading.add(chunk);
				inFlight += Math.max(0, 1 - ((endsAtTick - this.tick) / originTicks / slowFactor));
			}
		}

		return {
			vm: node.vm, bitmap: node.held.encode(), reading: reading.count > 0 ? reading.encode() : '', imported: node.imported + inFlight, uploaded: node.uploaded / this.options.chunkCount,
		};
	}

	/** Exchanges notices with each neighbour with a probability of one half per tick, so that notices may be several ticks late. */
	private exchange(node: Node): void {
		const notice = this.noticeOf(node);
		for (const vm of node.neighbours) {
			const peer = this.nodes.get(vm)!;
			if (this.isRunning(peer) && this.random.nextInt(2) === 0) {
				peer.peerTable.record(notice, this.tick * tickMs);
				node.peerTable.record(this.noticeOf(peer), this.tick * tickMs);
			}
		}
	}

	private complete(node: Node): void {
		for (const download of node.downloads.filter(({endsAtTick}) => endsAtTick <= this.tick)) {
			node.downloads = node.downloads.filter(item => item !== download);
			const digest = this.manifest.content.chunks[download.chunk]!;
			const peer = this.nodes.get(download.source);
			if (peer?.dead) {
				node.peerTable.pause(download.source, Number.POSITIVE_INFINITY);
				continue;
			}

			const bytes = peer ? peer.store.get(digest)! : this.origin.get(digest)!;
			try {
				node.store.put(digest, peer?.corrupt ? Uint8Array.from(bytes, byte => byte + 1) : bytes);
			} catch {
				node.peerTable.ban(download.source);
				continue;
			}

			node.held.add(download.chunk);
			node.progressAtMs = this.tick * tickMs;
			if (peer) {
				peer.uploaded++;
			}

			node.imported += peer?.region === node.region ? 0 : 1;
		}
	}

	private plan(node: Node): void {
		if (node.held.count === this.options.chunkCount) {
			return;
		}

		const known = {nowMs: this.tick * tickMs, peers: node.peerTable.toPlanPeers(this.regions, node.region, () => false), stepInMs};
		node.unavailability.update(this.options.chunkCount, chunk => isAvailableInRegion(known, chunk), known.nowMs);
		const digestAt = (chunk: number) => this.manifest.content.chunks[chunk]!;
		const planned = planTransfers({
			...known,
			held: node.held,
			open: node.downloads,
			unavailableSinceMs: chunk => node.unavailability.since(chunk),
			higherRankedInRegion: chunk => node.owners.higherRankedInRegion(digestAt(chunk)),
			higherRankedGlobally: chunk => node.owners.higherRankedGlobally(digestAt(chunk)),
			objective: this.options.objective,
			isImporter: node.owners.importers.has(node.vm),
			startedAtMs: 0,
			progressAtMs: node.progressAtMs,
			originNotBeforeMs: 0,
			surveyed: this.tick > 4,
			maxOpen: 4,
			maxOriginReads: 1,
			randomRank: chunk => node.randomRanks[chunk]!,
		});
		for (const {chunk, source} of planned) {
			this.startDownload(node, chunk, source);
		}
	}

	private startDownload(node: Node, chunk: number, source: string): void {
		const peer = this.nodes.get(source);
		const uploads = [...this.nodes.values()].flatMap(({downloads}) => downloads).filter(item => item.source === source).length;
		if (peer && uploads >= 2) {
			node.peerTable.pause(source, (this.tick + 2) * tickMs);
			return;
		}

		if (!peer) {
			this.originReads++;
		}

		const ticks = (peer ? uploadTicks : originTicks + this.random.nextInt(3)) * (node.slow ? slowFactor : 1);
		node.downloads.push({
			chunk, source, startedAtMs: this.tick * tickMs, receivedBytes: 0, endsAtTick: this.tick + ticks,
		});
	}
}
