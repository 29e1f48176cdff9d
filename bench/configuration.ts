/**
 * Measures how configuration changes propagate between many nodes in several processes on loopback; docs/CONFIGURATION.md has the results.
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
import type {WorkerReply, WorkerCommand} from './configuration-worker.ts';

const workerCount = 4;
const idleMs = 15_000;
const changesPerRun = 12;
const changeSpacingMs = 800;

/** Target for the time until a change is in force at every node, in milliseconds. */
const inForceLimitMs = 13_000;

type Sample = {readonly cpuMs: number; readonly socketBytes: number; readonly heapBytes: number; readonly calls: number; readonly atMs: number};

const [nodeCount = 30, zoneCount = 7, treeKb = 1000] = process.argv.slice(2).map(Number);
const platform = new PlatformStandin();
const workers: ChildProcess[] = [];
const peers: Peer[] = [];
const killed = new Set<string>();
const watchers = new Set<string>();
const appliedAtMs = new Map<number, Map<string, number>>();
const samples: WorkerReply[] = [];

function handleReply(message: WorkerReply): void {
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

function sendToWorkers(message: WorkerCommand): void {
	for (const worker of workers) {
		worker.send(message);
	}
}

async function waitUntil(condition: () => boolean): Promise<boolean> {
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
	sendToWorkers({kind: 'sample'});
	await waitUntil(() => samples.length === workerCount);
	const sum = (key: 'cpuMs' | 'socketBytes' | 'heapBytes') => samples.reduce((total, item) => total + (item.kind === 'sample' ? item[key] : 0), 0);
	return {
		cpuMs: sum('cpuMs'), socketBytes: sum('socketBytes'), heapBytes: sum('heapBytes'), calls: platform.configurationCalls, atMs: nowMs(),
	};
}

/** Publishes a change and returns the time until it is in force at every running node, in milliseconds; -1 after three times the target. */
async function measureChange(modelIndex: number, onPublished: () => void = () => undefined): Promise<number> {
	const startMs = nowMs();
	platform.publish({[`/models/model-${modelIndex}`]: createModel(modelIndex, startMs)});
	const revision = platform.publishedRevision;
	onPublished();
	const isInForceEverywhere = await waitUntil(() => {
		const applied = appliedAtMs.get(revision);
		return peers.every(({vm}) => killed.has(vm) || applied?.has(vm));
	});
	return isInForceEverywhere ? Math.max(...appliedAtMs.get(revision)!.values()) - startMs : -1;
}

async function measureChanges(): Promise<number[]> {
	const durationsMs: number[] = [];
	for (let changeIndex = 0; changeIndex < changesPerRun; changeIndex++) {
		durationsMs.push(Math.round(await measureChange(changeIndex)));
		await sleep(changeSpacingMs);
	}

	return durationsMs.toSorted((a, b) => a - b);
}

function createModel(index: number, manifestOffset = 0): unknown {
	const versions = Object.fromEntries(Array.from({length: 9}, (_, version) => [`v${version}`, {manifest: String(index + version + Math.round(manifestOffset)).padStart(64, '0').slice(-64)}]));
	return {serve: 'v0', versions};
}

async function startWorkers(): Promise<void> {
	for (let workerIndex = 0; workerIndex < workerCount; workerIndex++) {
		const worker = fork(path.join(import.meta.dirname, 'configuration-worker.ts'), {execArgv: ['--expose-gc', '--import', 'tsx']});
		workers.push(worker);
		await new Promise<void>(resolve => {
			worker.once('message', () => {
				resolve();
			});
		});
		worker.on('message', handleReply);
		const nodes = Array.from({length: nodeCount}, (_, index) => ({vm: `vm-${index}`, zone: `zone-${index % zoneCount}`}));
		worker.send({kind: 'listen', nodes: nodes.filter((_, index) => index % workerCount === workerIndex)} satisfies WorkerCommand);
	}

	await waitUntil(() => peers.length === nodeCount);
}

/** Returns average rates between two samples. */
function ratesBetween(from: Sample, to: Sample) {
	const seconds = (to.atMs - from.atMs) / 1000;
	return {
		cpuPercentPerNode: (to.cpuMs - from.cpuMs) / 10 / seconds / nodeCount,
		// Samples count only the server side of each connection; every byte is sent by one node and received by another.
		bytesPerSecondPerNode: (to.socketBytes - from.socketBytes) * 2 / seconds / nodeCount,
		serviceCallsPerSecond: (to.calls - from.calls) / seconds,
		seconds,
	};
}

async function run(): Promise<Record<string, unknown>> {
	const address = await platform.start({host: '127.0.0.1', port: 0});
	const documents = Math.max(1, Math.round(treeKb * 1024 / JSON.stringify(createModel(0)).length));
	await startWorkers();
	const beforeStart = await takeSample();
	platform.publish(Object.fromEntries(Array.from({length: documents}, (_, index) => [`/models/model-${index}`, createModel(index)])));
	sendToWorkers({kind: 'start', peers, serviceUrl: `http://${formatAddress(address)}`});
	const isStarted = await waitUntil(() => appliedAtMs.get(1)?.size === nodeCount);
	await sleep(3000);
	const idleStart = await takeSample();
	await sleep(idleMs);
	const idleEnd = await takeSample();
	const inForceMs = await measureChanges();
	const changesEnd = await takeSample();
	sendToWorkers({kind: 'lose', percent: 50});
	const halfLostMs = await measureChanges();
	sendToWorkers({kind: 'lose', percent: 100});
	const allLostMs = [await measureChange(0), await measureChange(1), await measureChange(2)].map(ms => Math.round(ms));
	sendToWorkers({kind: 'lose', percent: 0});
	const killedVm = [...watchers][0]!;
	killed.add(killedVm);
	const killedWatcherMs = Math.round(await measureChange(3, () => {
		sendToWorkers({kind: 'kill', vm: killedVm});
	}));
	const afterKillMs = Math.round(await measureChange(4));
	const atRest = ratesBetween(idleStart, idleEnd);
	const withChanges = ratesBetween(idleEnd, changesEnd);
	const extraPerChange = (key: 'bytesPerSecondPerNode' | 'cpuPercentPerNode') => (withChanges[key] - atRest[key]) * withChanges.seconds / changesPerRun;
	return {
		nodeCount, zoneCount, treeKb, documents, isStarted, atRest, inForceMs, halfLostMs, allLostMs, killedWatcherMs, afterKillMs,
		heapBytesPerNode: Math.round((idleStart.heapBytes - beforeStart.heapBytes) / nodeCount),
		bytesPerChangePerNode: Math.round(extraPerChange('bytesPerSecondPerNode')),
		cpuMsPerChangePerNode: extraPerChange('cpuPercentPerNode') * 10,
		serviceCallsPerChange: (changesEnd.calls - idleEnd.calls - (atRest.serviceCallsPerSecond * withChanges.seconds)) / changesPerRun,
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
