/**
 * Measures the exchange of configuration between many processes on loopback; docs/CONFIGURATION.md has the results.
 *
 * Run with `node --import tsx bench/configuration.ts NODES ZONES TREE_KB`. It prints one JSON object.
 */
import {type ChildProcess, fork} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Peer} from '../src/configuration/watcher-rank.ts';
import {formatAddress} from '../src/links/http-listener.ts';
import {PlatformStandin} from '../standins/platform.ts';
import type {WorkerAnswer, WorkerOrder} from './configuration-worker.ts';

const workerCount = 4;
const restMs = 15_000;
const changesPerRun = 12;
const changeSpacingMs = 800;

/** Longest wait until a change is in force everywhere, in milliseconds; the target. */
const inForceLimitMs = 13_000;

type Sample = {readonly cpuMs: number; readonly socketBytes: number; readonly heapBytes: number; readonly calls: number; readonly atMs: number};

const [nodeCount = 30, zoneCount = 7, treeKb = 1000] = process.argv.slice(2).map(Number);
const platform = new PlatformStandin();
const workers: ChildProcess[] = [];
const peers: Peer[] = [];
const killed = new Set<string>();
const watchers = new Set<string>();
const appliedAtMs = new Map<number, Map<string, number>>();
const samples: WorkerAnswer[] = [];

function note(message: WorkerAnswer): void {
	if (message.kind === 'listening') {
		peers.push(...message.peers);
	} else if (message.kind === 'sample') {
		samples.push(message);
	} else {
		const applied = appliedAtMs.get(message.revision) ?? new Map<string, number>();
		applied.set(message.vm, message.atMs);
		appliedAtMs.set(message.revision, applied);
		if (message.isWatcher) {
			watchers.add(message.vm);
		}
	}
}

function order(message: WorkerOrder): void {
	for (const worker of workers) {
		worker.send(message);
	}
}

async function until(condition: () => boolean): Promise<boolean> {
	const endMs = performance.now() + (inForceLimitMs * 3);
	while (!condition()) {
		if (performance.now() > endMs) {
			return false;
		}

		await sleep(10);
	}

	return true;
}

function nowMs(): number {
	return performance.timeOrigin + performance.now();
}

async function takeSample(): Promise<Sample> {
	samples.length = 0;
	order({kind: 'sample'});
	await until(() => samples.length === workerCount);
	const sum = (key: 'cpuMs' | 'socketBytes' | 'heapBytes') => samples.reduce((total, item) => total + (item.kind === 'sample' ? item[key] : 0), 0);
	return {
		cpuMs: sum('cpuMs'), socketBytes: sum('socketBytes'), heapBytes: sum('heapBytes'), calls: platform.configurationCalls, atMs: nowMs(),
	};
}

/** Time until a published change was in force at every living node; -1 when it was not within the limit. */
async function change(at: number, onPublished: () => void = () => undefined): Promise<number> {
	const startMs = nowMs();
	platform.publish({[`/models/model-${at}`]: createModel(at, startMs)});
	const revision = platform.publishedRevision;
	onPublished();
	const isEverywhere = await until(() => {
		const applied = appliedAtMs.get(revision);
		return peers.every(({vm}) => killed.has(vm) || applied?.has(vm));
	});
	return isEverywhere ? Math.max(...appliedAtMs.get(revision)!.values()) - startMs : -1;
}

async function changes(): Promise<number[]> {
	const taken: number[] = [];
	for (let at = 0; at < changesPerRun; at++) {
		taken.push(Math.round(await change(at)));
		await sleep(changeSpacingMs);
	}

	return taken.toSorted((a, b) => a - b);
}

function createModel(at: number, mark = 0): unknown {
	const versions = Object.fromEntries(Array.from({length: 9}, (_, version) => [`v${version}`, {manifest: String(at + version + Math.round(mark)).padStart(64, '0').slice(-64)}]));
	return {serve: 'v0', versions};
}

async function startWorkers(): Promise<void> {
	for (let at = 0; at < workerCount; at++) {
		const worker = fork(path.join(import.meta.dirname, 'configuration-worker.ts'), {execArgv: ['--expose-gc', '--import', 'tsx']});
		workers.push(worker);
		await new Promise<void>(resolve => {
			worker.once('message', () => {
				resolve();
			});
		});
		worker.on('message', note);
		const nodes = Array.from({length: nodeCount}, (_, index) => ({vm: `vm-${index}`, zone: `zone-${index % zoneCount}`}));
		worker.send({kind: 'listen', nodes: nodes.filter((_, index) => index % workerCount === at)} satisfies WorkerOrder);
	}

	await until(() => peers.length === nodeCount);
}

function between(from: Sample, to: Sample) {
	const seconds = (to.atMs - from.atMs) / 1000;
	return {
		cpuPercentPerNode: (to.cpuMs - from.cpuMs) / 10 / seconds / nodeCount,
		// Every exchanged byte is sent by one node and received by another.
		bytesPerSecondPerNode: (to.socketBytes - from.socketBytes) * 2 / seconds / nodeCount,
		serviceCallsPerSecond: (to.calls - from.calls) / seconds,
		seconds,
	};
}

async function run(): Promise<Record<string, unknown>> {
	const address = await platform.start({host: '127.0.0.1', port: 0});
	const documents = Math.max(1, Math.round(treeKb * 1024 / JSON.stringify(createModel(0)).length));
	await startWorkers();
	const empty = await takeSample();
	platform.publish(Object.fromEntries(Array.from({length: documents}, (_, at) => [`/models/model-${at}`, createModel(at)])));
	order({kind: 'start', peers, serviceUrl: `http://${formatAddress(address)}`});
	const isStarted = await until(() => appliedAtMs.get(1)?.size === nodeCount);
	await sleep(3000);
	const idle = await takeSample();
	await sleep(restMs);
	const rest = await takeSample();
	const inForceMs = await changes();
	const busy = await takeSample();
	order({kind: 'lose', percent: 50});
	const halfLostMs = await changes();
	order({kind: 'lose', percent: 100});
	const allLostMs = [await change(0), await change(1), await change(2)].map(ms => Math.round(ms));
	order({kind: 'lose', percent: 0});
	const victim = [...watchers][0]!;
	killed.add(victim);
	const killedWatcherMs = Math.round(await change(3, () => {
		order({kind: 'kill', vm: victim});
	}));
	const afterKillMs = Math.round(await change(4));
	const atRest = between(idle, rest);
	const withChanges = between(rest, busy);
	const extra = (key: 'bytesPerSecondPerNode' | 'cpuPercentPerNode') => (withChanges[key] - atRest[key]) * withChanges.seconds / changesPerRun;
	return {
		nodeCount, zoneCount, treeKb, documents, isStarted, atRest, inForceMs, halfLostMs, allLostMs, killedWatcherMs, afterKillMs,
		heapBytesPerNode: Math.round((idle.heapBytes - empty.heapBytes) / nodeCount),
		bytesPerChangePerNode: Math.round(extra('bytesPerSecondPerNode')),
		cpuMsPerChangePerNode: extra('cpuPercentPerNode') * 10,
		serviceCallsPerChange: (busy.calls - rest.calls - (atRest.serviceCallsPerSecond * withChanges.seconds)) / changesPerRun,
	};
}

try {
	console.log(JSON.stringify(await run()));
} finally {
	for (const worker of workers) {
		worker.kill();
	}

	platform.stop();
}
