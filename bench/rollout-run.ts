/** Runs one rollout with several worker processes and rate-limited links, and measures it. */
import {type ChildProcess, fork} from 'node:child_process';
import {randomBytes} from 'node:crypto';
import path from 'node:path';
import process from 'node:process';
import {formatAddress} from '../src/links/http-listener.ts';
import type {TransferPeer} from '../src/rollout/transfer-options.ts';
import {PlatformStandin} from '../standins/platform.ts';
import {RegionLinks} from '../standins/region-links.ts';
import type {
	AgentResult, RunMode, WorkerReply, WorkerCommand,
} from './rollout-worker.ts';

/** The sizes and rates of a run, scaled down from production. */
export type BenchScale = {
	readonly chunkCount: number;
	readonly chunkBytes: number;
	/** Bandwidth of a VM's link in each direction, in bytes per second. */
	readonly linkBytesPerSecond: number;
	readonly originBytesPerSecond: number;
	/** Bandwidth of the link between two regions in each direction, in bytes per second. */
	readonly regionBytesPerSecond: number;
	readonly stepInMs: number;
	/** Maximum rate of notices that an agent sends, in bytes per second. */
	readonly noticeBytesPerSecond: number;
	/** Minimum interval between two notices about common chunks to the same neighbour, in milliseconds. */
	readonly noticeIntervalMs: number;
};

/** The parameters of one run. */
export type BenchRun = {readonly name: string; readonly mode: RunMode; readonly objective: 'time' | 'origin-bytes'; readonly vms: number; readonly seed: number};

/** The measurements of one run. */
export type BenchResult = BenchRun & {
	/** Time until all VMs held the version. */
	readonly seconds: number;
	readonly medianSeconds: number;
	/** Total time as a multiple of the lower bound for pipelined distribution. */
	readonly ratio: number;
	readonly originCopies: number;
	readonly maxCopies: number;
	readonly medianCopies: number;
	readonly maxUp: number;
	readonly cpuMsPerMb: number;
	/** Bytes other than chunk content that a node sent and received during the run, on average. */
	readonly controlBytesPerNode: number;
	/** Bytes on the busiest link between two regions, in copies of the weights. */
	readonly regionCopies: number;
};

const regionNames = ['region-a', 'region-b', 'region-c'];

/** Number of agents per worker process. With fewer, compiling the code in each process takes longer than running it. */
const agentsPerWorker = 8;

const chunkTimeoutMs = 5000;

/** Time after which a run fails because it is considered hung, in milliseconds. */
const runTimeoutMs = 170_000;

/** Runs one rollout and returns its measurements. */
export async function runRollout(run: BenchRun, scale: BenchScale): Promise<BenchResult> {
	const size = scale.chunkCount * scale.chunkBytes;
	const platform = new PlatformStandin({bytesPerSecond: scale.originBytesPerSecond, maxConcurrentReads: 1000});
	const links = new RegionLinks(scale.regionBytesPerSecond);
	const origin = formatAddress(await platform.start({host: '127.0.0.1', port: 0}));
	const manifest = platform.addWeights('model', 'v1', randomBytes(size), scale.chunkBytes);
	const workers = Array.from({length: Math.ceil(run.vms / agentsPerWorker)}, () => new Worker());
	try {
		const addresses = await startAgents(run, scale, {workers, links, origin});
		const command: WorkerCommand = {
			kind: 'go', mode: run.mode, manifest, objective: run.objective, peers: await createPeersByRegion(addresses, links, run), parents: await createParents(addresses, links, run),
		};
		const replies = await runWorkers(workers, command, run.vms);
		return summarize(run, scale, replies, {links, originBytes: platform.originBytes});
	} finally {
		for (const worker of workers) {
			worker.stop();
		}

		links.stop();
		platform.stop();
	}
}

type Addresses = ReadonlyMap<string, string>;

function regionAt(index: number, vms: number): string {
	return regionNames[Math.floor(index * regionNames.length / vms)]!;
}

function createVmNames(vms: number): string[] {
	return Array.from({length: vms}, (_, index) => `vm-${String(index).padStart(3, '0')}`);
}

async function startAgents(run: BenchRun, scale: BenchScale, context: {workers: Worker[]; links: RegionLinks; origin: string}): Promise<Addresses> {
	const {workers, links, origin} = context;
	const originByRegion = new Map<string, string>();
	for (const region of regionNames) {
		originByRegion.set(region, `http://${await links.openRelay(region, regionNames[0]!, origin)}`);
	}

	const agents = createVmNames(run.vms).map((vm, index) => ({
		vm,
		region: regionAt(index, run.vms),
		originUrl: originByRegion.get(regionAt(index, run.vms))!,
		linkBytesPerSecond: scale.linkBytesPerSecond,
		limits: {chunk_timeout_ms: chunkTimeoutMs, step_in_ms: scale.stepInMs, upload_copies: 1.05},
		seed: run.seed + index,
		noticeBytesPerSecond: scale.noticeBytesPerSecond,
		noticeIntervalMs: scale.noticeIntervalMs,
	}));
	const started = await Promise.all(workers.map(async (worker, workerIndex) => worker.ask('started', {
		kind: 'start', agents: agents.filter((_, index) => index % workers.length === workerIndex),
	})));
	return new Map(started.flatMap(reply => Object.entries(reply.addresses)));
}

/** Returns the peers as each region reaches them; peers in other regions are reached through the shared link between the regions. */
async function createPeersByRegion(addresses: Addresses, links: RegionLinks, run: BenchRun): Promise<Record<string, TransferPeer[]>> {
	const peers: Record<string, TransferPeer[]> = {};
	if (run.mode !== 'peers') {
		return peers;
	}

	for (const from of regionNames) {
		peers[from] = await Promise.all(createVmNames(run.vms).map(async (vm, index) => {
			const region = regionAt(index, run.vms);
			return {vm, region, address: await links.openRelay(from, region, addresses.get(vm)!)};
		}));
	}

	return peers;
}

/**
 * Returns the parent address of each VM in a fixed binary tree.
 *
 * The list of VMs is sorted by region and split in halves, so that most edges stay within a region.
 */
async function createParents(addresses: Addresses, links: RegionLinks, run: BenchRun): Promise<Record<string, string>> {
	const parents: Record<string, string> = {};
	const names = createVmNames(run.vms);
	const attach = async (from: number, to: number, parent: number | undefined): Promise<void> => {
		if (from >= to) {
			return;
		}

		if (parent !== undefined) {
			parents[names[from]!] = await links.openRelay(regionAt(from, run.vms), regionAt(parent, run.vms), addresses.get(names[parent]!)!);
		}

		const middle = from + 1 + Math.ceil((to - from - 1) / 2);
		await attach(from + 1, middle, from);
		await attach(middle, to, from);
	};

	if (run.mode === 'tree') {
		await attach(0, run.vms, undefined);
	}

	return parents;
}

type FinishedReplies = Array<Extract<WorkerReply, {kind: 'finished'}>>;

async function runWorkers(workers: Worker[], command: WorkerCommand, vms: number): Promise<FinishedReplies> {
	let heldCount = 0;
	await new Promise<void>((resolve, reject) => {
		const timer = setTimeout(() => {
			reject(new Error(`only ${heldCount} of ${vms} agents hold the version after ${runTimeoutMs} ms`));
		}, runTimeoutMs);
		const onHeld = () => {
			heldCount++;
			if (heldCount === vms) {
				clearTimeout(timer);
				resolve();
			}
		};

		for (const worker of workers) {
			worker.onHeld = onHeld;
			worker.send(command);
		}
	});
	return Promise.all(workers.map(async worker => worker.ask('finished', {kind: 'finish'})));
}

function summarize(run: BenchRun, scale: BenchScale, replies: FinishedReplies, observed: {links: RegionLinks; originBytes: number}): BenchResult {
	const size = scale.chunkCount * scale.chunkBytes;
	const agents: AgentResult[] = replies.flatMap(reply => reply.agents);
	const sortedSeconds = agents.map(({heldMs}) => heldMs / 1000).toSorted((a, b) => a - b);
	const sortedCopies = agents.map(({up, down}) => (up + down) / size).toSorted((a, b) => a - b);
	const boundSeconds = size / scale.linkBytesPerSecond * (1 + (Math.log2(run.vms) / scale.chunkCount));
	const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);
	const uploadedBytes = sum(agents.map(({up}) => up));
	const controlBytes = sum(replies.map(({socketBytes}) => socketBytes)) - uploadedBytes;
	return {
		...run,
		seconds: sortedSeconds.at(-1)!,
		medianSeconds: sortedSeconds[Math.floor(sortedSeconds.length / 2)]!,
		ratio: sortedSeconds.at(-1)! / boundSeconds,
		originCopies: observed.originBytes / size,
		maxCopies: sortedCopies.at(-1)!,
		medianCopies: sortedCopies[Math.floor(sortedCopies.length / 2)]!,
		maxUp: Math.max(...agents.map(({up}) => up / size)),
		cpuMsPerMb: sum(replies.map(({cpuMs}) => cpuMs)) / (sum(agents.map(({down}) => down)) / 1e6),
		// Each byte is sent by one node and received by another.
		controlBytesPerNode: 2 * controlBytes / run.vms,
		regionCopies: Math.max(0, ...[...observed.links.bytes.values()].map(bytes => bytes / size)),
	};
}

/** A worker process and its IPC channel. */
class Worker {
	onHeld: () => void;
	private readonly child: ChildProcess = fork(path.join(import.meta.dirname, 'rollout-worker.mjs'), [], {stdio: 'inherit'});
	private readonly waiting = new Map<string, (reply: WorkerReply) => void>();

	constructor() {
		this.onHeld = () => undefined;
		this.child.on('message', (reply: WorkerReply) => {
			if (reply.kind === 'held') {
				this.onHeld();
			} else {
				this.waiting.get(reply.kind)?.(reply);
			}
		});
	}

	send(command: WorkerCommand): void {
		this.child.send(command);
	}

	/** Sends a command and waits for the next reply of the given kind. */
	async ask<Kind extends WorkerReply['kind']>(kind: Kind, command: WorkerCommand): Promise<Extract<WorkerReply, {kind: Kind}>> {
		return new Promise(resolve => {
			this.waiting.set(kind, reply => {
				resolve(reply as Extract<WorkerReply, {kind: Kind}>);
			});
			this.send(command);
		});
	}

	stop(): void {
		if (this.child.exitCode === null && this.child.pid !== undefined) {
			process.kill(this.child.pid, 'SIGKILL');
		}
	}
}
