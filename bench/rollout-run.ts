/** Runs one rollout over several worker processes with paced links and returns its figures. */
import {type ChildProcess, fork} from 'node:child_process';
import {randomBytes} from 'node:crypto';
import path from 'node:path';
import process from 'node:process';
import {formatAddress} from '../src/links/http-listener.ts';
import type {TransferPeer} from '../src/rollout/transfer-options.ts';
import {PlatformStandin} from '../standins/platform.ts';
import {RegionLinks} from '../standins/region-links.ts';
import type {
	AgentResult, RunMode, WorkerAnswer, WorkerOrder,
} from './rollout-worker.ts';

/** The scaled sizes and rates of a run. */
export type BenchScale = {
	readonly chunkCount: number;
	readonly chunkBytes: number;
	/** A VM's link each way, in bytes per second. */
	readonly linkBytesPerSecond: number;
	readonly originBytesPerSecond: number;
	/** Each link between two regions and direction, in bytes per second. */
	readonly regionBytesPerSecond: number;
	readonly stepInMs: number;
	/** Control bytes per second that an agent may spend on notices. */
	readonly noticeBytesPerSecond: number;
	/** Least time between two notices about common chunks to one neighbour, in milliseconds. */
	readonly noticeIntervalMs: number;
};

/** One run. */
export type BenchRun = {readonly name: string; readonly mode: RunMode; readonly objective: 'time' | 'origin-bytes'; readonly vms: number; readonly seed: number};

/** Figures of one run. */
export type BenchResult = BenchRun & {
	readonly seconds: number;
	readonly medianSeconds: number;
	/** Time over the pipelined lower bound. */
	readonly ratio: number;
	readonly originCopies: number;
	readonly maxCopies: number;
	readonly medianCopies: number;
	readonly maxUp: number;
	readonly cpuMsPerMb: number;
	/** Bytes beside chunk content, sent and received per node over the run. */
	readonly controlBytesPerNode: number;
	/** Most copies that a link between two regions carried. */
	readonly regionCopies: number;
};

const regionNames = ['region-a', 'region-b', 'region-c'];

/** Agents in one process; more processes spend more time on compiling the code than on running it. */
const agentsPerWorker = 8;

const chunkTimeoutMs = 5000;

/** A run that takes longer counts as hung, in milliseconds. */
const runLimitMs = 170_000;

/**
 * Runs one rollout.
 *
 * @param run - what to run
 * @param scale - sizes and rates
 */
export async function runRollout(run: BenchRun, scale: BenchScale): Promise<BenchResult> {
	const size = scale.chunkCount * scale.chunkBytes;
	const platform = new PlatformStandin({bytesPerSecond: scale.originBytesPerSecond, maxConcurrentReads: 1000});
	const links = new RegionLinks(scale.regionBytesPerSecond);
	const origin = formatAddress(await platform.start({host: '127.0.0.1', port: 0}));
	const manifest = platform.addWeights('model', 'v1', randomBytes(size), scale.chunkBytes);
	const workers = Array.from({length: Math.ceil(run.vms / agentsPerWorker)}, () => new Worker());
	try {
		const addresses = await startAgents(run, scale, {workers, links, origin});
		const order: WorkerOrder = {
			kind: 'go', mode: run.mode, manifest, objective: run.objective, peers: await peersByRegion(addresses, links, run), parents: await parentsOf(addresses, links, run),
		};
		const finished = await runWorkers(workers, order, run.vms);
		return summarize(run, scale, finished, {links, originBytes: platform.originBytes});
	} finally {
		for (const worker of workers) {
			worker.stop();
		}

		links.stop();
		platform.stop();
	}
}

type Addresses = ReadonlyMap<string, string>;

function regionOf(at: number, vms: number): string {
	return regionNames[Math.floor(at * regionNames.length / vms)]!;
}

function vmNames(vms: number): string[] {
	return Array.from({length: vms}, (_, at) => `vm-${String(at).padStart(3, '0')}`);
}

async function startAgents(run: BenchRun, scale: BenchScale, parts: {workers: Worker[]; links: RegionLinks; origin: string}): Promise<Addresses> {
	const {workers, links, origin} = parts;
	const originByRegion = new Map<string, string>();
	for (const region of regionNames) {
		originByRegion.set(region, `http://${await links.openRelay(region, regionNames[0]!, origin)}`);
	}

	const agents = vmNames(run.vms).map((vm, at) => ({
		vm,
		region: regionOf(at, run.vms),
		originUrl: originByRegion.get(regionOf(at, run.vms))!,
		linkBytesPerSecond: scale.linkBytesPerSecond,
		limits: {chunk_timeout_ms: chunkTimeoutMs, step_in_ms: scale.stepInMs, upload_copies: 1.05},
		seed: run.seed + at,
		noticeBytesPerSecond: scale.noticeBytesPerSecond,
		noticeIntervalMs: scale.noticeIntervalMs,
	}));
	const started = await Promise.all(workers.map(async (worker, number) => worker.ask('started', {
		kind: 'start', agents: agents.filter((_, at) => at % workers.length === number),
	})));
	return new Map(started.flatMap(answer => Object.entries(answer.addresses)));
}

/** Peers of other regions are reached through the shared link. */
async function peersByRegion(addresses: Addresses, links: RegionLinks, run: BenchRun): Promise<Record<string, TransferPeer[]>> {
	const peers: Record<string, TransferPeer[]> = {};
	if (run.mode !== 'peers') {
		return peers;
	}

	for (const from of regionNames) {
		peers[from] = await Promise.all(vmNames(run.vms).map(async (vm, at) => {
			const region = regionOf(at, run.vms);
			return {vm, region, address: await links.openRelay(from, region, addresses.get(vm)!)};
		}));
	}

	return peers;
}

/** Parents in a fixed binary tree; halves of the list in order of regions keep most edges inside one region. */
async function parentsOf(addresses: Addresses, links: RegionLinks, run: BenchRun): Promise<Record<string, string>> {
	const parents: Record<string, string> = {};
	const names = vmNames(run.vms);
	const attach = async (from: number, to: number, parent: number | undefined): Promise<void> => {
		if (from >= to) {
			return;
		}

		if (parent !== undefined) {
			parents[names[from]!] = await links.openRelay(regionOf(from, run.vms), regionOf(parent, run.vms), addresses.get(names[parent]!)!);
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

type Finished = Array<Extract<WorkerAnswer, {kind: 'finished'}>>;

async function runWorkers(workers: Worker[], order: WorkerOrder, vms: number): Promise<Finished> {
	let held = 0;
	await new Promise<void>((resolve, reject) => {
		const timer = setTimeout(() => {
			reject(new Error(`only ${held} of ${vms} agents held the version after ${runLimitMs} ms`));
		}, runLimitMs);
		const onHeld = () => {
			held++;
			if (held === vms) {
				clearTimeout(timer);
				resolve();
			}
		};

		for (const worker of workers) {
			worker.onHeld = onHeld;
			worker.send(order);
		}
	});
	return Promise.all(workers.map(async worker => worker.ask('finished', {kind: 'finish'})));
}

function summarize(run: BenchRun, scale: BenchScale, finished: Finished, seen: {links: RegionLinks; originBytes: number}): BenchResult {
	const size = scale.chunkCount * scale.chunkBytes;
	const agents: AgentResult[] = finished.flatMap(answer => answer.agents);
	const times = agents.map(({heldMs}) => heldMs / 1000).toSorted((a, b) => a - b);
	const copies = agents.map(({up, down}) => (up + down) / size).toSorted((a, b) => a - b);
	const boundSeconds = size / scale.linkBytesPerSecond * (1 + (Math.log2(run.vms) / scale.chunkCount));
	const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);
	const chunkBytes = sum(agents.map(({up}) => up));
	const control = sum(finished.map(({socketBytes}) => socketBytes)) - chunkBytes;
	return {
		...run,
		seconds: times.at(-1)!,
		medianSeconds: times[Math.floor(times.length / 2)]!,
		ratio: times.at(-1)! / boundSeconds,
		originCopies: seen.originBytes / size,
		maxCopies: copies.at(-1)!,
		medianCopies: copies[Math.floor(copies.length / 2)]!,
		maxUp: Math.max(...agents.map(({up}) => up / size)),
		cpuMsPerMb: sum(finished.map(({cpuMs}) => cpuMs)) / (sum(agents.map(({down}) => down)) / 1e6),
		// Each byte is sent by one node and received by another.
		controlBytesPerNode: 2 * control / run.vms,
		regionCopies: Math.max(0, ...[...seen.links.bytes.values()].map(bytes => bytes / size)),
	};
}

class Worker {
	onHeld: () => void;
	private readonly child: ChildProcess = fork(path.join(import.meta.dirname, 'rollout-worker.mjs'), [], {stdio: 'inherit'});
	private readonly waiting = new Map<string, (answer: WorkerAnswer) => void>();

	constructor() {
		this.onHeld = () => undefined;
		this.child.on('message', (answer: WorkerAnswer) => {
			if (answer.kind === 'held') {
				this.onHeld();
			} else {
				this.waiting.get(answer.kind)?.(answer);
			}
		});
	}

	send(order: WorkerOrder): void {
		this.child.send(order);
	}

	async ask<Kind extends WorkerAnswer['kind']>(kind: Kind, order: WorkerOrder): Promise<Extract<WorkerAnswer, {kind: Kind}>> {
		return new Promise(resolve => {
			this.waiting.set(kind, answer => {
				resolve(answer as Extract<WorkerAnswer, {kind: Kind}>);
			});
			this.send(order);
		});
	}

	stop(): void {
		if (this.child.exitCode === null && this.child.pid !== undefined) {
			process.kill(this.child.pid, 'SIGKILL');
		}
	}
}
